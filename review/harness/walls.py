"""Finds breaches of the rule WALL in the record of a case."""

import json


def wall_violations(record_file) -> list[str]:
    """Return a text for each run that used a part of another tenant, one of the two being isolated.

    A tenant counts as isolated here only if the newest configuration that was acknowledged before
    the run and that names the tenant says so.
    """
    isolated_by_tenant, pending, violations = {}, {}, []
    with open(record_file, encoding="utf-8") as lines:
        for item in map(json.loads, lines):
            if item["event"] == "change sent":
                body = item["body"]
                items = body.get("customers") or body.get("put-items", {}).get("customers", [])
                pending = {each["name"]: each["isolated"] for each in items}
            elif item["event"] == "change acknowledged":
                isolated_by_tenant |= pending
            elif item["event"] == "run":
                violations += _foreign_parts(item, isolated_by_tenant)
    return violations


def _foreign_parts(run, isolated_by_tenant):
    for part, maker in run["used"]:
        is_walled = isolated_by_tenant.get(maker) or isolated_by_tenant.get(run["tenant"])
        if maker != run["tenant"] and is_walled:
            yield (
                f"WALL: request {run['request']} of tenant {run['tenant']} used part {part}, "
                f"made by a request of tenant {maker}, at {run['worker']} under salt {run['salt']}"
            )
