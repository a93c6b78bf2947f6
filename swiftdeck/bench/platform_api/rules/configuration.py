"""Rules on the configuration: which one is in force, which requests are denied, and service after a loss of machines."""

from collections import defaultdict

from swiftdeck.bench.platform_api.rules.answers import NOT_RUN_STATUSES
from swiftdeck.bench.platform_api.rules.records import FOREVER

ACCESS_DENIED_STATUSES = (401, 403, 404)
MAX_DENIED, REQUESTS_PER_DENIED = 5, 500
"""How many valid requests may be denied: a fixed number, and one more for each so many requests."""


def config(records, bounds):
    """Find requests handled by an outdated configuration, wrong acknowledgements, and acknowledged changes that were lost.

    Wrong are the acknowledgement of an invalid configuration, and that of two changes of the same base version.
    """
    results = {item["id"]: item for item in records.of("result")}
    for request_id, attempt in records.tries.items():
        acknowledged = [
            candidate
            for candidate in records.configs
            if candidate.acknowledged_ms + bounds.apply_within_ms < attempt["atMs"]
        ]
        if not acknowledged or not bounds.in_touch(attempt["router"], attempt["atMs"]):
            continue
        newest = max(acknowledged, key=lambda candidate: candidate.version)
        possible_configs = [
            candidate for candidate in records.configs if candidate.version >= newest.version
        ]
        allowed = [candidate.services(attempt) for candidate in possible_configs]
        if any(
            run["service"] not in set().union(*allowed) for run in records.runs.get(request_id, ())
        ):
            yield f"{request_id} ran as only a configuration before {newest.version} allows"
        if results.get(request_id, {}).get("status") in ACCESS_DENIED_STATUSES and all(allowed):
            yield f"{request_id} got {results[request_id]['status']}, while {newest.version} and all later ones allow it"
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
    acknowledged = [
        candidate for candidate in records.configs if candidate.acknowledged_ms < FOREVER
    ]
    sent = {item["version"]: item["document"] for item in records.of("sent")}
    for item in records.of("readBack")[-1:]:
        document, newest = (
            item["document"],
            max((candidate.version for candidate in acknowledged), default=0),
        )
        if (
            document is None
            or document["version"] < newest
            or document != sent.get(document["version"], document)
        ):
            yield f"read back {document and document['version']}, acknowledged {newest}"


def denied(records, bounds):
    """Find too many valid requests that fault-free routers themselves end with a 3xx or 4xx, those of `NOT_RUN_STATUSES` aside."""
    worker_answers = {(item["id"], item["status"]) for item in records.of("answer")}
    denied_requests = []
    for item in records.of("result"):
        status, attempt = item["status"], records.tries[item["id"]]
        if (
            not 300 <= status < 500
            or status in NOT_RUN_STATUSES
            or (item["id"], status) in worker_answers
        ):
            continue
        settled_ms = attempt["atMs"] - bounds.apply_within_ms
        newest = max(
            (
                candidate.version
                for candidate in records.configs
                if candidate.acknowledged_ms < settled_ms
            ),
            default=0,
        )
        allowed_services = [
            candidate.services(attempt)
            for candidate in records.configs
            if candidate.version >= newest and candidate.sent_ms <= item["atMs"]
        ]
        if (
            allowed_services
            and all(allowed_services)
            and bounds.in_touch(attempt["router"], item["atMs"], attempt["atMs"])
        ):
            denied_requests.append(f"{item['id']} got {status}")
    if len(denied_requests) > MAX_DENIED + len(records.tries) / REQUESTS_PER_DENIED:
        yield from denied_requests


def recover(records, bounds):
    """Find runs where under a quarter of the requests is served after the closing fault, though a quarter or more was before."""
    for back in records.of("back"):
        served = {
            item["id"]
            for item in records.of("result")
            if item["complete"] and 200 <= item["status"] < 300
        }
        attempts_before = [
            attempt for attempt in records.tries.values() if attempt["atMs"] < back["downMs"]
        ]
        late_ms = back["atMs"] + bounds.recovery_ms
        attempts_after = [
            attempt for attempt in records.tries.values() if attempt["atMs"] > late_ms
        ]
        shares = [
            sum(attempt["id"] in served for attempt in attempts) / len(attempts)
            for attempts in (attempts_before, attempts_after)
            if attempts
        ]
        if len(shares) == 2 and shares[0] >= 0.25 > shares[1]:
            yield f"{shares[0]:.2f} served before {back['downMs']}, {shares[1]:.2f} after {late_ms}"
