"""Rules on requests that are cut off, and on work for clients that have left."""

from collections import defaultdict

from swiftdeck.bench.platform_api.rules.records import FOREVER

OWN_ENDS = ("silence or deadline", "left", "not reached")
GONE_FEW, GONE_SHARE = 3, 0.25
"""How many requests of clients that left may reach a worker late, or which share be worked on."""
ADMISSION_MS, LAST_SHARE = 3000, 1 / 6
"""Until when after SIGTERM a request may be taken that runs in the last share of the grace."""
UNANSWERED_MOST = 3
"""How many requests from kept connections may be passed on and left without an answer."""


def lost(records, bounds):
    """A request that was cut off around planned work, after it was passed on or held for a while.

    Or, at any time, requests from kept connections that were passed on and left without an answer. A run that has no end in the
    records is one of a worker that died, and so broke off.
    """
    arrived, ended = {item["id"] for item in records.of("arrive")}, defaultdict(list)
    for item in records.of("ran"):
        ended[item["id"]].append(item["atMs"])
    over = {item["run"] for item in records.of("ran")}
    unanswered = []
    for item in records.of("result"):
        asked, end_ms = records.tries[item["id"]], item["atMs"]
        if item["complete"] or not item.get("sent") or item["end"] in OWN_ENDS:
            continue
        held_ms = end_ms - asked["atMs"]
        if (
            not bounds.in_touch(asked["router"], end_ms, asked["atMs"])
            or any(run.get("quirk") for run in records.runs[item["id"]])
            or any(run["run"] not in over for run in records.runs[item["id"]])
            or held_ms >= _held_ms(records, asked)
        ):
            continue
        if item.get("kept") and not item["status"] and item["id"] in ended:
            unanswered.append(f"{item['id']} was left without an answer by {asked['router']}")
        planned = [each for each in records.of("planned") if _bears_on(each, asked, end_ms, bounds)]
        last_ms = max(ended[item["id"]], default=0)
        if not planned or any(_may_be_cut(each, asked, last_ms, bounds) for each in planned):
            continue
        if item["id"] in arrived or held_ms > bounds.loss_slack_ms:
            yield f"{item['id']} was cut off by {asked['router']} after {held_ms} ms"
    if len(unanswered) > UNANSWERED_MOST:
        yield from unanswered


def _may_be_cut(planned, asked, last_ms, bounds):
    """Whether a worker was still at work, up to `last_ms`, at the end of the grace of a router that took the request soon enough."""
    if planned["what"] != "term":
        return False
    is_late_work = last_ms >= planned["atMs"] + bounds.grace_ms * (1 - LAST_SHARE)
    return is_late_work and asked["atMs"] <= planned["atMs"] + ADMISSION_MS


def _held_ms(records, asked):
    """How long a try may be held: what its client waits and its route's timeout."""
    found = records.route(asked)
    return min(asked.get("end_ms", FOREVER), found.get("timeout-ms", FOREVER) if found else FOREVER)


def _bears_on(planned, asked, end_ms, bounds):
    """Whether planned work at a machine may have cut a request off."""
    if planned["machine"] != asked["router"]:
        return False
    begin_ms = planned["atMs"]
    if planned["what"] == "hup":
        return begin_ms <= end_ms and asked["atMs"] <= begin_ms + bounds.apply_within_ms
    return begin_ms <= end_ms <= begin_ms + bounds.grace_ms + 1000


def gone(records, bounds):
    """Requests that reach a worker, or are worked on, long after their clients have closed the connection."""
    left = [
        item
        for item in records.of("left")
        if bounds.in_touch(item["router"], item["atMs"] + bounds.gone_ms, item["atMs"])
    ]
    arrivals = defaultdict(list)
    for item in records.of("arrive"):
        arrivals[item["id"]].append(item["atMs"])
    late = [
        f"{item['id']} reached a worker {at_ms - item['atMs']} ms after its client had left"
        for item in left
        for at_ms in arrivals[item["id"]]
        if at_ms > item["atMs"] + bounds.gone_ms
    ]
    if len(late) > GONE_FEW:
        yield from late
    open_runs = [found for item in left for found in _open_runs(records, bounds, item)]
    worked_on = [
        f"{run['id']} was worked on {end_ms - left_ms} ms after its client had left"
        for run, left_ms, end_ms in open_runs
        if end_ms > left_ms + bounds.gone_ms
    ]
    if len(worked_on) > max(GONE_FEW, GONE_SHARE * len(open_runs)):
        yield from worked_on


def _open_runs(records, bounds, left):
    """The runs of a request that are under way when its client leaves, with that time and their end.

    Left out are those that may not be repeated and are no streams, and those that come to their end soon by themselves.
    """
    asked = records.tries[left["id"]]
    if asked["mode"] != "streaming" and not records.may_repeat(asked):
        return
    ends = {item["run"]: item for item in records.of("ran")}
    left_ms = left["atMs"]
    for run in records.runs[left["id"]]:
        end = ends.get(run["run"])
        end_ms = end["atMs"] if end else FOREVER
        ends_soon = end is not None and end["whole"] and end_ms <= left_ms + bounds.gone_ms
        if run["atMs"] <= left_ms < end_ms and not ends_soon:
            yield run, left_ms, end_ms
