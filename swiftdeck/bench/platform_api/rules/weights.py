"""Rules on orders to workers, and on the age of the weights on which a request begins."""

from collections import defaultdict

LEFT_BEHIND_SHARE, LEFT_BEHIND_STRETCH = 0.1, 1.5
"""Which share of the workers may have old weights at the end, after so many times the bound."""


def one(records, bounds):
    """Orders of two holders under one fence, a lower fence after a higher one, or holders that take turns."""
    workers = defaultdict(list)
    for item in records.of("order"):
        workers[item["worker"]].append(item)
    for worker, orders in workers.items():
        for before, now in zip(orders, orders[1:], strict=False):
            if now["fence"] < before["fence"] and (
                not bounds.checks_fences or now["status"] in (200, 202)
            ):
                yield f"{worker} got fence {now['fence']} after {before['fence']}"
            apart_ms = abs(_given_ms(now) - _given_ms(before))
            if now["owner"] != before["owner"] and apart_ms < bounds.lease_ms:
                yield f"{worker} got orders of {before['owner']} and {now['owner']} at {before['atMs']} and {now['atMs']}"
        for fence in {item["fence"] for item in orders}:
            owners = {item["owner"] for item in orders if item["fence"] == fence}
            if len(owners) > 1:
                yield f"{worker} got orders of {sorted(owners)} under fence {fence}"


def _given_ms(order):
    """When an order was given: before it arrived by as long as it was held up on its way."""
    return order["atMs"] - order.get("heldMs", 0)


def version(records, bounds):
    """A run that begins on weights much older than what was acknowledged, or workers that are left behind."""
    named = records.of("named")
    for item in records.of("run"):
        asked = records.tries.get(item["id"])
        if asked is None or not bounds.in_touch(asked["router"], item["atMs"]):
            continue
        for each in named:
            if each["model"] != item["model"] or item["version"] >= each["version"]:
                continue
            longest_ms = max(bounds.settled_stretches(each["atMs"], item["atMs"]), default=0)
            if longest_ms > bounds.version_ms:
                late_ms = item["atMs"] - each["atMs"]
                yield (
                    f"{item['id']} began on version {item['version']}, "
                    f"{late_ms} ms after version {each['version']} was acknowledged"
                )
    yield from _left_behind(records, bounds)


def _left_behind(records, bounds):
    """Workers that still have older weights when the traffic ends, though there was time enough to move them."""
    for end in records.of("trafficEnds"):
        for model in {each["model"] for each in records.of("named")}:
            able = [each for each in end["workers"] if model in each["versions"]]
            behind = [each for each in able if _is_left_behind(records, bounds, end, each, model)]
            if len(behind) > max(1, LEFT_BEHIND_SHARE * len(able)):
                names = sorted(each["worker"] for each in behind)
                yield f"{names} still have old weights of {model} when the traffic ends"


def _is_left_behind(records, bounds, end, worker, model):
    up_ms = max(
        (item["atMs"] for item in records.of("up") if item.get("worker") == worker["worker"]),
        default=0,
    )
    return any(
        sum(bounds.settled_stretches(max(each["atMs"], up_ms), end["atMs"]))
        > LEFT_BEHIND_STRETCH * bounds.version_ms
        for each in records.of("named")
        if each["model"] == model and each["version"] > worker["versions"][model]
    )
