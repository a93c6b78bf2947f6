"""Rules on requests that are cut off, and on work for clients that closed their connection."""

from collections import defaultdict

from swiftdeck.bench.platform_api.rules.records import FOREVER

CLIENT_ENDS = ("silence or deadline", "left", "not reached")
MAX_GONE, MAX_GONE_SHARE = 3, 0.25
"""How many requests of clients that closed may reach a worker late, and how many or which share may still be worked on."""
ADMISSION_MS, LATE_GRACE_SHARE = 3000, 1 / 6
"""A request may be cut off that was sent up to `ADMISSION_MS` after SIGTERM and still ran in the last share of the grace period."""
MAX_UNANSWERED = 3
"""How many requests on reused connections may be passed on and left without an answer."""


def lost(records, bounds):
    """Find requests that were cut off around planned work, after they were passed on or held for longer than a slack.

    Also finds, at any time, too many requests on reused connections that were passed on and left without an answer. Requests
    with a run that has no end in the records are left out, as its worker died.
    """
    arrived, run_ends_ms = {item["id"] for item in records.of("arrive")}, defaultdict(list)
    for item in records.of("ran"):
        run_ends_ms[item["id"]].append(item["atMs"])
    ended_runs = {item["run"] for item in records.of("ran")}
    unanswered = []
    for item in records.of("result"):
        attempt, end_ms = records.tries[item["id"]], item["atMs"]
        if item["complete"] or not item.get("sent") or item["end"] in CLIENT_ENDS:
            continue
        held_ms = end_ms - attempt["atMs"]
        if (
            not bounds.in_touch(attempt["router"], end_ms, attempt["atMs"])
            or any(run.get("quirk") for run in records.runs[item["id"]])
            or any(run["run"] not in ended_runs for run in records.runs[item["id"]])
            or held_ms >= _max_held_ms(records, attempt)
        ):
            continue
        if item.get("kept") and not item["status"] and item["id"] in run_ends_ms:
            unanswered.append(f"{item['id']} was left without an answer by {attempt['router']}")
        planned = [
            work for work in records.of("planned") if _may_affect(work, attempt, end_ms, bounds)
        ]
        last_run_end_ms = max(run_ends_ms[item["id"]], default=0)
        if not planned or any(
            _may_be_cut(work, attempt, last_run_end_ms, bounds) for work in planned
        ):
            continue
        if item["id"] in arrived or held_ms > bounds.loss_slack_ms:
            yield f"{item['id']} was cut off by {attempt['router']} after {held_ms} ms"
    if len(unanswered) > MAX_UNANSWERED:
        yield from unanswered


def _may_be_cut(planned, attempt, last_run_end_ms, bounds):
    """Return whether a stopping router may have cut off a request at the end of its grace period.

    It may if the request was sent soon enough after SIGTERM and a worker still ran it, up to `last_run_end_ms`, in the last
    share of the grace period.
    """
    if planned["what"] != "term":
        return False
    is_late_work = last_run_end_ms >= planned["atMs"] + bounds.grace_ms * (1 - LATE_GRACE_SHARE)
    return is_late_work and attempt["atMs"] <= planned["atMs"] + ADMISSION_MS


def _max_held_ms(records, attempt):
    """Return how long in ms an attempt may be held: the time its client waits or its route's timeout, whichever is shorter."""
    route = records.route(attempt)
    return min(
        attempt.get("end_ms", FOREVER), route.get("timeout-ms", FOREVER) if route else FOREVER
    )


def _may_affect(planned, attempt, end_ms, bounds):
    """Return whether planned work at a machine may have cut off a request."""
    if planned["machine"] != attempt["router"]:
        return False
    begin_ms = planned["atMs"]
    if planned["what"] == "hup":
        return begin_ms <= end_ms and attempt["atMs"] <= begin_ms + bounds.apply_within_ms
    return begin_ms <= end_ms <= begin_ms + bounds.grace_ms + 1000


def gone(records, bounds):
    """Find requests that reach a worker, or are worked on, long after their clients closed the connection."""
    left = [
        item
        for item in records.of("left")
        if bounds.in_touch(item["router"], item["atMs"] + bounds.gone_ms, item["atMs"])
    ]
    arrivals = defaultdict(list)
    for item in records.of("arrive"):
        arrivals[item["id"]].append(item["atMs"])
    late_arrivals = [
        f"{item['id']} reached a worker {at_ms - item['atMs']} ms after its client had left"
        for item in left
        for at_ms in arrivals[item["id"]]
        if at_ms > item["atMs"] + bounds.gone_ms
    ]
    if len(late_arrivals) > MAX_GONE:
        yield from late_arrivals
    open_runs = [open_run for item in left for open_run in _open_runs(records, bounds, item)]
    worked_on = [
        f"{run['id']} was worked on {end_ms - left_ms} ms after its client had left"
        for run, left_ms, end_ms in open_runs
        if end_ms > left_ms + bounds.gone_ms
    ]
    if len(worked_on) > max(MAX_GONE, MAX_GONE_SHARE * len(open_runs)):
        yield from worked_on


def _open_runs(records, bounds, left):
    """Yield (run, close time, end time) of the runs of a request in progress when its client closes, with times in ms.

    Leaves out requests that must not be repeated and are not streams, and runs that soon complete by themselves.
    """
    attempt = records.tries[left["id"]]
    if attempt["mode"] != "streaming" and not records.may_repeat(attempt):
        return
    ends = {item["run"]: item for item in records.of("ran")}
    left_ms = left["atMs"]
    for run in records.runs[left["id"]]:
        end = ends.get(run["run"])
        end_ms = end["atMs"] if end else FOREVER
        ends_soon = end is not None and end["whole"] and end_ms <= left_ms + bounds.gone_ms
        if run["atMs"] <= left_ms < end_ms and not ends_soon:
            yield run, left_ms, end_ms
