"""Generate the schedule of troubles of a run from its seed, before the run begins."""

import enum
import random

import attrs

from swiftdeck.bench.platform_api.worker import QUIRKS
from swiftdeck.soak.crowd_kinds import KINDS_BY_ROLE

REPLACEMENT_S = {"router": 10.0, "core": 8.0}
"""Usual time in seconds from a planned stop of a machine until it serves again, by role."""
PLANNED_GAP_S, PLATFORM_GAP_S, MACHINE_GAP_S = (0.5, 3.0), (0.2, 1.5), (0.3, 1.5)
OVERLAP_STEP_S = 0.25
HANG_UP_GAP_S = (3.0, 9.0)
MAX_OVERRUN_S = 6.0
"""By how much the last replacement may exceed the scheduled time of the troubles."""
CORE_RECOVERY_S, ALL_CORES_RECOVERY_S = 5.0, 12.0
"""Time until one core, or all of them, serve again after their processes were started."""


class Phase(enum.StrEnum):
    """What happens in an interval of a run.

    Planned work on routers and troubles of the surrounding platform go on in every phase.
    """

    CORE_SETTLED = "core settled"
    """No core is disturbed, so that rules that excuse an unsettled core apply; routers may fail."""
    CORES_REPLACED = "cores replaced"
    """Cores are restarted one after another as planned work."""
    ROUGH = "rough"
    """Cores and routers fail."""


PHASE_S = {
    Phase.CORE_SETTLED: (14.0, 20.0),
    Phase.CORES_REPLACED: (14.0, 18.0),
    Phase.ROUGH: (8.0, 13.0),
}
PHASES = (Phase.CORE_SETTLED, Phase.CORES_REPLACED, Phase.CORE_SETTLED, Phase.ROUGH)
FULL_CYCLE_S = 60.0


class Kind(enum.StrEnum):
    """The kinds of trouble."""

    TERMINATE = "terminate"
    HANG_UP = "hang-up"
    KILL = "kill"
    KILL_CORES = "kill-cores"
    PAUSE = "pause"
    CUT = "cut"
    DELAY_MESSAGES = "delay-messages"
    CRASH_WORKER = "crash-worker"
    DRAIN_WORKER = "drain-worker"
    WORKER_QUIRK = "worker-quirk"
    LOSE_ORDERS = "lose-order-answers"
    DELAY_ORDERS = "delay-orders"
    LOSE_ANSWERS = "lose-operator-answers"
    SECOND_OPERATOR = "second-operator"
    CROWD = "crowd"


MACHINE_KINDS = (
    Kind.KILL,
    Kind.PAUSE,
    Kind.CUT,
    Kind.KILL,
    Kind.PAUSE,
    Kind.CUT,
    Kind.DELAY_MESSAGES,
    Kind.KILL_CORES,
)
LATE_SHARES = (0.05, 0.3)
ROUTER_KINDS, ROUTER_GAP_S = (Kind.KILL, Kind.PAUSE), (6.0, 14.0)
PLATFORM_KINDS = (
    Kind.CRASH_WORKER,
    Kind.DRAIN_WORKER,
    Kind.WORKER_QUIRK,
    Kind.WORKER_QUIRK,
    Kind.LOSE_ORDERS,
    Kind.DELAY_ORDERS,
    Kind.LOSE_ANSWERS,
    Kind.SECOND_OPERATOR,
)
CROWD_GAP_S, CROWD_S, CROWD_SERIES = (0.1, 1.0), (1.5, 5.0), 2
"""Pause between the crowds of a series, how long one stays, and how many series overlap."""
WORKER_KINDS = (Kind.CRASH_WORKER, Kind.DRAIN_WORKER, Kind.WORKER_QUIRK)


@attrs.frozen
class Trouble:
    """One trouble of a site: start and length in seconds, kind, target and details.

    `others` are the machines at the far end of a cut, `how` is the variant of a cut or quirk,
    `share` is the share of messages or calls that it affects, and `rest_s` is the pause between a
    planned stop and the next start.
    """

    at_s: float
    for_s: float
    kind: Kind
    target: str = ""
    others: tuple[str, ...] = ()
    how: str = ""
    share: float = 1.0
    rest_s: float = 0.0

    @property
    def end_s(self) -> float:
        """Time in seconds at which the trouble ends."""
        return self.at_s + self.for_s

    def line(self) -> str:
        """Return the trouble as a line of text."""
        detail = f" {self.how}" if self.how else ""
        against = f" from {','.join(self.others)}" if self.others else ""
        return f"{self.at_s:7.2f} {self.for_s:5.2f} {self.kind} {self.target}{against}{detail}"


