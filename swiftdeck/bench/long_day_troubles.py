"""Single troubles of long days, each with a variant that chance picks, and pools of them."""

from collections.abc import Callable

from swiftdeck.bench.timetable import Timetable

Trouble = Callable[[Timetable, float, float], None]
"""Adds a trouble to a day, given its beginning and how long it lasts, in seconds."""
AfterBump = Callable[[Timetable, float], None]
"""Adds what follows a naming of weights, given when."""

WORKER_ILLS = ["hang", "mute", "slow", "errors", "shed", "busy", "reset"]
LEADER_CUTS = [
    "leader",
    "split",
    "both",
    "relieve",
    "lure",
    "oldest",
    "leader one_way",
    "leader race",
]


def strength(how: str) -> float:
    """How strong an illness of workers is: a factor for slow ones, else a share of requests."""
    return 8.0 if how == "slow" else 0.6


def grey_workers(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that fail part of what they take with a good health answer."""
    how = day.chance.choice(WORKER_ILLS)
    share = day.chance.choice([0.2, 0.5])
    day.fault(at_s, "srv_grey", share=share, x=strength(how), for_s=for_s, how=how)


def slow_workers(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that take several times as long."""
    day.fault(at_s, "srv_slow", share=0.4, x=5.0, for_s=for_s)


def crashed_workers(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that crash, for a while or for good."""
    how = day.chance.choice(["", "dark", "gone", "across", "joined"])
    day.fault(at_s, "srv_crash", share=0.2, for_s=for_s, how=how)


def cut_workers(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that lose the path to the core or to some routers."""
    how = day.chance.choice(["", "fronts", "some", "one_way", "reset"])
    day.fault(at_s, "srv_cut", share=0.2, for_s=for_s, how=how)


def reused_addresses(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers whose addresses go to another service."""
    how = day.chance.choice(["", "drain", "dark"])
    day.fault(at_s, "replace_with_reuse", share=0.15, for_s=for_s, how=how)


def spoilt_answers(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that break off or spoil answers."""
    how = day.chance.choice(["", "extra", "unframed", "early", "extra late"])
    day.fault(at_s, "garble", share=0.5, x=0.03, for_s=for_s, how=how)


def lost_answers(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that lose the answers of requests that they ran."""
    day.fault(
        at_s, "answer_lost", share=0.5, x=0.04, for_s=for_s, how=day.chance.choice(["", "reset"])
    )


def lost_events(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that lose the events that they hold."""
    day.fault(at_s, "events_gap", share=0.5, for_s=for_s)


def slow_memory(day: Timetable, at_s: float, for_s: float) -> None:
    """Moves of memory between workers that take several times as long."""
    day.fault(at_s, "kv_slow", share=0.3, x=8.0, for_s=for_s)


def killed_routers(day: Timetable, at_s: float, for_s: float) -> None:
    """Routers that are killed or lose power."""
    how = day.chance.choice(["", "power", "reader", "giver", "drain"])
    day.fault(at_s, "node_kill", share=0.2, for_s=for_s, how=how)


def frozen_routers(day: Timetable, at_s: float, for_s: float) -> None:
    """Routers that stand still."""
    day.fault(at_s, "node_freeze", share=0.15, for_s=for_s)


def slow_routers(day: Timetable, at_s: float, for_s: float) -> None:
    """Routers that run several times slower."""
    day.fault(at_s, "node_slow", share=0.15, x=5.0, for_s=for_s)


def cut_routers(day: Timetable, at_s: float, for_s: float) -> None:
    """Routers that are cut off from the cores, from the workers or from all."""
    how = day.chance.choice(["", "all", "servers", "reset", "refuse"])
    day.fault(at_s, "node_cut", share=0.2, for_s=for_s, how=how)


def herd_killed(day: Timetable, at_s: float, for_s: float) -> None:
    """Half of the routers killed at once."""
    day.fault(
        at_s, "herd_kill", share=0.5, for_s=min(for_s, 2.0), how=day.chance.choice(["", "power"])
    )


def reset_connections(day: Timetable, at_s: float, for_s: float) -> None:
    """Connections of some machines that are reset."""
    day.fault(at_s, "reset_conns", share=0.3, x=0.5, for_s=for_s)


def stepped_clocks(day: Timetable, at_s: float, for_s: float) -> None:
    """Clocks that step back or ahead."""
    how = day.chance.choice(["back", "ahead", "leader"])
    day.fault(at_s, "clock_step", share=0.3, x=2500.0, for_s=for_s, how=how)


def burst(day: Timetable, at_s: float, for_s: float) -> None:
    """More traffic than usual."""
    day.fault(at_s, "burst", x=1.6, for_s=for_s)


def lost_acks(day: Timetable, at_s: float, for_s: float) -> None:
    """Acknowledgements to the operator that are lost."""
    day.fault(at_s, "ack_lost", x=0.7, for_s=for_s)


def killed_core(day: Timetable, at_s: float, for_s: float) -> None:
    """A core that is killed."""
    how = day.chance.choice(["leader", "power leader", "leader race", "seed", "meet drain"])
    day.fault(at_s, "node_kill", on="core", count=1, for_s=min(for_s, 3.0), how=how)


def killed_all_cores(day: Timetable, at_s: float, for_s: float) -> None:
    """All cores killed at once."""
    how = day.chance.choice(["", "power", "off", "taken all"])
    day.fault(at_s, "herd_kill", on="core", for_s=min(for_s, 2.0), how=how)


def frozen_core(day: Timetable, at_s: float, for_s: float) -> None:
    """A core that stands still."""
    day.fault(at_s, "node_freeze", on="core", count=1, for_s=for_s, how="leader")


def cut_core(day: Timetable, at_s: float, for_s: float) -> None:
    """A core that is cut off from the others."""
    day.fault(at_s, "core_cut", count=1, for_s=for_s, how=day.chance.choice(LEADER_CUTS))


def core_left_behind(day: Timetable, at_s: float, for_s: float) -> None:
    """A core that misses changes while another one loses its disk."""
    day.fault(at_s, "core_cut", count=1, for_s=for_s, how="behind")


def dark_leader(day: Timetable, at_s: float, for_s: float) -> None:
    """The leader loses power."""
    day.fault(at_s, "node_kill", on="core", count=1, for_s=for_s, how="power leader")


def cut_leader(day: Timetable, at_s: float, for_s: float) -> None:
    """The leader is cut off from the other cores."""
    day.fault(at_s, "core_cut", count=1, for_s=for_s, how="leader")


def stalled_disk(day: Timetable, at_s: float, for_s: float) -> None:
    """A disk of a core that answers nothing."""
    day.fault(at_s, "disk_stall", count=1, for_s=for_s, how=day.chance.choice(["leader", ""]))


def slow_disk(day: Timetable, at_s: float, for_s: float) -> None:
    """A disk of a core that takes many times as long."""
    day.fault(
        at_s, "disk_slow", count=1, x=30.0, for_s=for_s, how=day.chance.choice(["leader", ""])
    )


def full_disk(day: Timetable, at_s: float, for_s: float) -> None:
    """A disk of a core that takes no more bytes."""
    day.fault(at_s, "disk_full", count=1, for_s=for_s)


def acknowledged_then_killed(day: Timetable, at_s: float, for_s: float) -> None:
    """The core that acknowledged a change is killed."""
    how = day.chance.choice(["kill", "timed", "taken", ""])
    day.fault(at_s, "after_ack_kill", for_s=min(for_s, 3.0), how=how)


def acknowledged_then_wiped(day: Timetable, at_s: float, for_s: float) -> None:
    """Cores that lose their disks after an acknowledgement."""
    day.fault(at_s, "after_ack_wipe", for_s=for_s, how=day.chance.choice(["", "oldest"]))


def replaced_core(day: Timetable, at_s: float, for_s: float) -> None:
    """A core that is replaced by an empty one."""
    how = day.chance.choice(["", "planned", "oldest"])
    day.fault(at_s, "replace_core", x=1.0, for_s=for_s, how=how)


def released(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that are replaced in turn."""
    day.plan(at_s, "release", share=0.4, x=2.0, gap_s=1.0)


def more_workers(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that are added."""
    day.plan(at_s, "scale_out", share=0.3, gap_s=1.0)


def fewer_workers(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that drain and leave."""
    day.plan(at_s, "scale_in", share=0.15, how=day.chance.choice(["", "spot"]))


def killed_after_bump(day: Timetable, at_s: float) -> None:
    """Routers that start again shortly after weights are named."""
    day.fault(at_s, "node_kill", share=0.4, for_s=day.chance.uniform(0.3, 2.0))


def crashed_after_bump(day: Timetable, at_s: float) -> None:
    """Workers that crash shortly after weights are named."""
    crashed_workers(day, at_s, day.chance.uniform(0.5, 3.0))


def released_after_bump(day: Timetable, at_s: float) -> None:
    """Workers that are replaced shortly after weights are named."""
    released(day, at_s, 0.0)


def scaled_after_bump(day: Timetable, at_s: float) -> None:
    """Workers that come and go shortly after weights are named."""
    more_workers(day, at_s, 0.0)
    fewer_workers(day, at_s + day.chance.uniform(1.0, 4.0), 0.0)


def workers_cut_from_core(day: Timetable, at_s: float, for_s: float) -> None:
    """Workers that the cores cannot reach."""
    how = day.chance.choice(["", "one_way", "reset"])
    day.fault(at_s, "srv_cut", share=0.3, for_s=for_s, how=how)


def workers_slow_to_load(day: Timetable, at_s: float, for_s: float) -> None:
    """Most workers many times slower, also at loading weights."""
    day.fault(at_s, "srv_slow", share=0.6, x=10.0, for_s=for_s)


def workers_hanging(day: Timetable, at_s: float, for_s: float) -> None:
    """Half of the workers hang."""
    day.fault(at_s, "srv_grey", share=0.5, x=0.5, for_s=for_s, how="hang")


def orders_unanswered(day: Timetable, at_s: float, for_s: float) -> None:
    """Most workers lose answers, also those to orders."""
    day.fault(at_s, "answer_lost", share=0.8, x=0.3, for_s=for_s)


def leader_killed_repeatedly(day: Timetable, at_s: float, for_s: float) -> None:
    """The leader is killed again and again."""
    for killed_s in day.times(at_s, at_s + for_s, 4.0, 5.0):
        day.fault(killed_s, "node_kill", on="core", count=1, for_s=0.5, how="leader")


LASTING_CORE_LOSSES: list[Trouble] = [dark_leader, cut_leader, frozen_core]
SHORT_CORE_LOSSES: list[Trouble] = [dark_leader, cut_leader, cut_leader, frozen_core]
ORDER_TROUBLES: list[Trouble] = [
    workers_cut_from_core,
    workers_slow_to_load,
    workers_slow_to_load,
    workers_hanging,
    orders_unanswered,
    leader_killed_repeatedly,
]
LEAVERS_TROUBLES: list[Trouble] = [
    workers_hanging,
    grey_workers,
    slow_workers,
    cut_workers,
    frozen_routers,
    cut_routers,
    cut_leader,
]
DRAIN_TROUBLES: list[Trouble] = [
    grey_workers,
    grey_workers,
    slow_workers,
    lost_answers,
    released,
    fewer_workers,
    more_workers,
]
CORE_TROUBLES: list[Trouble] = [
    killed_core,
    killed_core,
    killed_all_cores,
    frozen_core,
    cut_core,
    cut_core,
    core_left_behind,
    stalled_disk,
    slow_disk,
    full_disk,
    acknowledged_then_killed,
    acknowledged_then_wiped,
    replaced_core,
]
TROUBLES: list[Trouble] = [
    *CORE_TROUBLES[1:5],
    *CORE_TROUBLES[6:],
    grey_workers,
    slow_workers,
    crashed_workers,
    cut_workers,
    reused_addresses,
    spoilt_answers,
    lost_answers,
    lost_events,
    slow_memory,
    killed_routers,
    frozen_routers,
    slow_routers,
    cut_routers,
    herd_killed,
    reset_connections,
    stepped_clocks,
    burst,
    lost_acks,
    released,
    more_workers,
    fewer_workers,
]
AFTER_BUMP: list[AfterBump] = [
    killed_after_bump,
    killed_after_bump,
    crashed_after_bump,
    released_after_bump,
    scaled_after_bump,
]
