"""Rules on where a request may run, and on which cached parts."""

from bisect import bisect_left, bisect_right
from collections import defaultdict

from swiftdeck.bench.platform_api.rules.records import FOREVER

MAX_OVER_TRIES = 3
"""How many requests may run on more workers than their route allows tries."""


def route(records, bounds):
    """Find requests that ran at a service to which no configuration routes them."""
    for item in records.of("run"):
        attempt = records.tries.get(item["id"])
        if attempt and not any(
            item["service"] in config.services(attempt) for config in records.configs
        ):
            yield f"{item['id']} ran at service {item['service']}"


def stale(records, bounds):
    """Find runs that used cached parts computed with another version of the weights."""
    runs = {item["run"]: item for item in records.of("run")}
    yield from (
        f"{runs[item['run']]['id']} ran on version {runs[item['run']]['version']} with parts of {origin_version}"
        for item in records.of("read")
        for _, origin_version in item["origins"]
        if origin_version != runs[item["run"]]["version"]
    )


def wall(records, bounds):
    """Find runs that used cached parts of another tenant where one of the two was isolated.

    What counts is the begin of the run: nobody can take back a request that runs.
    """
    runs = {item["run"]: item for item in records.of("run")}
    for item in records.of("read"):
        run = runs[item["run"]]
        for origin_tenant, _ in item["origins"]:
            is_foreign = origin_tenant != run["tenant"]
            if is_foreign and any(
                records.is_isolated(tenant, run["atMs"])
                for tenant in (origin_tenant, run["tenant"])
            ):
                yield f"{run['id']} of {run['tenant']} used parts of {origin_tenant}"


def drain(records, bounds):
    """Find requests that reach a worker long after the list showed it as draining or gone, unless it answered 421."""
    leaving_since_ms, rejected = (
        {},
        {(item["id"], item["worker"]) for item in records.of("refused") if item["status"] == 421},
    )
    for item in records.of("shown"):
        leaving_since_ms.setdefault(item["worker"], item["atMs"])
    for item in records.of("arrive"):
        attempt = records.tries.get(item["id"])
        if (
            attempt
            and item["atMs"] > leaving_since_ms.get(item["worker"], FOREVER) + bounds.drain_ms
            and (item["id"], item["worker"]) not in rejected
            and bounds.in_touch(attempt["router"], item["atMs"])
        ):
            yield f"{item['id']} reached {item['worker']} {item['atMs'] - leaving_since_ms[item['worker']]} ms after it was shown as leaving"


def budget(records, bounds):
    """Find more retries to a service in a time window than the share of its requests and the fixed allowance permit.

    A retry is an arrival of a request after its first. Also finds requests that ran on more workers than their route allows
    tries.
    """
    attempts_ms, retries_ms, seen_ids, window_ms = (
        defaultdict(list),
        defaultdict(list),
        set(),
        bounds.retry_window_ms,
    )
    for item in records.of("try"):
        for service in {service for config in records.configs for service in config.services(item)}:
            attempts_ms[service].append(item["atMs"])
    for item in records.of("arrive"):
        if item["id"] in seen_ids:
            retries_ms[item["service"]].append(item["atMs"])
        seen_ids.add(item["id"])
    for service, times_ms in retries_ms.items():
        service_attempts_ms = attempts_ms[service]

        def count_attempts(begin_ms, until_ms):
            return bisect_right(service_attempts_ms, until_ms) - bisect_left(
                service_attempts_ms, begin_ms
            )

        for index, retry_ms in enumerate(times_ms):
            count = index + 1 - bisect_left(times_ms, retry_ms - window_ms + 1)
            max_attempts = max(
                count_attempts(retry_ms - window_ms - shift_ms, retry_ms - shift_ms)
                for shift_ms in (0, window_ms // 2, window_ms)
            )
            if count > bounds.retry_ratio * max_attempts + bounds.extra_retries:
                yield f"{service} got {count} further tries for {max_attempts} requests up to {retry_ms}"
    over = []
    for request_id, runs in records.runs.items():
        route = records.route(records.tries[request_id]) if request_id in records.tries else None
        workers = {item["worker"] for item in runs}
        if route and len(workers) > route.get("tries", FOREVER):
            over.append(f"{request_id} ran on {len(workers)} workers with {route['tries']} tries")
    if len(over) > MAX_OVER_TRIES:
        yield from over