@attrs.frozen
class Schedule:
    """The troubles of a run, ordered by start."""

    seconds: float
    troubles: list[Trouble]

    def overlap(self) -> float:
        """Return the share of the run in which at least two troubles are active."""
        return overlap(self.troubles, self.seconds)

    def lines(self) -> list[str]:
        """Return the schedule as lines of text."""
        return [trouble.line() for trouble in self.troubles]


def overlap(troubles, seconds) -> float:
    """Return the share of the first `seconds` in which at least two troubles are active."""
    times_s = [OVERLAP_STEP_S * step for step in range(int(seconds / OVERLAP_STEP_S))]
    overlaps = [
        sum(trouble.at_s <= time_s < trouble.end_s for trouble in troubles) >= 2
        for time_s in times_s
    ]
    return sum(overlaps) / max(1, len(overlaps))


def draw_schedule(seed, seconds, site, has_crowds=False) -> Schedule:
    """Return the schedule that a seed generates for a site, with crowds of clients if wanted."""
    troubles = ScheduleGenerator(seed, seconds, site).troubles
    if has_crowds:
        troubles = sorted(
            [*troubles, *draw_crowds(seed, seconds, site)], key=lambda trouble: trouble.at_s
        )
    return Schedule(seconds, troubles)


def draw_crowds(seed, seconds, site):
    """Yield crowds of misbehaving clients in series that overlap."""
    rng = random.Random(f"crowds of {seed}")
    for _ in range(CROWD_SERIES):
        at_s = rng.uniform(*CROWD_GAP_S)
        while at_s < seconds:
            machine, for_s = rng.choice(list(site.machines.values())), rng.uniform(*CROWD_S)
            kind = rng.choice(list(KINDS_BY_ROLE[machine.role]))
            yield Trouble(at_s, for_s, Kind.CROWD, machine.name, how=kind)
            at_s += for_s + rng.uniform(*CROWD_GAP_S)


@attrs.frozen
class PhaseInterval:
    """An interval of a run and its phase."""

    begin_s: float
    end_s: float
    phase: Phase


