"""Rules of placement: which worker a call may run on, and beside how many others."""

from collections import defaultdict

import msgspec

from swiftdeck.bench.rules.records import (
    BACK_MS,
    FOREVER_MS,
    OUTAGE_MS,
    Outages,
    by_marker,
    caps_at,
    isolation_at,
    models_of_workers,
    of_kind,
)

DRAIN_MS, PAUSE_MS = 3000, 2500
NO_ROOM = (110, 111, 112)


def apart_stays_apart(records, context):
    """While a tenant is isolated, none of its runs reads another's prefix, nor the reverse."""
    runs = {item["run"]: item for item in of_kind(records, "run")}
    is_isolated = isolation_at(records, context.apart)
    for item in of_kind(records, "prefill"):
        run = runs.get(item["run"], {})
        reader, at_ms = run.get("tenant"), run.get("atMs", item["atMs"])
        yield from (
            f"{reader} read a prefix of {maker} in {item['run']}"
            for maker, _ in item["origins"]
            if maker != reader and (is_isolated(maker, at_ms) or is_isolated(reader, at_ms))
        )


def weights_match(records, context):
    """No call runs on a prefix made under other weights, nor on a worker that has others loaded."""
    runs = {item["run"]: item for item in of_kind(records, "run")}
    for item in of_kind(records, "prefill"):
        run = runs.get(item["run"], {})
        yield from (
            f"{item['run']} under {run.get('weights')} read a prefix of {made}"
            for _, made in item["origins"]
            if made != run.get("weights")
        )
    yield from (
        f"{item['run']} asked {item['weights']}, loaded {item['loaded']}"
        for item in runs.values()
        if item["weights"] != item["loaded"]
    )


def draining_is_left(records, context):
    """No call reaches a worker more than three seconds after the list stops to offer it.

    The list shows it draining then, or no longer shows it.
    """
    since = {}
    for item in records:
        if item["kind"] == "list":
            _note_list(since, item)
        elif item["kind"] == "run":
            since_ms = since.get(item["who"])
            if since_ms is not None and item["atMs"] > since_ms + DRAIN_MS:
                yield (
                    f"{item['run']} reached {item['who']} at {item['atMs']}, "
                    f"draining since {since_ms}"
                )


def _note_list(since, item):
    """Keep since when the list has not offered each worker; None for one that it offers."""
    shown = {worker["name"]: worker for worker in item["workers"]}
    for name in set(since) | set(shown):
        if name in shown and not shown[name]["draining"]:
            since[name] = None
        elif since.get(name) is None:
            since[name] = item["atMs"]


def later_calls_pass(records, context):
    """A later call of an admitted conversation neither waits nor is refused for want of room.

    Judged while its worker, its router, the coordinator, the chain and the platform serve.
    """
    outages, offers = Outages(records), _offers(records)
    last, tries = {}, {}
    for back in of_kind(records, "try", "return"):
        if back["kind"] == "try":
            tries[back["marker"]] = back
            continue
        asked = tries.get(back["marker"], {})
        talk = asked.get("talk")
        if not talk:
            continue
        before, last[talk] = last.get(talk), back
        if not _continues(asked, before) or _control_fell(outages, asked, before, back):
            continue
        worker = before.get("worker")
        if _is_held_up(back) and _served(outages, offers, worker, before["atMs"], back["atMs"]):
            yield (
                f"{asked['marker']}, turn {asked['turn']}, code {back['code']}, "
                f"waited {back.get('waitedMs')} ms at {back['atMs']} while {worker} served"
            )


def _offers(records):
    """Time and, by worker, whether it drains, of each list."""
    return [
        (item["atMs"], {worker["name"]: worker["draining"] for worker in item["workers"]})
        for item in of_kind(records, "list")
    ]


def _continues(asked, before):
    """Whether a call goes on with a conversation before the pause that ends its admission."""
    return (
        asked["turn"] >= 1
        and before is not None
        and before["whole"]
        and asked["atMs"] - before["atMs"] <= PAUSE_MS
    )


def _control_fell(outages, asked, before, back):
    """Whether something that admits calls was not well from the call before to this one's end."""
    from_ms, to_ms = before["atMs"], back["atMs"]
    return (
        outages.chain_fell(from_ms, to_ms)
        or outages.coordinator_fell(from_ms - 10000, to_ms)
        or outages.fell(asked["router"], asked["atMs"], to_ms)
        or outages.fell("platform", from_ms, to_ms)
    )


def _is_held_up(back):
    waited = back["whole"] and back.get("waitedMs", 0) > 0
    return back["code"] in NO_ROOM or waited


def _served(outages, offers, worker, from_ms, to_ms):
    """Whether a worker was well, and offered by each list from one time to another."""
    seen = [workers for at_ms, workers in offers if at_ms <= from_ms][-1:]
    seen += [workers for at_ms, workers in offers if from_ms < at_ms <= to_ms]
    is_well = not outages.fell(worker, from_ms - BACK_MS, to_ms)
    return is_well and all(not workers.get(worker, True) for workers in seen)


class _Running(msgspec.Struct):
    """A run on a worker: its conversation, its router, and when it ends."""

    talk: str
    router: str
    end_ms: int


def starts_within_cap(records, context):
    """No conversation starts on a worker that runs calls of as many others as its cap allows.

    Conversations that moved, or whose router is cut off, are left out.
    """
    outages, cap_of = Outages(records), caps_at(records)
    models, tries = models_of_workers(records), by_marker(records)
    ends = {item["run"]: item["atMs"] for item in of_kind(records, "ran")}
    running, homes = defaultdict(dict), {}
    for item in of_kind(records, "run", "up"):
        worker, at_ms, here = item["who"], item["atMs"], running[item["who"]]
        if item["kind"] == "up":
            here.clear()
            continue
        asked = tries.get(item["marker"])
        if asked is None:
            continue
        _remove_ended(here, at_ms)
        talk = asked.get("talk") or item["marker"]
        is_start = talk not in homes
        has_moved = homes.get(talk, worker) != worker or not item["run"].endswith("-1")
        homes[talk] = worker
        if has_moved:
            continue
        count, cap = _count_others(here, talk, outages, at_ms), cap_of(models.get(worker), at_ms)
        if is_start and count >= cap and not outages.coordinator_fell(at_ms - 10000, at_ms):
            yield f"{item['run']} started on {worker} at {at_ms} beside {count} others, cap {cap}"
        end_ms = ends.get(item["run"], FOREVER_MS)
        here[item["run"]] = _Running(talk, asked.get("router", ""), end_ms)


def _remove_ended(here, at_ms):
    for name in [name for name, run in here.items() if run.end_ms <= at_ms + 100]:
        del here[name]


def _count_others(here, talk, outages, at_ms):
    """Other conversations that run on a worker and whose router was well."""
    others = {
        run.talk
        for run in here.values()
        if run.talk != talk and not outages.fell(run.router, at_ms - OUTAGE_MS, at_ms)
    }
    return len(others)
