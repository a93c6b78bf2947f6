"""Draws schedules at random with hypothesis, and shrinks one that fails."""

import itertools
import time

import attrs
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as draws

from swiftdeck.sim.model.explore import Played, play_briefly
from swiftdeck.sim.model.schedule import Action, FaultPoint, Kind, Schedule

GAP_MOST, SEEDS_MOST, STRIKES_MOST, ORDERS_MOST = 60, 1000, 5, 4
OFFSETS_S = (0.0, 0.01, 0.3, 1.5, 3.0)
DURATIONS_S = (0.05, 0.3, 0.9, 1.6, 2.5, 4.0)


class ScheduleFailedError(AssertionError):
    """A schedule broke something."""


@attrs.define
class Draws:
    """What a random search has gone through."""

    schedules: int = 0
    seconds: float = 0.0
    states: set[bytes] = attrs.Factory(set)
    strikes: int = 0
    failed: Played | None = None

    def told(self) -> dict:
        """The figures."""
        return {
            "schedules": self.schedules,
            "failed": int(self.failed is not None),
            "states": len(self.states),
            "strikes": self.strikes,
            "schedulesPerSecond": round(self.schedules / max(self.seconds, 1e-9), 1),
            "depth": STRIKES_MOST,
        }


def _strikes(steps):
    """Strikes from actions and the points between them, so that most come before the end."""
    points = itertools.accumulate(gap for gap, _ in steps)
    return tuple(FaultPoint(point, each) for point, (_, each) in zip(points, steps, strict=True))


def schedules(cores):
    """Schedules for so many cores, simple ones first."""
    names = Schedule(cores=cores).core_names()
    actions = draws.builds(
        Action, draws.sampled_from(Kind), draws.sampled_from(names), draws.sampled_from(DURATIONS_S)
    )
    steps = draws.lists(draws.tuples(draws.integers(0, GAP_MOST), actions), max_size=STRIKES_MOST)
    orders = draws.lists(draws.sampled_from(OFFSETS_S), min_size=1, max_size=ORDERS_MOST)
    return draws.builds(
        Schedule,
        draws.just(cores),
        draws.integers(1, SEEDS_MOST),
        orders.map(tuple),
        steps.map(_strikes),
        draws.booleans(),
        draws.booleans(),
    )


def search(cores: int, number: int, count: int) -> Draws:
    """Play so many schedules drawn from a seed until one fails; what failed is shrunk."""
    account, begin_s = Draws(), time.monotonic()

    @seed(number)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
    )
    @given(schedules(cores))
    def stands(schedule):
        played = play_briefly(schedule)
        account.schedules += 1
        account.states.update(played.states)
        account.strikes += played.strikes
        if played.faults:
            account.failed = played
            raise ScheduleFailedError(schedule.command())

    try:
        stands()
    except ScheduleFailedError:
        pass
    finally:
        account.seconds = time.monotonic() - begin_s
    return account
