"""Judge a run: broken rules and invariants, problems at the end, and too little activity."""

import json
from collections import Counter

import attrs
import msgspec

from swiftdeck.bench.platform_api.checker import check
from swiftdeck.bench.platform_api.client import LEFT
from swiftdeck.bench.platform_api.rules.endings import lost
from swiftdeck.bench.platform_api.rules.records import Records
from swiftdeck.soak.site import BOUNDS

MIN_SERVED_SHARE, MIN_REQUESTS_PER_S, MIN_CHANGES_PER_S = 0.5, 1.0, 0.3
LOST, CONFIG, BROKEN_OFF = "LOST", "CONFIG", "broken off"
RECORDS_FILE, VERDICT_FILE, SCHEDULE_FILE = "records.jsonl", "verdict.json", "schedule.txt"


@attrs.frozen
class RunTotals:
    """Totals of what happened in a run."""

    requests: int
    served: int
    runs: int
    changes: int
    tenant_changes: int
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
    crowd_connections: int
    memory_mb: dict
    descriptors: dict


@attrs.frozen
class Verdict:
    """Findings of a run by kind, and the totals of the run."""

    seed: int
    rules: dict
    invariants: list
    wrong: list
    sums: RunTotals

    def is_clean(self) -> bool:
        """Return whether nothing was found."""
        return not (self.rules or self.invariants or self.wrong)

    def line(self) -> str:
        """Return a summary in one line."""
        counts = {rule: len(violations) for rule, violations in self.rules.items()}
        counts |= {"invariants": len(self.invariants)} if self.invariants else {}
        counts |= {"wrong": len(self.wrong)} if self.wrong else {}
        state = "clean" if self.is_clean() else f"red {json.dumps(counts)}"
        return f"seed {self.seed}: {state}, {json.dumps(attrs.asdict(self.sums))}"


def mark_broken_off_runs(items) -> list:
    """Return the records; mark the runs that their worker ended by a crash or at the deadline."""
    ended = {run for item in items if item["kind"] == "crashed" for run in item["runs"]}
    ended |= {item["run"] for item in items if item["kind"] == "brokeOff"}
    return [
        item | {"quirk": BROKEN_OFF} if item["kind"] == "run" and item["run"] in ended else item
        for item in items
    ]


def broken_rules(items, troubles, slack) -> dict:
    """Return the violations of each broken rule.

    A planned stop or start of a machine counts as lost contact like any other trouble; that of
    a core counts as lost contact of the whole site. Only LOST is about planned work and is
    therefore excused by unplanned trouble alone.
    """
    items = mark_broken_off_runs(items)
    all_troubles = [*troubles.noted, *troubles.planned]
    violations = check(items, BOUNDS.judged(all_troubles, slack))
    violations.pop(LOST, None)
    lost_requests = list(lost(Records(items), BOUNDS.judged(troubles.noted, slack)))
    stale = list(stale_reads(items, int(BOUNDS.apply_within_ms * slack)))
    violations |= {LOST: lost_requests} if lost_requests else {}
    return violations | ({CONFIG: [*violations.get(CONFIG, ()), *stale]} if stale else {})


def stale_reads(items, apply_within_ms):
    """Yield reads that a core answered with a stale configuration, whether in contact or not.

    A read is stale if it was sent more than `apply_within_ms` after a newer version was
    acknowledged.
    """
    acknowledged = sorted(
        (item["atMs"], item["version"])
        for item in items
        if item["kind"] == "told" and item["status"] == 200
    )
    for read in items:
        if read["kind"] != "configRead":
            continue
        due = [
            version for at_ms, version in acknowledged if at_ms + apply_within_ms < read["sentMs"]
        ]
        if due and read["version"] < max(due):
            yield (
                f"{read['core']} showed configuration {read['version']} to a read sent "
                f"at {read['sentMs']}, {max(due)} was acknowledged long before"
            )


def judge(soak) -> Verdict:
    """Judge a finished run, and write its records, verdict and schedule to its folder."""
    rules = broken_rules(soak.items, soak.troubles, soak.size.slack)
    sums = _totals(soak)
    problems = [
        *soak.problems,
        *soak.troubles.unexplained_late_stops(),
        *_unexpected_ends(soak),
        *exceeded_limits(soak.site, soak.resources.usage),
        *_activity_shortfalls(soak, sums),
    ]
    verdict = Verdict(soak.seed, rules, sorted(soak.invariants.found), problems, sums)
    _write_results(soak, verdict)
    return verdict


