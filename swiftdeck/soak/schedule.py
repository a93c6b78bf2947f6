"""The troubles of a run, drawn from its seed before it begins."""

import enum
import random

import attrs

from swiftdeck.bench.platform_api.worker import QUIRKS

REPLACED_S = {"router": 10.0, "core": 8.0}
"""How long a machine is away as a rule when it is stopped as planned and started again."""
PLANNED_GAP_S, OUTER_GAP_S, MACHINE_GAP_S = (0.5, 3.0), (0.2, 1.5), (0.3, 1.5)
OVERLAP_STEP_S = 0.25
HANG_UP_GAP_S = (3.0, 9.0)
OVERHANG_S = 6.0
"""How far the last replacement may go beyond the time of the troubles."""
BACK_S, RECOVERY_S = 5.0, 12.0
"""How long until one core, or all of them, serve again after they came back."""


class Phase(enum.StrEnum):
    """What goes on in a stretch of a run, besides planned work on routers and troubles outside."""

    CORE_SETTLED = "core settled"
    """No core is touched, so that rules that excuse an unsettled core apply; routers may fail."""
    CORES_REPLACED = "cores replaced"
    """Cores are stopped and started again as planned."""
    ROUGH = "rough"
    """Cores and routers fail."""


PHASE_S = {
    Phase.CORE_SETTLED: (14.0, 20.0),
    Phase.CORES_REPLACED: (14.0, 18.0),
    Phase.ROUGH: (8.0, 13.0),
}
PHASES = (Phase.CORE_SETTLED, Phase.CORES_REPLACED, Phase.CORE_SETTLED, Phase.ROUGH)
WHOLE_TURN_S = 60.0


class Kind(enum.StrEnum):
    """What can be done to a site."""

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


