"""The verdict: broken rules and invariants, what was wrong at the end, and too little done."""

import json
from collections import Counter

import attrs
import msgspec

from swiftdeck.bench.platform_api.checker import check
from swiftdeck.bench.platform_api.client import LEFT
from swiftdeck.bench.platform_api.rules.endings import lost
from swiftdeck.bench.platform_api.rules.records import Records
from swiftdeck.soak.site import BOUNDS

SERVED_SHARE, REQUESTS_EACH_S, CHANGES_EACH_S = 0.5, 1.0, 0.3
LOST, CONFIG, BROKEN_OFF = "LOST", "CONFIG", "broken off"
RECORDS, VERDICT, SCHEDULE = "records.jsonl", "verdict.json", "schedule.txt"


@attrs.frozen
class Sums:
    """What happened in a run."""

    requests: int
    served: int
    runs: int
    changes: int
    weights: int
    orders: int
    planned: int
    troubles: int
    overlap: float
    lost_answers: int
    left: int
    late_orders: int
    counters_read: int
    stalls: int
    longest_stall_s: float


@attrs.frozen
class Verdict:
    """What was found in a run, by kind, and its sums."""

    seed: int
    rules: dict
    invariants: list
    wrong: list
    sums: Sums

    def is_clean(self) -> bool:
        """Whether nothing was found."""
        return not (self.rules or self.invariants or self.wrong)

    def line(self) -> str:
        """It in one line."""
        kinds = {rule: len(found) for rule, found in self.rules.items()}
        kinds |= {"invariants": len(self.invariants)} if self.invariants else {}
        kinds |= {"wrong": len(self.wrong)} if self.wrong else {}
        state = "clean" if self.is_clean() else f"red {json.dumps(kinds)}"
        return f"seed {self.seed}: {state}, {json.dumps(attrs.asdict(self.sums))}"


def with_broken_off(items) -> list:
    """The records, with runs marked that their worker broke off by a crash or at the deadline."""
    ended = {run for item in items if item["kind"] == "crashed" for run in item["runs"]}
    ended |= {item["run"] for item in items if item["kind"] == "brokeOff"}
    return [
        item | {"quirk": BROKEN_OFF} if item["kind"] == "run" and item["run"] in ended else item
        for item in items
    ]


def broken_rules(items, troubles, slack) -> dict:
    """Breaches by rule.

    A planned stop or start takes a machine, or with a core the whole site, out of contact like any
    other trouble; LOST alone is about planned work, and is excused by unplanned trouble only.
    """
    items = with_broken_off(items)
    every = [*troubles.noted, *troubles.planned]
    found = check(items, BOUNDS.judged(every, slack))
    found.pop(LOST, None)
    cut_off = list(lost(Records(items), BOUNDS.judged(troubles.noted, slack)))
    old = list(old_reads(items, int(BOUNDS.apply_within_ms * slack)))
    found |= {LOST: cut_off} if cut_off else {}
    return found | ({CONFIG: [*found.get(CONFIG, ()), *old]} if old else {})


def old_reads(items, apply_within_ms):
    """Reads that a core, in contact or not, answered with a configuration that is too old."""
    told = sorted(
        (item["atMs"], item["version"])
        for item in items
        if item["kind"] == "told" and item["status"] == 200
    )
    for read in items:
        if read["kind"] != "configRead":
            continue
        due = [version for at_ms, version in told if at_ms + apply_within_ms < read["sentMs"]]
        if due and read["version"] < max(due):
            yield (
                f"{read['core']} showed configuration {read['version']} to a read sent "
                f"at {read['sentMs']}, {max(due)} was acknowledged long before"
            )


def judge(soak) -> Verdict:
    """Judge a run that is over, and leave records and verdict in its folder."""
    rules = broken_rules(soak.items, soak.troubles, soak.size.slack)
    sums = _sums(soak)
    wrong = [*soak.wrong, *soak.troubles.stuck(), *_unexpected_ends(soak), *_too_little(soak, sums)]
    verdict = Verdict(soak.seed, rules, sorted(soak.invariants.found), wrong, sums)
    _leave(soak, verdict)
    return verdict


def _sums(soak):
    kinds = Counter(item["kind"] for item in soak.items)
    last = {
        item["id"].rpartition(".")[0]: item
        for item in soak.items
        if item["kind"] == "result" and item["end"] != LEFT
    }
    return Sums(
        requests=len(last),
        served=sum(item["complete"] and 200 <= item["status"] < 300 for item in last.values()),
        runs=kinds["run"],
        changes=soak.operators.statuses.count(200),
        weights=kinds["named"],
        orders=sum(item["kind"] == "order" and item["status"] == 202 for item in soak.items),
        planned=kinds["planned"],
        troubles=len(soak.troubles.done),
        overlap=round(soak.schedule.overlap(), 2),
        lost_answers=sum(each.lost for each in soak.operators.all),
        left=kinds["left"],
        late_orders=sum(
            item["kind"] == "order" and item.get("heldMs", 0) > 0 for item in soak.items
        ),
        counters_read=soak.invariants.answers,
        stalls=soak.stalls.count,
        longest_stall_s=round(soak.stalls.longest_s, 2),
    )


def _unexpected_ends(soak):
    return [
        f"{name}, life {life}, ended by itself with {status}"
        for name, process in soak.processes.by_name.items()
        for life, status in process.unexpected
    ]


def _too_little(soak, sums):
    """A run in which little happened shows nothing."""
    seconds = soak.size.seconds
    least = {
        "requests": (sums.requests, REQUESTS_EACH_S * seconds),
        "requests served": (sums.served, SERVED_SHARE * sums.requests),
        "changes": (sums.changes, CHANGES_EACH_S * seconds),
        "weights named": (sums.weights, 1),
        "orders": (sums.orders, 1),
        "counters read": (sums.counters_read, 1),
        "planned stops": (sums.planned, 1),
        "clients that left": (sums.left, 1),
    }
    return [f"only {count} {what}" for what, (count, wanted) in least.items() if count < wanted]


def _leave(soak, verdict):
    with open(soak.folder / RECORDS, "wb") as file:
        for item in soak.items:
            file.write(msgspec.json.encode(item) + b"\n")
    told = attrs.asdict(verdict) | {
        "noted": soak.troubles.noted,
        "planned": soak.troubles.planned,
    }
    (soak.folder / VERDICT).write_text(json.dumps(told, indent=1))
    lines = [*soak.schedule.lines(), "done at:"]
    lines += [f"{at_s:7.2f} {trouble.line()}" for at_s, trouble in soak.troubles.done]
    (soak.folder / SCHEDULE).write_text("\n".join(lines) + "\n")
