"""Shapes of long days: what goes on beside the changes, SIGTERMs and weights that all have."""

from collections.abc import Callable

from swiftdeck.bench.long_day_troubles import (
    AFTER_BUMP,
    CORE_TROUBLES,
    DRAIN_TROUBLES,
    LASTING_CORE_LOSSES,
    LEAVERS_TROUBLES,
    ORDER_TROUBLES,
    SHORT_CORE_LOSSES,
    TROUBLES,
    Trouble,
    strength,
)
from swiftdeck.bench.timetable import Timetable

LEAST_CHANGES, MOST_CHANGES, CHANGES_PER_S = 300, 600, 4.0
CHANGES = ["route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle"]
BAD_CONFIGS = [
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
]
FIRST_CHANGE_S, LAST_CHANGE_S = 1.0, 3.0
LEAST_BUMP_GAP_S, MOST_BUMP_GAP_S = 3.0, 15.0
BURST_ODDS, BURST_BUMPS, BURST_S = 0.2, 3, 2.0
ADAPTER_ODDS = 0.15
LAST_BUMP_S = 1.0


def changes(day: Timetable) -> None:
    """Changes of every kind, evenly through the day."""
    count = int(min(MOST_CHANGES, max(LEAST_CHANGES, CHANGES_PER_S * day.length_s)))
    gap_s = (day.length_s - FIRST_CHANGE_S - LAST_CHANGE_S) / count
    for number in range(count):
        how = CHANGES[number % len(CHANGES)]
        day.plan(FIRST_CHANGE_S + number * gap_s, "config_change", how=how)


def bump(day: Timetable, at_s: float) -> None:
    """Name new weights once, or a few times in quick succession."""
    times = [at_s]
    if day.chance.random() < BURST_ODDS:
        times += sorted(at_s + day.chance.uniform(0.0, BURST_S) for _ in range(BURST_BUMPS - 1))
    latest_s = day.length_s - LAST_BUMP_S
    for each_s in (min(each_s, latest_s) for each_s in times):
        if day.chance.random() < ADAPTER_ODDS:
            day.plan(each_s, "version_bump", count=0, how="adapter", x=0)
        else:
            day.plan(each_s, "version_bump", count=0)


def bumps(day: Timetable) -> list[float]:
    """New weights all day; returns when they are named."""
    named = list(day.times(2.0, day.length_s - 2.0, LEAST_BUMP_GAP_S, MOST_BUMP_GAP_S))
    for at_s in named:
        bump(day, at_s)
    return named


def terminations(day: Timetable) -> None:
    """Routers get SIGTERM in turn all day, one to three at a time; now and then one leaves."""
    for at_s in day.times(3.0, day.length_s - 10.0, 12.0, 20.0):
        day.plan(
            at_s,
            "roll_term",
            share=1.0,
            x=day.chance.choice([1.0, 1.0, 2.0, 3.0]),
            gap_s=day.chance.choice([0.7, 1.0, 2.0, 3.0]),
            how=day.chance.choice(["", "busy"]),
        )
    for at_s in day.times(10.0, day.length_s - 10.0, 30.0, 45.0):
        day.plan(at_s, "roll_term", count=1, how="remove")


def busy_terminations(
    day: Timetable, first_s: float, least_gap_s: float, most_gap_s: float, at_once: float
) -> None:
    """All routers get SIGTERM again and again, several at once, each while it answers."""
    for at_s in day.times(first_s, day.length_s - 10.0, least_gap_s, most_gap_s):
        day.plan(at_s, "roll_term", share=1.0, x=at_once, gap_s=1.0, how="busy")


def core_terminations(day: Timetable) -> None:
    """Cores get SIGTERM in turn, now and then."""
    for at_s in day.times(17.0, day.length_s - 12.0, 25.0, 40.0):
        how = day.chance.choice(["", "busy"])
        day.plan(at_s, "roll_term", on="core", share=1.0, x=1.0, gap_s=4.0, how=how)


def routine(day: Timetable) -> list[float]:
    """What every day has; returns when weights are named."""
    changes(day)
    terminations(day)
    return bumps(day)


def terms(day: Timetable) -> None:
    """Planned work alone."""
    routine(day)
    core_terminations(day)
    for at_s in day.times(8.0, day.length_s - 8.0, 9.0, 16.0):
        day.plan(at_s, "hup", share=0.3, gap_s=1.0)
    for at_s in day.times(11.0, day.length_s - 12.0, 20.0, 30.0):
        day.plan(at_s, "release", share=0.4, x=1.0, gap_s=1.0)


def mixed(day: Timetable) -> None:
    """Troubles of all kinds, one at a time."""
    routine(day)
    core_terminations(day)
    pool: list[Trouble] = []
    for at_s in day.times(6.0, day.length_s - 10.0, 6.0, 9.0):
        if not pool:
            pool = day.chance.sample(TROUBLES, len(TROUBLES))
        pool.pop()(day, at_s, day.chance.uniform(2.0, 5.0))