MACHINE = (
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
ROUTER_ALONE, ROUTER_ALONE_GAP_S = (Kind.KILL, Kind.PAUSE), (6.0, 14.0)
OUTER = (
    Kind.CRASH_WORKER,
    Kind.DRAIN_WORKER,
    Kind.WORKER_QUIRK,
    Kind.WORKER_QUIRK,
    Kind.LOSE_ORDERS,
    Kind.DELAY_ORDERS,
    Kind.LOSE_ANSWERS,
    Kind.SECOND_OPERATOR,
)
OF_WORKERS = (Kind.CRASH_WORKER, Kind.DRAIN_WORKER, Kind.WORKER_QUIRK)


@attrs.frozen
class Trouble:
    """One thing that is done to the site: when, for how long, to what, and how."""

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
        """When it is over."""
        return self.at_s + self.for_s

    def line(self) -> str:
        """It as a line of text."""
        detail = f" {self.how}" if self.how else ""
        against = f" from {','.join(self.others)}" if self.others else ""
        return f"{self.at_s:7.2f} {self.for_s:5.2f} {self.kind} {self.target}{against}{detail}"


@attrs.frozen
class Schedule:
    """The troubles of a run, in the order of their times."""

    seconds: float
    troubles: list[Trouble]

    def overlap(self) -> float:
        """The share of the time in which two troubles or more are under way."""
        return overlap(self.troubles, self.seconds)

    def lines(self) -> list[str]:
        """The schedule as lines of text."""
        return [each.line() for each in self.troubles]


def overlap(troubles, seconds) -> float:
    """The share of some time in which two troubles or more are under way."""
    times = [OVERLAP_STEP_S * at for at in range(int(seconds / OVERLAP_STEP_S))]
    busy = [sum(each.at_s <= at < each.end_s for each in troubles) >= 2 for at in times]
    return sum(busy) / max(1, len(busy))


def draw(seed, seconds, site) -> Schedule:
    """The schedule of a seed."""
    return Schedule(seconds, Draw(seed, seconds, site).troubles)


@attrs.frozen
class Stretch:
    """A part of a run and what goes on in it."""

    begin_s: float
    end_s: float
    phase: Phase


class Draw:
    """Sequences of troubles side by side: planned work, the site's surroundings, failing machines.

    One core is away at a time, as many as the site tolerates, but when all are killed together.
    """

    def __init__(self, seed, seconds, site):
        self.random, self.site = random.Random(seed), site
        self.seconds = seconds
        self.core_away, self.killed_until_s = [], 0.0
        self.stretches = list(self._stretches())
        found = [*self._replacements(site.routers, 0.0, seconds), *self._hang_ups()]
        for stretch in self.stretches:
            found += self._in_stretch(stretch)
        found += self._outer()
        self.troubles = sorted(found, key=lambda each: each.at_s)

    def _stretches(self):
        """The phases in turn; a short run has all of them, each shorter."""
        scale = min(1.0, self.seconds / WHOLE_TURN_S)
        turn, at_s = self.random.randrange(len(PHASES)), 0.0
        while at_s < self.seconds:
            phase = PHASES[turn % len(PHASES)]
            end_s = min(self.seconds, at_s + scale * self.random.uniform(*PHASE_S[phase]))
            yield Stretch(at_s, end_s, phase)
            turn, at_s = turn + 1, end_s

    def _in_stretch(self, stretch):
        if stretch.phase is Phase.CORES_REPLACED:
            return list(self._replacements(self.site.cores, stretch.begin_s, stretch.end_s))
        if stretch.phase is Phase.ROUGH:
            return list(self._machines(stretch))
        return list(self._routers_alone(stretch))

    def _routers_alone(self, stretch):
        at_s = stretch.begin_s + self.random.uniform(*ROUTER_ALONE_GAP_S)
        while at_s < stretch.end_s:
            kind, router = self.random.choice(ROUTER_ALONE), self.random.choice(self.site.routers)
            yield Trouble(at_s, self.random.uniform(0.3, 4.0), kind, router.name)
            at_s += self.random.uniform(*ROUTER_ALONE_GAP_S)

    def _replacements(self, machines, begin_s, end_s):
        """Machines of one role stopped and started again, one after the other."""
        turn, for_s = self.random.randrange(len(machines)), REPLACED_S[machines[0].role]
        at_s = begin_s + self.random.uniform(*PLANNED_GAP_S)
        while at_s < end_s and at_s + for_s <= self.seconds + OVERHANG_S:
            machine = machines[turn % len(machines)]
            turn += 1
            if machine.role == "core":
                self.core_away.append((at_s, at_s + for_s, machine.name))
            rest_s = self.random.uniform(0.1, 2.0)
            yield Trouble(at_s, for_s, Kind.TERMINATE, machine.name, rest_s=rest_s)
            at_s += for_s + self.random.uniform(*PLANNED_GAP_S)

    def _hang_ups(self):
        at_s = self.random.uniform(*HANG_UP_GAP_S)
        while at_s < self.seconds:
            yield Trouble(at_s, 0.0, Kind.HANG_UP, self.random.choice(self.site.routers).name)
            at_s += self.random.uniform(*HANG_UP_GAP_S)

    def _outer(self):
        at_s = self.random.uniform(*OUTER_GAP_S)
        while at_s < self.seconds:
            trouble = self._outer_trouble(at_s)
            yield trouble
            at_s += trouble.for_s * self.random.uniform(0.4, 1.0)
            at_s += self.random.uniform(*OUTER_GAP_S)

    def _outer_trouble(self, at_s):
        kind, for_s = self.random.choice(OUTER), self.random.uniform(2.0, 5.0)
        if kind not in OF_WORKERS:
            share = self.random.choice((0.3, 0.7))
            return Trouble(at_s, for_s, kind, share=share)
        worker = self.random.choice(list(self.site.workers))
        if kind is not Kind.WORKER_QUIRK:
            return Trouble(at_s, for_s + 2.0, kind, worker)
        share = self.random.choice((0.2, 0.6))
        return Trouble(at_s, for_s, kind, worker, how=self.random.choice(QUIRKS[1:]), share=share)

    def _machines(self, stretch):
        at_s = stretch.begin_s
        while at_s < stretch.end_s:
            trouble = self._machine_trouble(at_s)
            if trouble:
                yield trouble
            at_s += self.random.uniform(*MACHINE_GAP_S)

    def _machine_trouble(self, at_s):
        kind, for_s = self.random.choice(MACHINE), self.random.uniform(0.3, 6.0)
        if kind is Kind.KILL_CORES:
            return self._kill_cores(at_s)
        role = self.random.choice(("core", "router"))
        machines = self.site.cores if role == "core" else self.site.routers
        machine = self.random.choice(machines)
        if role == "core" and not self._may_lose(machine.name, at_s, at_s + for_s):
            return None
        if kind is Kind.CUT:
            return self._cut(at_s, for_s, machine)
        share = self.random.choice(LATE_SHARES) if kind is Kind.DELAY_MESSAGES else 1.0
        return Trouble(at_s, for_s, kind, machine.name, share=share)

    def _cut(self, at_s, for_s, machine):
        scope = self.random.choice(("all", "core", "router"))
        others = tuple(
            each.name
            for each in self.site.machines.values()
            if each is not machine and scope in ("all", each.role)
        )
        way = self.random.choice(("both", "both", "in", "out"))
        end = self.random.choice(("late", "lost"))
        return Trouble(at_s, for_s, Kind.CUT, machine.name, others, how=f"{way} {end}")

    def _kill_cores(self, at_s):
        """All cores at once, as by a loss of power; no second time before they are back."""
        if self.killed_until_s > at_s:
            return None
        for_s = self.random.uniform(0.3, 1.0)
        self.killed_until_s = at_s + for_s + RECOVERY_S
        return Trouble(at_s, for_s, Kind.KILL_CORES)

    def _may_lose(self, name, begin_s, end_s):
        """Whether a core may go for a while: no other is away; notes it as away."""
        end_s += BACK_S
        others = [
            each
            for each in self.core_away
            if each[0] < end_s and begin_s < each[1] and each[2] != name
        ]
        if others:
            return False
        self.core_away.append((begin_s, end_s, name))
        return True
