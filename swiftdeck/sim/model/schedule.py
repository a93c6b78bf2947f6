"""Input of a model run: its cores, its orders, and the faults at its event points."""

from enum import Enum

import attrs

SHORT_FAULT_S, LASTING_FAULT_S = 0.3, 2.5


class Kind(Enum):
    """Kinds of faults that can be applied to a core."""

    KILL = "kill"
    LEAVE = "leave"
    POWER = "power"
    WIPE = "wipe"
    REPLACE = "replace"
    BLACKOUT = "blackout"
    CLOSING = "closing"
    OUTAGE = "outage"
    CUT = "cut"
    LINK = "link"
    SPLIT = "split"
    MUTE = "mute"
    RESET = "reset"
    FREEZE = "freeze"
    STALL = "stall"
    LATE = "late"


DISK_LOSSES = frozenset({Kind.WIPE, Kind.REPLACE, Kind.BLACKOUT, Kind.CLOSING})
NETWORK_FAULTS = frozenset({Kind.CUT, Kind.LINK, Kind.SPLIT, Kind.MUTE, Kind.LATE})
LASTING_FAULTS = frozenset(
    {Kind.CUT, Kind.LINK, Kind.SPLIT, Kind.MUTE, Kind.FREEZE, Kind.STALL, Kind.LATE}
)
CRASHES = frozenset(
    {
        Kind.KILL,
        Kind.LEAVE,
        Kind.POWER,
        Kind.WIPE,
        Kind.BLACKOUT,
        Kind.CLOSING,
        Kind.OUTAGE,
    }
)
REPLACEMENTS = frozenset({Kind.REPLACE})


@attrs.frozen
class Action:
    """One fault of one core, and after how many seconds it ends.

    `blackout` cuts the power of all cores and wipes the disk of this one; `outage` only cuts the
    power. `closing` also cuts the power of the router, and wipes as many disks as may be lost, from
    this core on. `cut` separates the core from all others, `link` only from the next one, `split`
    separates this core and its followers from the other half. A `mute` core receives messages, but
    its own are lost. `late` delays the next control message that the core sends by `for_s`, past
    whatever is sent meanwhile.
    """

    kind: Kind
    core: str
    for_s: float

    def __str__(self):
        return f"{self.kind.value}:{self.core}:{self.for_s:g}"


def action(kind: Kind, core: str) -> Action:
    """Return a fault with the default duration of its kind."""
    return Action(kind, core, LASTING_FAULT_S if kind in LASTING_FAULTS else SHORT_FAULT_S)


@attrs.frozen
class FaultPoint:
    """An action and the number of the event point at which it is applied."""

    point: int
    action: Action

    def __str__(self):
        return f"{self.point}:{self.action}"


class BadFaultPointError(ValueError):
    """A text that doesn't describe a fault point."""


def parse_fault_point(text: str) -> FaultPoint:
    """Parse a fault point from POINT:KIND:CORE:SECONDS.

    Raises BadFaultPointError.
    """
    try:
        point, kind, core, for_s = text.split(":")
        return FaultPoint(int(point), Action(Kind(kind), core, float(for_s)))
    except ValueError as error:
        raise BadFaultPointError(f"{text}: {error}; expected POINT:KIND:CORE:SECONDS") from error


@attrs.frozen
class Schedule:
    """The input of one run; the same schedule always gives the same sequence of events.

    `orders` holds, for each operator, the seconds until it begins. Points count from the first
    event of the cluster if `is_cold`, else from the moment when the cluster serves and has accepted
    its first configuration.
    """

    cores: int = 3
    seed: int = 1
    orders: tuple[float, ...] = (0.0, 0.0)
    strikes: tuple[FaultPoint, ...] = ()
    is_cold: bool = False
    has_router: bool = True

    def command(self) -> str:
        """Return the shell command that replays this schedule."""
        words = ["swiftdeck-bench model play", f"--cores {self.cores}", f"--seed {self.seed}"]
        words += [f"--order {delay_s:g}" for delay_s in self.orders]
        words += ["--cold"] if self.is_cold else []
        words += [] if self.has_router else ["--no-router"]
        words += [f"--strike {strike}" for strike in self.strikes]
        return " ".join(words)

    def core_names(self) -> list[str]:
        """Return the names of the cores at the start."""
        return [f"core{number}" for number in range(1, self.cores + 1)]
