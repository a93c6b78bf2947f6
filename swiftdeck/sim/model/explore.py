"""Explores schedules level by level: each level adds every action at every distinct event point.

The points are those of the runs of the previous level; they are distinct if the `fingerprint` of
the run differs. A schedule has at most one crash or wiped disk, one fault of the network, clock or
disk speed, and one replacement.
"""

import hashlib
import random
import time

import attrs

from swiftdeck.sim.model.run import play
from swiftdeck.sim.model.schedule import CRASHES, REPLACEMENTS, FaultPoint, Kind, Schedule, action

DIGEST_BYTES = 12


@attrs.frozen
class Played:
    """Summary of one run: its faults, the states at its points, and how many actions applied."""

    schedule: Schedule
    faults: tuple[str, ...]
    states: tuple[bytes, ...]
    strikes: int = 0


@attrs.define
class Level:
    """Schedules with the same number of strikes: how many exist, were played, and failed."""

    strikes: int
    total: int
    played: int = 0
    failed: list[Played] = attrs.Factory(list)


@attrs.define
class Exploration:
    """The result of an exploration."""

    levels: list[Level] = attrs.Factory(list)
    states: set[bytes] = attrs.Factory(set)
    seconds: float = 0.0

    def schedules(self) -> int:
        """Return how many schedules were played."""
        return sum(level.played for level in self.levels)

    def failed(self) -> list[Played]:
        """Return the runs that broke something."""
        return [played for level in self.levels for played in level.failed]

    def depth(self) -> int:
        """Return up to how many strikes all schedules were played; -1 if not even the first was."""
        complete = [level.strikes for level in self.levels if level.played == level.total]
        return max(complete, default=-1)

    def to_dict(self) -> dict:
        """Return the figures that the command prints."""
        return {
            "schedules": self.schedules(),
            "failed": len(self.failed()),
            "states": len(self.states),
            "schedulesPerSecond": round(self.schedules() / max(self.seconds, 1e-9), 1),
            "depth": self.depth(),
            "levels": [[level.strikes, level.played, level.total] for level in self.levels],
        }


def play_briefly(schedule: Schedule) -> Played:
    """Play a schedule and return its summary."""
    outcome = play(schedule)
    states = (hashlib.blake2b(state, digest_size=DIGEST_BYTES).digest() for state in outcome.states)
    return Played(schedule, tuple(outcome.describe_faults()), tuple(states), len(outcome.applied))


def _group(kind):
    if kind in CRASHES:
        return CRASHES
    return REPLACEMENTS if kind in REPLACEMENTS else frozenset(Kind) - CRASHES - REPLACEMENTS


def followers(played: Played, kinds, seen: set) -> list[Schedule]:
    """Return the schedules with one more strike, after the last one, that aren't in `seen`.

    `seen` gets the state, the kinds of faults and the core of each.
    """
    schedule, schedules = played.schedule, []
    used = [strike.action.kind for strike in schedule.strikes]
    free = [kind for kind in kinds if not any(kind in _group(used_kind) for used_kind in used)]
    last_point = schedule.strikes[-1].point if schedule.strikes else -1
    for point in range(last_point + 1, len(played.states)):
        for kind in free:
            for core in schedule.core_names():
                key = (
                    played.states[point],
                    *sorted(used_kind.value for used_kind in used),
                    kind,
                    core,
                )
                if key not in seen:
                    seen.add(key)
                    strikes = (*schedule.strikes, FaultPoint(point, action(kind, core)))
                    schedules.append(attrs.evolve(schedule, strikes=strikes))
    return schedules


def explore(
    base: Schedule, depth: int, max_schedules: int, kinds=tuple(Kind), run_all=None
) -> Exploration:
    """Play all schedules with up to `depth` strikes.

    Of a level with more than `max_schedules`, a sample drawn with the seed of `base` is played.
    `run_all` maps a function over schedules, for instance in parallel; the default is `map`.
    """
    result, level, begin_s = Exploration(), [base], time.monotonic()
    sampler = random.Random(base.seed)
    for strikes in range(depth + 1):
        chosen = level if len(level) <= max_schedules else sampler.sample(level, max_schedules)
        summary, passed, seen = Level(strikes, len(level)), [], set()
        result.levels.append(summary)
        for played in (run_all or map)(play_briefly, chosen):
            summary.played += 1
            result.states.update(played.states)
            if played.faults:
                summary.failed.append(played)
            else:
                passed.append(played)
        if strikes < depth:
            level = [follower for played in passed for follower in followers(played, kinds, seen)]
    result.seconds = time.monotonic() - begin_s
    return result
