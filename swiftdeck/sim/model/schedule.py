"""What a run of the model is told: its members, its orders, and the fault that strikes at a point."""

from enum import Enum

import attrs

OUTAGE_S, TROUBLE_S = 0.3, 2.5


class Kind(Enum):
    """What may strike a core."""

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


LOSES_DISK = frozenset({Kind.WIPE, Kind.REPLACE, Kind.BLACKOUT, Kind.CLOSING})
ON_THE_NETWORK = frozenset({Kind.CUT, Kind.LINK, Kind.SPLIT, Kind.MUTE, Kind.LATE})
LASTING = frozenset(
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
    """One fault of one core, and how long until the core is back or well.

    A blackout takes the power of all cores and the disk of this one, an outage only the power. A closing fault takes the power of
    the router too, and the disks of as many cores as may be lost, from this one on. A cut parts the core from all others, a link
    from the next one alone, a split this one and its followers from the other half; a mute core hears the others, who don't hear it.
    Late is the next message of the control side that the core sends: it comes after that time, whatever was sent meanwhile.
    """

    kind: Kind
    core: str
    for_s: float

    def __str__(self):
        return f"{self.kind.value}:{self.core}:{self.for_s:g}"


def action(kind: Kind, core: str) -> Action:
    """A fault with its usual duration."""
    return Action(kind, core, TROUBLE_S if kind in LASTING else OUTAGE_S)


@attrs.frozen
class FaultPoint:
    """An action and the number of the event point at which it comes."""

    point: int
    action: Action

    def __str__(self):
        return f"{self.point}:{self.action}"


class BadFaultPointError(ValueError):
    """A text that is not a strike."""


def parse_fault_point(text: str) -> FaultPoint:
    """The strike that a text names, as POINT:KIND:CORE:SECONDS."""
    try:
        point, kind, core, for_s = text.split(":")
        return FaultPoint(int(point), Action(Kind(kind), core, float(for_s)))
    except ValueError as error:
        raise BadFaultPointError(f"{text}: {error}; expected POINT:KIND:CORE:SECONDS") from error


@attrs.frozen
class Schedule:
    """One run: the same schedule gives the same run, event for event.

    `orders` holds, for each operator, the seconds until it begins. Points count from the first
    event of the cluster if `is_cold`, else from the moment when the cluster serves and has taken
    its first configuration.
    """

    cores: int = 3
    seed: int = 1
    orders: tuple[float, ...] = (0.0, 0.0)
    strikes: tuple[FaultPoint, ...] = ()
    is_cold: bool = False
    has_router: bool = True

    def command(self) -> str:
        """The command that replays this schedule."""
        words = ["swiftdeck-bench model play", f"--cores {self.cores}", f"--seed {self.seed}"]
        words += [f"--order {each:g}" for each in self.orders]
        words += ["--cold"] if self.is_cold else []
        words += [] if self.has_router else ["--no-router"]
        words += [f"--strike {each}" for each in self.strikes]
        return " ".join(words)

    def core_names(self) -> list[str]:
        """The cores that are there at the start."""
        return [f"core{at}" for at in range(1, self.cores + 1)]