class ScheduleGenerator:
    """Generates parallel sequences of planned work, platform troubles and machine failures.

    At most one core is down at a time, which is what the site tolerates, except when all are killed
    together.
    """

    def __init__(self, seed, seconds, site):
        self.random, self.site = random.Random(seed), site
        self.seconds = seconds
        self.core_outages, self.killed_until_s = [], 0.0
        self.intervals = list(self._phase_intervals())
        troubles = [*self._planned_restarts(site.routers, 0.0, seconds), *self._hang_ups()]
        for interval in self.intervals:
            troubles += self._machine_troubles(interval)
        troubles += self._platform_troubles()
        self.troubles = sorted(troubles, key=lambda trouble: trouble.at_s)

    def _phase_intervals(self):
        """Yield intervals that cycle through the phases; a short run has all of them, shortened."""
        scale = min(1.0, self.seconds / FULL_CYCLE_S)
        index, at_s = self.random.randrange(len(PHASES)), 0.0
        while at_s < self.seconds:
            phase = PHASES[index % len(PHASES)]
            end_s = min(self.seconds, at_s + scale * self.random.uniform(*PHASE_S[phase]))
            yield PhaseInterval(at_s, end_s, phase)
            index, at_s = index + 1, end_s

    def _machine_troubles(self, interval):
        if interval.phase is Phase.CORES_REPLACED:
            return list(self._planned_restarts(self.site.cores, interval.begin_s, interval.end_s))
        if interval.phase is Phase.ROUGH:
            return list(self._rough_troubles(interval))
        return list(self._router_troubles(interval))

    def _router_troubles(self, interval):
        at_s = interval.begin_s + self.random.uniform(*ROUTER_GAP_S)
        while at_s < interval.end_s:
            kind, router = self.random.choice(ROUTER_KINDS), self.random.choice(self.site.routers)
            yield Trouble(at_s, self.random.uniform(0.3, 4.0), kind, router.name)
            at_s += self.random.uniform(*ROUTER_GAP_S)

    def _planned_restarts(self, machines, begin_s, end_s):
        """Yield planned restarts of the machines of one role, one after another."""
        index, for_s = self.random.randrange(len(machines)), REPLACEMENT_S[machines[0].role]
        at_s = begin_s + self.random.uniform(*PLANNED_GAP_S)
        while at_s < end_s and at_s + for_s <= self.seconds + MAX_OVERRUN_S:
            machine = machines[index % len(machines)]
            index += 1
            if machine.role == "core":
                self.core_outages.append((at_s, at_s + for_s, machine.name))
            rest_s = self.random.uniform(0.1, 2.0)
            yield Trouble(at_s, for_s, Kind.TERMINATE, machine.name, rest_s=rest_s)
            at_s += for_s + self.random.uniform(*PLANNED_GAP_S)

    def _hang_ups(self):
        at_s = self.random.uniform(*HANG_UP_GAP_S)
        while at_s < self.seconds:
            yield Trouble(at_s, 0.0, Kind.HANG_UP, self.random.choice(self.site.routers).name)
            at_s += self.random.uniform(*HANG_UP_GAP_S)

    def _platform_troubles(self):
        at_s = self.random.uniform(*PLATFORM_GAP_S)
        while at_s < self.seconds:
            trouble = self._platform_trouble(at_s)
            yield trouble
            at_s += trouble.for_s * self.random.uniform(0.4, 1.0)
            at_s += self.random.uniform(*PLATFORM_GAP_S)

    def _platform_trouble(self, at_s):
        kind, for_s = self.random.choice(PLATFORM_KINDS), self.random.uniform(2.0, 5.0)
        if kind not in WORKER_KINDS:
            share = self.random.choice((0.3, 0.7))
            return Trouble(at_s, for_s, kind, share=share)
        worker = self.random.choice(list(self.site.workers))
        if kind is not Kind.WORKER_QUIRK:
            return Trouble(at_s, for_s + 2.0, kind, worker)
        share = self.random.choice((0.2, 0.6))
        return Trouble(at_s, for_s, kind, worker, how=self.random.choice(QUIRKS[1:]), share=share)

    def _rough_troubles(self, interval):
        at_s = interval.begin_s
        while at_s < interval.end_s:
            trouble = self._machine_trouble(at_s)
            if trouble:
                yield trouble
            at_s += self.random.uniform(*MACHINE_GAP_S)

    def _machine_trouble(self, at_s):
        kind, for_s = self.random.choice(MACHINE_KINDS), self.random.uniform(0.3, 6.0)
        if kind is Kind.KILL_CORES:
            return self._kill_cores(at_s)
        role = self.random.choice(("core", "router"))
        machines = self.site.cores if role == "core" else self.site.routers
        machine = self.random.choice(machines)
        if role == "core" and not self._reserve_core_outage(machine.name, at_s, at_s + for_s):
            return None
        if kind is Kind.CUT:
            return self._cut(at_s, for_s, machine)
        share = self.random.choice(LATE_SHARES) if kind is Kind.DELAY_MESSAGES else 1.0
        return Trouble(at_s, for_s, kind, machine.name, share=share)

    def _cut(self, at_s, for_s, machine):
        scope = self.random.choice(("all", "core", "router"))
        others = tuple(
            other.name
            for other in self.site.machines.values()
            if other is not machine and scope in ("all", other.role)
        )
        direction = self.random.choice(("both", "both", "in", "out"))
        outcome = self.random.choice(("late", "lost"))
        return Trouble(at_s, for_s, Kind.CUT, machine.name, others, how=f"{direction} {outcome}")

    def _kill_cores(self, at_s):
        """Return a kill of all cores (a power loss), or None while they recover from the last."""
        if self.killed_until_s > at_s:
            return None
        for_s = self.random.uniform(0.3, 1.0)
        self.killed_until_s = at_s + for_s + ALL_CORES_RECOVERY_S
        return Trouble(at_s, for_s, Kind.KILL_CORES)

    def _reserve_core_outage(self, name, begin_s, end_s):
        """Return whether no other core is down in this time, and if so reserve it for this core."""
        end_s += CORE_RECOVERY_S
        others = [
            outage
            for outage in self.core_outages
            if outage[0] < end_s and begin_s < outage[1] and outage[2] != name
        ]
        if others:
            return False
        self.core_outages.append((begin_s, end_s, name))
        return True
