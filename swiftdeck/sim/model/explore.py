"""Goes through schedules level by level: every action at every distinct point of the runs of the level before.

A point is distinct by the state of the run there (`fingerprint`). A schedule holds at most one crash or emptied disk, one
trouble of network, clock or disk speed, and one replacement.
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
    """What is kept of one run: its verdict, the states at its points, and how many strikes came."""

    schedule: Schedule
    faults: tuple[str, ...]
    states: tuple[bytes, ...]
    strikes: int = 0


@attrs.define
class Level:
    """The schedules with so many strikes: how many there are, how many were played, and what failed."""

    strikes: int
    there: int
    played: int = 0
    failed: list[Played] = attrs.Factory(list)


@attrs.define
class Account:
    """What an exploration has gone through."""

    levels: list[Level] = attrs.Factory(list)
    states: set[bytes] = attrs.Factory(set)
    seconds: float = 0.0

    def schedules(self) -> int:
        """How many schedules were played."""
        return sum(level.played for level in self.levels)

    def failed(self) -> list[Played]:
        """The runs that broke something."""
        return [each for level in self.levels for each in level.failed]

    def depth(self) -> int:
        """Up to how many strikes every schedule was played; -1 where not even the run without any was."""
        whole = [level.strikes for level in self.levels if level.played == level.there]
        return max(whole, default=-1)

    def told(self) -> dict:
        """The figures."""
        return {
            "schedules": self.schedules(),
            "failed": len(self.failed()),
            "states": len(self.states),
            "schedulesPerSecond": round(self.schedules() / max(self.seconds, 1e-9), 1),
            "depth": self.depth(),
            "levels": [[level.strikes, level.played, level.there] for level in self.levels],
        }


def play_briefly(schedule: Schedule) -> Played:
    """Play a schedule and keep its verdict and the states that it went through."""
    outcome = play(schedule)
    states = (hashlib.blake2b(each, digest_size=DIGEST_BYTES).digest() for each in outcome.states)
    return Played(schedule, tuple(outcome.told()), tuple(states), len(outcome.applied))


def _group(kind):
    if kind in CRASHES:
        return CRASHES
    return REPLACEMENTS if kind in REPLACEMENTS else frozenset(Kind) - CRASHES - REPLACEMENTS


def followers(played: Played, kinds, seen: set) -> list[Schedule]:
    """The schedules with one more strike, later than the last one, at a state and with actions not yet seen."""
    schedule, found = played.schedule, []
    used = [each.action.kind for each in schedule.strikes]
    free = [kind for kind in kinds if not any(kind in _group(each) for each in used)]
    last = schedule.strikes[-1].point if schedule.strikes else -1
    for point in range(last + 1, len(played.states)):
        for kind in free:
            for core in schedule.core_names():
                key = (played.states[point], *sorted(each.value for each in used), kind, core)
                if key not in seen:
                    seen.add(key)
                    strikes = (*schedule.strikes, FaultPoint(point, action(kind, core)))
                    found.append(attrs.evolve(schedule, strikes=strikes))
    return found


def explore(base: Schedule, depth: int, most: int, kinds=tuple(Kind), run_all=None) -> Account:
    """Play all schedules with up to `depth` strikes; where a level has more than `most`, a sample drawn by the seed.

    `run_all` plays schedules side by side; by default they are played one after another.
    """
    account, level, begin_s = Account(), [base], time.monotonic()
    draw = random.Random(base.seed)
    for strikes in range(depth + 1):
        chosen = level if len(level) <= most else draw.sample(level, most)
        told, results, seen = Level(strikes, len(level)), [], set()
        account.levels.append(told)
        for played in (run_all or map)(play_briefly, chosen):
            told.played += 1
            account.states.update(played.states)
            if played.faults:
                told.failed.append(played)
            else:
                results.append(played)
        if strikes < depth:
            level = [each for played in results for each in followers(played, kinds, seen)]
    account.seconds = time.monotonic() - begin_s
    return account
