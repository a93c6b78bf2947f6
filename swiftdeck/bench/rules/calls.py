"""Rules of calls: they run once, return whole or at once, and are tried again within a budget."""

from bisect import bisect_right
from collections import Counter, defaultdict

from swiftdeck.bench.rules.records import Outages, by_marker, of_kind

WAIT_MS, DEFAULT_WAIT_MS = {"check": 10000, "tag": 8000}, 10000
REFUSAL_SLACK_MS, GIVE_UP_MS = 1500, 4000
REFUSALS, WAITED_IN_VAIN = range(110, 121), 145
BROKEN_OFF, BROKEN = range(140, 145), (140, 142, 143)
WINDOW_MS, EXTRA_SHARE = 10000, 0.2
RECOVERY_MS = 12000


def runs_once(records, context):
    """A once-only call, known by its Idempotency-Key or else by its try, never runs twice."""
    tries = by_marker(records)
    runs = defaultdict(list)
    for item in of_kind(records, "run"):
        asked = tries.get(item["marker"])
        if asked and asked["route"] != "tag":
            runs[(asked["tenant"], asked["idempotency"] or item["marker"])].append(item["run"])
    yield from (
        f"{key} ran {len(names)} times: {names}" for key, names in runs.items() if len(names) > 1
    )


def not_run_stays(records, context):
    """What was promised not to run did not run, before or after."""
    ran = {item["call"]: item["atMs"] for item in of_kind(records, "run")}
    tries = Counter(item["marker"] for item in of_kind(records, "try"))
    markers = {
        item["marker"]: item["atMs"]
        for item in of_kind(records, "run")
        if tries[item["marker"]] == 1
    }
    for item in of_kind(records, "return"):
        at_ms = ran.get(item.get("call") or None) or markers.get(item["marker"])
        if item["notRun"] and at_ms is not None:
            yield f"{item['marker']} was refused at {item['atMs']} and ran at {at_ms}"


def pieces_belong(records, context):
    """A caller gets pieces of its own call and of one run, in order.

    A whole return comes only from a whole run.
    """
    whole = {item["run"] for item in of_kind(records, "ran") if item["whole"]}
    saw_workers = any(of_kind(records, "run"))
    for item in of_kind(records, "return"):
        if item["wrong"]:
            yield f"{item['marker']}: {item['wrong']}"
        if item["whole"] and saw_workers and item["run"] not in whole:
            yield f"{item['marker']}: whole return of run {item['run']}, which no worker finished"


def not_cut_off(records, context):
    """A call is not lost while its own router and its own worker serve and its caller stays."""
    outages, tries = Outages(records), {}
    where = {item["run"]: item["who"] for item in of_kind(records, "run")}
    runs = defaultdict(list)
    for item in of_kind(records, "run"):
        runs[item["marker"]].append(item)
    for item in of_kind(records, "try", "return"):
        if item["kind"] == "try":
            tries[item["marker"]] = item
            continue
        asked = tries.get(item["marker"], {"atMs": item["atMs"], "door": ""})
        if not _is_lost(item):
            continue
        late = [run["who"] for run in runs[item["marker"]] if run["atMs"] >= asked["atMs"]]
        workers = {where.get(item["run"]), item.get("sentTo"), *late} - {None, ""}
        names = [asked.get("router", ""), *workers]
        if not any(outages.fell(name, asked["atMs"], item["atMs"]) for name in names):
            yield (
                f"{item['marker']} broke at {item['atMs']} with code {item['code']}, "
                f"status {item['status']}, "
                f"while {sorted(workers)} and {asked.get('router')} served"
            )


def _is_lost(item):
    """Whether a return broke off while its caller stayed."""
    if item["whole"] or item.get("gaveUp") or item.get("left"):
        return False
    return item["status"] in (-1, -2, 200) or item["code"] in BROKEN_OFF


def returned_at_once(records, context):
    """A call that is given up has its return at once, with a time to come back."""
    outages, tries = Outages(records), {}
    ended = defaultdict(int)
    for item in of_kind(records, "try", "ran", "return"):
        if item["kind"] == "try":
            tries[item["marker"]] = item
        elif item["kind"] == "ran":
            ended[item["call"]] = item["atMs"]
        elif not item["whole"] and item["code"]:
            asked = tries.get(item["marker"])
            if asked is None:
                continue
            if not outages.fell(asked.get("router", ""), asked["atMs"], item["atMs"]):
                yield from _late_refusal(asked, item)
                yield from _late_failure(item, ended[item["call"]])


def _late_refusal(asked, item):
    if item["code"] not in (*REFUSALS, WAITED_IN_VAIN):
        return
    took_ms = item["atMs"] - asked["atMs"]
    refusal = f"{item['marker']} was refused with {item['code']}"
    if not item.get("retryAfter"):
        yield f"{refusal} and no time to come back"
    if took_ms > WAIT_MS.get(asked["route"], DEFAULT_WAIT_MS) + REFUSAL_SLACK_MS:
        yield f"{refusal} after {took_ms} ms"


def _late_failure(item, ended_ms):
    since_ms = item["atMs"] - ended_ms
    if item["code"] in BROKEN and ended_ms and since_ms > GIVE_UP_MS:
        yield f"{item['marker']} was given up {since_ms} ms after its worker had ended it"


def tries_are_few(records, context):
    """Extra tries stay within one in five of the calls of ten seconds, plus an allowance.

    Counted over all models, the calls made or begun in the ten seconds before each extra try.
    """
    runs = [
        (item["atMs"], item["marker"], int(item["run"].rsplit("-", 1)[1]))
        for item in of_kind(records, "run")
        if "-" in item["run"]
    ]
    extras = [at_ms for at_ms, _, attempt in runs if attempt > 1]
    begun = [(at_ms, marker) for at_ms, marker, attempt in runs if attempt == 1]
    made = [(item["atMs"], item["marker"]) for item in of_kind(records, "try")]
    seen = sorted(made + begun)
    times = [at_ms for at_ms, _ in seen]
    for at_ms in extras:
        from_ms = at_ms - WINDOW_MS
        spent = bisect_right(extras, at_ms) - bisect_right(extras, from_ms)
        window = seen[bisect_right(times, from_ms) : bisect_right(times, at_ms)]
        calls = len({marker for _, marker in window})
        if spent > context.budget_extra and spent > EXTRA_SHARE * calls + context.budget_extra:
            yield f"{spent} extra tries in the ten seconds before {at_ms}, of {calls} calls"


def service_returns(records, context):
    """Twelve seconds after a closing fault, calls are served again on each route as before."""
    ends = [item["atMs"] for item in of_kind(records, "closing")]
    returns = [item for item in of_kind(records, "return") if item["whole"]]
    last = max((item["atMs"] for item in records), default=0)
    for end_ms in ends:
        due_ms = end_ms + RECOVERY_MS
        before = {item["route"] for item in returns if end_ms - 30000 < item["atMs"] <= end_ms}
        after = {item["route"] for item in returns if end_ms < item["atMs"] <= due_ms}
        if last > due_ms:
            yield from (
                f"no call of route {route} served from {end_ms} to {due_ms}"
                for route in sorted(before - after)
            )
