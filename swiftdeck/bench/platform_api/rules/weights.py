"""Rules on orders to workers, and on the version of the weights on which a request begins."""

from collections import defaultdict

LEFT_BEHIND_SHARE, LEFT_BEHIND_BOUND_FACTOR = 0.1, 1.5
"""The share of the workers that may have old weights at the end, and the multiple of the time bound after which they count."""


def one(records, bounds):
    """Find orders of two owners under one fence, a lower fence after a higher one, or alternating owners within a lease."""
    workers = defaultdict(list)
    for item in records.of("order"):
        workers[item["worker"]].append(item)
    for worker, orders in workers.items():
        for previous, current in zip(orders, orders[1:], strict=False):
            if current["fence"] < previous["fence"] and (
                not bounds.checks_fences or current["status"] in (200, 202)
            ):
                yield f"{worker} got fence {current['fence']} after {previous['fence']}"
            distance_ms = abs(_issued_ms(current) - _issued_ms(previous))
            if current["owner"] != previous["owner"] and distance_ms < bounds.lease_ms:
                yield f"{worker} got orders of {previous['owner']} and {current['owner']} at {previous['atMs']} and {current['atMs']}"
        for fence in {item["fence"] for item in orders}:
            owners = {item["owner"] for item in orders if item["fence"] == fence}
            if len(owners) > 1:
                yield f"{worker} got orders of {sorted(owners)} under fence {fence}"


def _issued_ms(order):
    """Return when an order was issued: its arrival less the time it was delayed in transit."""
    return order["atMs"] - order.get("heldMs", 0)


def version(records, bounds):
    """Find runs that begin on weights long replaced by an acknowledged version, and workers that are left behind."""
    announcements = records.of("named")
    for item in records.of("run"):
        attempt = records.tries.get(item["id"])
        if attempt is None or not bounds.in_touch(attempt["router"], item["atMs"]):
            continue
        for announcement in announcements:
            if announcement["model"] != item["model"] or item["version"] >= announcement["version"]:
                continue
            longest_ms = max(
                bounds.settled_stretches(announcement["atMs"], item["atMs"]), default=0
            )
            if longest_ms > bounds.version_ms:
                late_ms = item["atMs"] - announcement["atMs"]
                yield (
                    f"{item['id']} began on version {item['version']}, "
                    f"{late_ms} ms after version {announcement['version']} was acknowledged"
                )
    yield from _left_behind(records, bounds)


def _left_behind(records, bounds):
    """Find workers that still have older weights when the traffic ends, although there was time to update them."""
    for end in records.of("trafficEnds"):
        for model in {item["model"] for item in records.of("named")}:
            capable = [worker for worker in end["workers"] if model in worker["versions"]]
            behind = [
                worker for worker in capable if _is_left_behind(records, bounds, end, worker, model)
            ]
            if len(behind) > max(1, LEFT_BEHIND_SHARE * len(capable)):
                names = sorted(worker["worker"] for worker in behind)
                yield f"{names} still have old weights of {model} when the traffic ends"


def _is_left_behind(records, bounds, end, worker, model):
    up_ms = max(
        (item["atMs"] for item in records.of("up") if item.get("worker") == worker["worker"]),
        default=0,
    )
    return any(
        sum(bounds.settled_stretches(max(announcement["atMs"], up_ms), end["atMs"]))
        > LEFT_BEHIND_BOUND_FACTOR * bounds.version_ms
        for announcement in records.of("named")
        if announcement["model"] == model and announcement["version"] > worker["versions"][model]
    )
