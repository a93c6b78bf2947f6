"""Rules on the configuration: what is in force, what is refused, and service after a loss."""

from collections import defaultdict

from swiftdeck.bench.platform_api.rules.answers import PROMISES
from swiftdeck.bench.platform_api.rules.records import FOREVER

TURNED_AWAY = (401, 403, 404)
DENIED_MOST, DENIED_EACH = 5, 500
"""How many proper requests may be denied, and one more in how many."""


def config(records, bounds):
    """A request handled as only an older configuration allows; what must not be in force; what was acknowledged and is gone."""
    results = {item["id"]: item for item in records.of("result")}
    for name, asked in records.tries.items():
        told = [
            each
            for each in records.configs
            if each.told_ms + bounds.apply_within_ms < asked["atMs"]
        ]
        if not told or not bounds.in_touch(asked["router"], asked["atMs"]):
            continue
        newest = max(told, key=lambda each: each.version)
        may = [each for each in records.configs if each.version >= newest.version]
        allowed = [each.services(asked) for each in may]
        if any(run["service"] not in set().union(*allowed) for run in records.runs.get(name, ())):
            yield f"{name} ran as only a configuration before {newest.version} allows"
        if results.get(name, {}).get("status") in TURNED_AWAY and all(allowed):
            yield f"{name} got {results[name]['status']}, while {newest.version} and all later ones allow it"
    yield from (
        f"{item['version']} is invalid and was acknowledged"
        for item in records.of("told")
        if item["bad"] and item["status"] == 200
    )
    bases = defaultdict(set)
    for item in records.of("told"):
        if item["status"] == 200:
            bases[item["base"]].add(item["version"])
    yield from (
        f"{sorted(versions)} were both acknowledged on top of {base}"
        for base, versions in bases.items()
        if len(versions) > 1
    )
    told = [each for each in records.configs if each.told_ms < FOREVER]
    sent = {item["version"]: item["document"] for item in records.of("sent")}
    for item in records.of("readBack")[-1:]:
        got, newest = item["document"], max((each.version for each in told), default=0)
        if got is None or got["version"] < newest or got != sent.get(got["version"], got):
            yield f"read back {got and got['version']}, acknowledged {newest}"


def denied(records, bounds):
    """Too many proper requests that machines in touch end with a 3xx or 4xx of their own, which is no promise."""
    made = {(item["id"], item["status"]) for item in records.of("answer")}
    found = []
    for item in records.of("result"):
        status, asked = item["status"], records.tries[item["id"]]
        if not 300 <= status < 500 or status in PROMISES or (item["id"], status) in made:
            continue
        settled_ms = asked["atMs"] - bounds.apply_within_ms
        newest = max(
            (each.version for each in records.configs if each.told_ms < settled_ms), default=0
        )
        may = [
            each.services(asked)
            for each in records.configs
            if each.version >= newest and each.sent_ms <= item["atMs"]
        ]
        if may and all(may) and bounds.in_touch(asked["router"], item["atMs"], asked["atMs"]):
            found.append(f"{item['id']} got {status}")
    if len(found) > DENIED_MOST + len(records.tries) / DENIED_EACH:
        yield from found


def recover(records, bounds):
    """Few requests are served after the closing fault, though many were before it."""
    for back in records.of("back"):
        served = {
            item["id"]
            for item in records.of("result")
            if item["complete"] and 200 <= item["status"] < 300
        }
        before = [each for each in records.tries.values() if each["atMs"] < back["downMs"]]
        late_ms = back["atMs"] + bounds.recovery_ms
        after = [each for each in records.tries.values() if each["atMs"] > late_ms]
        shares = [
            sum(each["id"] in served for each in some) / len(some)
            for some in (before, after)
            if some
        ]
        if len(shares) == 2 and shares[0] >= 0.25 > shares[1]:
            yield f"{shares[0]:.2f} served before {back['downMs']}, {shares[1]:.2f} after {late_ms}"
