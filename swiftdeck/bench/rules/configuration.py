"""Rules of the configuration: what is acknowledged stands, is read back and is obeyed."""

import msgspec

from swiftdeck.bench.rules.records import (
    acknowledged,
    by_marker,
    entries,
    models_of_workers,
    of_kind,
    undecided,
)
from swiftdeck.config.document import merge

WEIGHTS_MS = 15000
ACK_MS = 2000


def weights_in(item):
    """Weights that a change names, by model."""
    return {
        name: model["weights"]
        for name, model in entries(item, "models").items()
        if model and "weights" in model
    }


def old_weights_end(records, context):
    """Fifteen seconds after new weights are acknowledged no call starts on others.

    None runs on weights that only a refused change named.
    """
    models = models_of_workers(records)
    named = [
        (item["atMs"], item["answer"]["version"], *pair)
        for item in acknowledged(records)
        for pair in weights_in(item).items()
    ]
    maybe = {pair for item in undecided(records) for pair in weights_in(item).items()}
    for item in of_kind(records, "run"):
        model = models.get(item["who"], next(iter(models.values()), ""))
        mine = [
            (version, weights, at_ms) for at_ms, version, name, weights in named if name == model
        ]
        due_ms = item["atMs"] - WEIGHTS_MS
        late = max([version for version, _, at_ms in mine if at_ms < due_ms], default=0)
        allowed = {weights for version, weights, _ in mine if version >= late}
        if mine and item["weights"] not in allowed and (model, item["weights"]) not in maybe:
            yield (
                f"{item['run']} started on {item['weights']} at {item['atMs']}, "
                f"when version {late} had long been in force"
            )


def versions_stand(records, context):
    """Acknowledged versions are read back and never go back; two changes never share one."""
    changes, newest, newest_ms = {}, 0, 0
    for item in sorted(of_kind(records, "change", "read"), key=lambda item: item["atMs"]):
        if item["status"] != 200:
            continue
        if item["kind"] == "change":
            version, change = item["answer"]["version"], item["answer"]["changeId"]
            if changes.setdefault(version, change) != change:
                yield f"version {version} acknowledged for {changes[version]} and {change}"
            if version > newest:
                newest, newest_ms = version, item["atMs"]
        elif item["version"] < newest and item["askedMs"] > newest_ms:
            yield (
                f"read version {item['version']} at {item['atMs']} after {newest} was acknowledged"
            )


def read_back_whole(records, context):
    """What is read is byte for byte what the acknowledged changes made.

    The day ends with a reading of the newest version.
    """
    changes = {item["answer"]["version"]: item for item in acknowledged(records)}
    made = _documents(changes)
    readings = [item for item in of_kind(records, "read") if item["status"] == 200]
    readings = [item for item in readings if "document" in item]
    for item in readings:
        due = made.get(item["version"])
        if due is not None and due != _canonical(item["document"]):
            yield (
                f"version {item['version']} was read at {item['atMs']} "
                "otherwise than it was acknowledged"
            )
    ends = [item["atMs"] for item in of_kind(records, "dayEnds")]
    newest = max(changes, default=0)
    if ends and not any(
        item["atMs"] >= max(ends) and item["version"] >= newest for item in readings
    ):
        yield "the configuration was not read back at the end of the day"


def _canonical(document):
    return msgspec.json.encode(document, order="sorted")


def _documents(changes):
    """The whole configuration of each version, as far as no version is missing."""
    made, document = {}, {}
    for version in range(1, max(changes, default=0) + 1):
        if version not in changes:
            break
        item = changes[version]
        is_patch = item["method"] == "PATCH"
        document = merge(document, item["document"]) if is_patch else item["document"]
        made[version] = _canonical(document)
    return made


def ack_is_quick(records, context):
    """While nothing fails a change is acknowledged within about two seconds."""
    quiet = [(item["atMs"], item["untilMs"]) for item in of_kind(records, "quiet")]
    for item in of_kind(records, "change"):
        asked_ms = item.get("askedMs", -1)
        if not any(a <= asked_ms < b - ACK_MS for a, b in quiet):
            continue
        if item["status"] not in (200, 409, 422) or item["atMs"] - asked_ms > ACK_MS:
            yield (
                f"change asked at {asked_ms} ended at {item['atMs']} with status {item['status']}"
            )


def refused_is_not_obeyed(records, context):
    """Nothing runs for tenants, routes or keys that no configuration in force names.

    In force is what was acknowledged when the call was made, or may have been.
    """
    for table in ("tenants", "routes"):
        yield from _runs_of_refused(records, table)
    keys, removed = key_changes(records), _routes_removed(records)
    changing = {name for item in undecided(records) for name in entries(item, "tenants")}
    tries = by_marker(records)
    for item in of_kind(records, "run"):
        asked = tries.get(item["marker"])
        if asked is None:
            continue
        if asked["tenant"] not in changing and _key_was_taken(keys, asked):
            yield (
                f"{item['run']} of {asked['tenant']} "
                f"with a key that was taken before {asked['atMs']}"
            )
        yield from (
            f"{item['run']} by route {name}, which was taken away at {at_ms}"
            for at_ms, name in removed
            if name == asked["route"] and at_ms < asked["atMs"]
        )


def _runs_of_refused(records, table):
    """Runs of tenants or routes that only refused changes named."""
    field = table[:-1]
    taken = {
        name
        for item in [*acknowledged(records), *undecided(records)]
        for name in entries(item, table)
    }
    refused = {
        name
        for item in of_kind(records, "change")
        if item["status"] in (409, 422)
        for name in entries(item, table)
    } - taken
    for item in of_kind(records, "run"):
        if item.get(field) in refused:
            yield f"{item['run']} of {item[field]}"


def _routes_removed(records):
    return [
        (item["atMs"], name)
        for item in acknowledged(records)
        for name, route in entries(item, "routes").items()
        if route is None
    ]


def _key_was_taken(keys, asked):
    """Whether a call's key was of its tenant neither when it was made nor later."""
    mine = [(at_ms, digests) for at_ms, name, digests in keys if name == asked["tenant"]]
    before = [digests for at_ms, digests in mine if at_ms < asked["atMs"]][-1:]
    after = [digests for at_ms, digests in mine if asked["atMs"] <= at_ms]
    if "key" not in asked or not before:
        return False
    return not any(asked["key"] in digests for digests in [*before, *after])


def key_changes(records):
    """Acknowledgement time, tenant and digests of each change of keys, in the order of versions."""
    changes = sorted(acknowledged(records), key=lambda item: item["answer"]["version"])
    return [
        (item["atMs"], name, set((tenant or {}).get("keys", [])))
        for item in changes
        for name, tenant in entries(item, "tenants").items()
        if tenant is None or "keys" in tenant
    ]
