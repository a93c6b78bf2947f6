"""Rules on where a request may run, and on what memory."""

from bisect import bisect_left, bisect_right
from collections import defaultdict

from swiftdeck.bench.platform_api.rules.records import FOREVER

OVER_TRIES_MOST = 3
"""How many requests may run on more workers than their route's tries."""


def route(records, bounds):
    """A service that runs what no configuration allows to go to it."""
    for item in records.of("run"):
        asked = records.tries.get(item["id"])
        if asked and not any(
            item["service"] in config.services(asked) for config in records.configs
        ):
            yield f"{item['id']} ran at service {item['service']}"


def stale(records, bounds):
    """A run on memory that was made under another version of its model."""
    runs = {item["run"]: item for item in records.of("run")}
    yield from (
        f"{runs[item['run']]['id']} ran on version {runs[item['run']]['version']} with parts of {version}"
        for item in records.of("read")
        for _, version in item["origins"]
        if version != runs[item["run"]]["version"]
    )


def wall(records, bounds):
    """A run on memory of another tenant where one of the two is kept apart."""
    runs = {item["run"]: item for item in records.of("run")}
    apart = {
        name for config in records.configs for name, is_apart in config.apart.items() if is_apart
    }
    yield from (
        f"{runs[item['run']]['id']} of {runs[item['run']]['tenant']} used parts of {tenant}"
        for item in records.of("read")
        for tenant, _ in item["origins"]
        if tenant != runs[item["run"]]["tenant"] and {tenant, runs[item["run"]]["tenant"]} & apart
    )


def drain(records, bounds):
    """A request that reaches a worker long after the list showed it as leaving."""
    shown, turned = (
        {},
        {(item["id"], item["worker"]) for item in records.of("refused") if item["status"] == 421},
    )
    for item in records.of("shown"):
        shown.setdefault(item["worker"], item["atMs"])
    for item in records.of("arrive"):
        asked = records.tries.get(item["id"])
        if (
            asked
            and item["atMs"] > shown.get(item["worker"], FOREVER) + bounds.drain_ms
            and (item["id"], item["worker"]) not in turned
            and bounds.in_touch(asked["router"], item["atMs"])
        ):
            yield f"{item['id']} reached {item['worker']} {item['atMs'] - shown[item['worker']]} ms after it was shown as leaving"


def budget(records, bounds):
    """More arrivals past the first of each request in a window than its requests and the allowance pay for.

    Or requests that ran on more workers than their route's tries.
    """
    sent, extra, seen, window = defaultdict(list), defaultdict(list), set(), bounds.retry_window_ms
    for item in records.of("try"):
        for service in {service for config in records.configs for service in config.services(item)}:
            sent[service].append(item["atMs"])
    for item in records.of("arrive"):
        if item["id"] in seen:
            extra[item["service"]].append(item["atMs"])
        seen.add(item["id"])
    for service, times in extra.items():
        asked = sent[service]

        def between(a, b):
            return bisect_right(asked, b) - bisect_left(asked, a)

        for at, end in enumerate(times):
            count = at + 1 - bisect_left(times, end - window + 1)
            most = max(
                between(end - window - back, end - back) for back in (0, window // 2, window)
            )
            if count > bounds.retry_ratio * most + bounds.extra_retries:
                yield f"{service} got {count} further tries for {most} requests up to {end}"
    over = []
    for name, runs in records.runs.items():
        found = records.route(records.tries[name]) if name in records.tries else None
        workers = {item["worker"] for item in runs}
        if found and len(workers) > found.get("tries", FOREVER):
            over.append(f"{name} ran on {len(workers)} workers with {found['tries']} tries")
    if len(over) > OVER_TRIES_MOST:
        yield from over