def _totals(soak):
    counts = Counter(item["kind"] for item in soak.items)
    last_results = {
        item["id"].rpartition(".")[0]: item
        for item in soak.items
        if item["kind"] == "result" and item["end"] != LEFT
    }
    return RunTotals(
        requests=len(last_results),
        served=sum(
            item["complete"] and 200 <= item["status"] < 300 for item in last_results.values()
        ),
        runs=counts["run"],
        changes=soak.operators.statuses.count(200),
        tenant_changes=sum(operator.tenant_changes for operator in soak.operators.all),
        weights=counts["named"],
        orders=sum(item["kind"] == "order" and item["status"] == 202 for item in soak.items),
        planned=counts["planned"],
        troubles=len(soak.troubles.started),
        overlap=round(soak.schedule.overlap(), 2),
        lost_answers=sum(operator.lost_answers for operator in soak.operators.all),
        left=counts["left"],
        late_orders=sum(
            item["kind"] == "order" and item.get("heldMs", 0) > 0 for item in soak.items
        ),
        counters_read=soak.invariants.answered_reads,
        stalls=soak.stalls.count,
        longest_stall_s=round(soak.stalls.longest_s, 2),
        crowd_connections=soak.troubles.crowd_connections,
        memory_mb=_peaks(soak, lambda usage: usage.memory_bytes >> 20),
        descriptors=_peaks(soak, lambda usage: usage.descriptors),
    )


def _unexpected_ends(soak):
    return [
        f"{name}, life {life}, ended by itself with {status}"
        for name, process in soak.processes.by_name.items()
        for life, status in process.unexpected_ends
    ]


def _peaks(soak, figure) -> dict:
    """Return the largest figure of the processes of each role."""
    peaks = {}
    for name, usage in soak.resources.usage.items():
        role = soak.site.machines[name].role
        peaks[role] = max(peaks.get(role, 0), figure(usage))
    return peaks


def exceeded_limits(site, usage_by_name):
    """Describe the processes that used more than their machine has."""
    for name, usage in usage_by_name.items():
        limits = site.limits[site.machines[name].role]
        if usage.memory_bytes > limits.memory_mb << 20:
            yield f"{name} used {usage.memory_bytes >> 20} MB of {limits.memory_mb}"
        if usage.descriptors > limits.file_handles:
            yield f"{name} used {usage.descriptors} descriptors of {limits.file_handles}"


def _activity_shortfalls(soak, sums):
    """Describe what fell short of its minimum, as a run with little activity shows nothing."""
    seconds = soak.size.seconds
    served_share = 0.0 if soak.size.crowds else MIN_SERVED_SHARE
    minimums = {
        "requests": (sums.requests, MIN_REQUESTS_PER_S * seconds),
        "requests served": (sums.served, max(1.0, served_share * sums.requests)),
        "changes": (sums.changes, MIN_CHANGES_PER_S * seconds),
        "changes of tenants": (sums.tenant_changes, 1),
        "weights named": (sums.weights, 1),
        "orders": (sums.orders, 1),
        "counters read": (sums.counters_read, 1),
        "planned stops": (sums.planned, 1),
        "clients that left": (sums.left, 1),
        "crowds": (sums.crowd_connections, int(soak.size.crowds)),
    }
    return [
        f"only {count} {activity}"
        for activity, (count, minimum) in minimums.items()
        if count < minimum
    ]


def _write_results(soak, verdict):
    with open(soak.folder / RECORDS_FILE, "wb") as file:
        for item in soak.items:
            file.write(msgspec.json.encode(item) + b"\n")
    report = attrs.asdict(verdict) | {
        "noted": soak.troubles.noted,
        "planned": soak.troubles.planned,
    }
    (soak.folder / VERDICT_FILE).write_text(json.dumps(report, indent=1))
    lines = [*soak.schedule.lines(), "done at:"]
    lines += [f"{at_s:7.2f} {trouble.line()}" for at_s, trouble in soak.troubles.started]
    (soak.folder / SCHEDULE_FILE).write_text("\n".join(lines) + "\n")