def overlap(day: Timetable) -> None:
    """Two or three troubles of different kinds at a time."""
    routine(day)
    for at_s in day.times(6.0, day.length_s - 12.0, 9.0, 13.0):
        for trouble in day.chance.sample(TROUBLES, day.chance.choice([2, 3])):
            trouble(day, at_s + day.chance.uniform(0.0, 2.5), day.chance.uniform(3.0, 6.0))


def slow_workers(day: Timetable) -> None:
    """Half of the workers are slow, hang or fall mute, nearly all day."""
    routine(day)
    for at_s in day.times(4.0, day.length_s - 8.0, 7.0, 14.0):
        for_s = day.chance.uniform(5.0, 12.0)
        how = day.chance.choice(["", "hang", "mute", "slow"])
        if how:
            day.fault(at_s, "srv_grey", share=0.5, x=strength(how), for_s=for_s, how=how)
        else:
            day.fault(at_s, "srv_slow", share=0.5, x=6.0, for_s=for_s)


def core(day: Timetable) -> None:
    """The core has trouble all day, so that views change while weights are named."""
    routine(day)
    for at_s in day.times(5.0, day.length_s - 10.0, 4.0, 8.0):
        for_s = day.chance.uniform(1.5, 5.0)
        day.chance.choice(CORE_TROUBLES)(day, at_s, for_s)


def config(day: Timetable) -> None:
    """Races, refused configurations, keys taken away and SIGHUP beside even more changes."""
    routine(day)
    for at_s in day.times(4.0, day.length_s - 8.0, 5.0, 9.0):
        day.plan(at_s, "config_race", count=3, gap_s=0.5)
    for at_s in day.times(5.0, day.length_s - 8.0, 4.0, 8.0):
        day.plan(at_s, "bad_config", count=2, gap_s=0.7, how=day.chance.choice(BAD_CONFIGS))
    for at_s in day.times(6.0, day.length_s - 8.0, 12.0, 20.0):
        day.plan(at_s, "revoke", count=1, gap_s=1.0)
    for at_s in day.times(7.0, day.length_s - 8.0, 4.0, 9.0):
        day.plan(at_s, "hup", share=0.5, gap_s=0.5)
    for at_s in day.times(9.0, day.length_s - 8.0, 8.0, 14.0):
        for number in range(12):
            day.plan(at_s + 0.1 * number, "config_change", how="idle")


def restarts(day: Timetable) -> None:
    """Routers and workers end and start right after weights are named."""
    changes(day)
    for at_s in bumps(day):
        if at_s > day.length_s - 10.0:
            continue
        day.chance.choice(AFTER_BUMP)(day, at_s + day.chance.uniform(0.05, 5.0))
        if day.chance.random() < 0.5:
            day.chance.choice(AFTER_BUMP)(day, at_s + day.chance.uniform(0.05, 5.0))
    busy_terminations(day, first_s=9.0, least_gap_s=16.0, most_gap_s=26.0, at_once=3.0)


def laggards(day: Timetable) -> None:
    """Workers are slow to load weights; routers start again just before these must be in force."""
    changes(day)
    for at_s in day.times(3.0, day.length_s - 14.0, 11.0, 16.0):
        day.plan(at_s, "version_bump", count=0)
        day.fault(at_s + day.chance.uniform(-0.5, 0.5), "srv_slow", share=0.7, x=10.0, for_s=10.0)
        if day.chance.random() < 0.5:
            day.plan(at_s + day.chance.uniform(3.0, 5.0), "version_bump", count=0)
        killed_s = at_s + day.chance.uniform(3.0, 5.0)
        day.fault(killed_s, "node_kill", share=0.4, for_s=day.chance.uniform(0.2, 0.5))
    busy_terminations(day, first_s=9.0, least_gap_s=22.0, most_gap_s=30.0, at_once=3.0)


def versions(day: Timetable) -> None:
    """Weights are named every 1 to 4 s for a while, as workers can't be ordered onto them."""
    changes(day)
    for at_s in day.times(3.0, day.length_s - 25.0, 24.0, 30.0):
        for named_s in day.times(at_s, at_s + 18.0, 1.0, 4.0):
            day.plan(named_s, "version_bump", count=0)
        day.chance.choice(ORDER_TROUBLES)(day, at_s + 1.0, 12.0)
    busy_terminations(day, first_s=9.0, least_gap_s=18.0, most_gap_s=26.0, at_once=2.0)


