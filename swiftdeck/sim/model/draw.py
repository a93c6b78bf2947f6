"""Searches random schedules with hypothesis and shrinks one that fails."""

import itertools
import time

import attrs
from hypothesis import HealthCheck, Phase, given, seed, settings, strategies

from swiftdeck.sim.model.explore import Played, play_briefly
from swiftdeck.sim.model.schedule import Action, FaultPoint, Kind, Schedule

MAX_GAP, MAX_SEED, MAX_STRIKES, MAX_ORDERS = 60, 1000, 5, 4
OFFSETS_S = (0.0, 0.01, 0.3, 1.5, 3.0)
DURATIONS_S = (0.05, 0.3, 0.9, 1.6, 2.5, 4.0)


class ScheduleFailedError(AssertionError):
    """A schedule broke something."""


@attrs.define
class SearchResult:
    """The result of a random search."""

    schedules: int = 0
    seconds: float = 0.0
    states: set[bytes] = attrs.Factory(set)
    strikes: int = 0
    failed: Played | None = None

    def to_dict(self) -> dict:
        """Return the figures that the command prints."""
        return {
            "schedules": self.schedules,
            "failed": int(self.failed is not None),
            "states": len(self.states),
            "strikes": self.strikes,
            "schedulesPerSecond": round(self.schedules / max(self.seconds, 1e-9), 1),
            "depth": MAX_STRIKES,
        }


def _strikes(steps):
    """Build strikes from (gap, action) pairs.

    Points are sums of small gaps, so that most come before the end of the run.
    """
    points = itertools.accumulate(gap for gap, _ in steps)
    return tuple(
        FaultPoint(point, action) for point, (_, action) in zip(points, steps, strict=True)
    )


def schedules(cores):
    """Return a strategy for schedules with this number of cores; it shrinks to simple ones."""
    names = Schedule(cores=cores).core_names()
    actions = strategies.builds(
        Action,
        strategies.sampled_from(Kind),
        strategies.sampled_from(names),
        strategies.sampled_from(DURATIONS_S),
    )
    steps = strategies.lists(
        strategies.tuples(strategies.integers(0, MAX_GAP), actions), max_size=MAX_STRIKES
    )
    orders = strategies.lists(strategies.sampled_from(OFFSETS_S), min_size=1, max_size=MAX_ORDERS)
    return strategies.builds(
        Schedule,
        strategies.just(cores),
        strategies.integers(1, MAX_SEED),
        orders.map(tuple),
        steps.map(_strikes),
        strategies.booleans(),
        strategies.booleans(),
    )


def search(cores: int, seed_number: int, count: int) -> SearchResult:
    """Play up to `count` random schedules until one fails, and shrink that one."""
    result, begin_s = SearchResult(), time.monotonic()

    @seed(seed_number)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
    )
    @given(schedules(cores))
    def holds(schedule):
        played = play_briefly(schedule)
        result.schedules += 1
        result.states.update(played.states)
        result.strikes += played.strikes
        if played.faults:
            result.failed = played
            raise ScheduleFailedError(schedule.command())

    try:
        holds()
    except ScheduleFailedError:
        pass
    finally:
        result.seconds = time.monotonic() - begin_s
    return result