def ends(day: Timetable) -> None:
    """Planned work; near the end weights are named while workers can't be ordered onto them."""
    changes(day)
    terminations(day)
    for at_s in day.times(3.0, day.length_s - 30.0, LEAST_BUMP_GAP_S, MOST_BUMP_GAP_S):
        bump(day, at_s)
    named_s = day.length_s - day.chance.uniform(13.0, 17.0)
    day.plan(named_s, "version_bump", count=0)
    began_s = named_s - day.chance.uniform(0.5, 4.0)
    day.chance.choice(ORDER_TROUBLES)(day, began_s, day.length_s - began_s)


def drains(day: Timetable) -> None:
    """Routers get SIGTERM and SIGHUP without a rest, as workers leave or are ill."""
    changes(day)
    bumps(day)
    for at_s in day.times(3.0, day.length_s - 12.0, 9.0, 12.0):
        gap_s = day.chance.choice([0.5, 0.7, 1.0])
        day.plan(at_s, "roll_term", share=1.0, x=3.0, gap_s=gap_s, how="busy")
    for at_s in day.times(5.0, day.length_s - 8.0, 3.0, 6.0):
        day.plan(at_s, "hup", share=0.5, gap_s=0.3)
    for at_s in day.times(6.0, day.length_s - 12.0, 8.0, 14.0):
        for_s = day.chance.uniform(3.0, 7.0)
        day.chance.choice(DRAIN_TROUBLES)(day, at_s, for_s)


def lasting(day: Timetable) -> None:
    """A core is away for long and the others count as settled; workers are slow to load."""
    changes(day)
    for at_s in day.times(3.0, day.length_s - 20.0, 19.0, 23.0):
        day.plan(at_s, "version_bump", count=0)
        day.plan(at_s + 16.0, "version_bump", count=0)
        day.chance.choice(LASTING_CORE_LOSSES)(day, at_s + day.chance.uniform(-0.5, 3.0), 14.0)
        day.fault(at_s + 0.3, "srv_slow", share=0.7, x=10.0, for_s=13.0)
        if day.chance.random() < 0.5:
            killed_s = at_s + day.chance.uniform(2.0, 5.0)
            day.fault(killed_s, "node_kill", share=0.4, for_s=0.5)
    busy_terminations(day, first_s=15.0, least_gap_s=20.0, most_gap_s=26.0, at_once=3.0)


def heads(day: Timetable) -> None:
    """The leader is cut off or stands still for a second, again and again, as weights are named."""
    changes(day)
    for at_s in day.times(3.0, day.length_s - 20.0, 16.0, 20.0):
        for named_s in day.times(at_s, at_s + 12.0, 1.5, 4.0):
            day.plan(named_s, "version_bump", count=0)
        for lost_s in day.times(at_s + 0.5, at_s + 11.0, 1.8, 3.2):
            day.chance.choice(SHORT_CORE_LOSSES)(day, lost_s, day.chance.uniform(0.6, 1.5))
    busy_terminations(day, first_s=9.0, least_gap_s=18.0, most_gap_s=26.0, at_once=2.0)


def late_core(day: Timetable) -> None:
    """A core goes for a moment once old weights are over, while most workers still have them."""
    changes(day)
    for at_s in day.times(4.0, day.length_s - 20.0, 18.0, 22.0):
        day.fault(at_s - 1.5, "srv_slow", share=0.8, x=14.0, for_s=16.0)
        day.plan(at_s, "version_bump", count=0)
        day.plan(at_s + 16.0, "version_bump", count=0)
        lost_s = at_s + day.chance.uniform(8.1, 9.5)
        day.chance.choice(SHORT_CORE_LOSSES)(day, lost_s, day.chance.uniform(0.5, 1.5))
    busy_terminations(day, first_s=12.0, least_gap_s=22.0, most_gap_s=30.0, at_once=3.0)


def leavers(day: Timetable) -> None:
    """Clients leave all day, while workers are slow, hang, fall mute or lose their links."""
    routine(day)
    for at_s in day.times(2.0, day.length_s - 4.0, 8.0, 16.0):
        share = day.chance.choice([0.2, 0.4, 0.8])
        leaves_ms = day.chance.choice([100, 300, 600])
        day.fault(at_s, "give_up", share=share, x=leaves_ms, for_s=day.chance.uniform(5.0, 12.0))
    for at_s in day.times(3.0, day.length_s - 10.0, 5.0, 9.0):
        day.chance.choice(LEAVERS_TROUBLES)(day, at_s, day.chance.uniform(3.0, 8.0))


SHAPES: dict[str, Callable[[Timetable], None]] = {
    "terms": terms,
    "mixed": mixed,
    "overlap": overlap,
    "slow-workers": slow_workers,
    "core": core,
    "config": config,
    "restarts": restarts,
    "laggards": laggards,
    "versions": versions,
    "ends": ends,
    "drains": drains,
    "lasting": lasting,
    "heads": heads,
    "late-core": late_core,
    "leavers": leavers,
}
