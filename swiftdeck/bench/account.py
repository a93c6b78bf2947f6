"""An account of a day's worth: what was lost to what, and why long calls were late or read again.

Reads the reports of the users' bench (`--report`) and the lines that routers write of long calls
(`longCallsLogged`), as the bench prints them or as plain JSON lines.
"""

import enum
from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

import attrs
import msgspec

from swiftdeck.gateway.kept import KEPT_SHARE

EVENT = "long call"


class Report(msgspec.Struct):
    """What is read of a report of the users' bench; other fields are ignored."""

    worth: float = msgspec.field(name="G")
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    classes: list["Kind"]


class Kind(msgspec.Struct):
    """The requests of one kind."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    worth: float


class LongCall(msgspec.Struct):
    """One line that a router wrote of a long call; see `CallTrace`."""

    timestamp: str
    request: str
    salt: str
    part: str
    worker: str
    source: str
    attempts: int
    shared_tokens: int
    kept_here: int
    kept_elsewhere: int
    placed_ms: int
    sent_ms: int
    first_event_ms: int
    whole_ms: int
    ended_ms: int
    event: str = ""

    def is_kept_here(self) -> bool:
        """Whether the worker was believed to keep the shared part."""
        return self.kept_here >= KEPT_SHARE * self.shared_tokens

    def at_s(self, elapsed_ms: int) -> float:
        """The time of day of a moment that is told from the start of the call."""
        return (
            datetime.fromisoformat(self.timestamp).timestamp() - (self.ended_ms - elapsed_ms) / 1000
        )


class Reading(enum.Enum):
    """How a long call came by its shared part; each call has one."""

    FIRST = "first use"
    KEPT = "kept at its worker"
    MOVED = "moved from another holder"
    AT_ONCE = "read again: read by two calls at once"
    NOT_NAMED = "read again: a holder was known, none was named"
    NOT_KNOWN = "read again: no holder was known"


class Lateness(enum.Enum):
    """What became of a long call; each call has one."""

    IN_TIME = "in time"
    UNANSWERED = "no event came"
    SECOND_WORKER = "late: sent to a second worker"
    PLACED_LATE = "late: waited for a place"
    READ_COLD = "late: its prompt was read whole"
    OTHER = "late: although its shared part was kept or moved"


@attrs.frozen
class Loss:
    """A share of the day's worth that was lost, and to what."""

    what: str
    share: float


def losses(report: Report) -> list[Loss]:
    """All that keeps a day's worth from 1, the largest first; the shares sum to the whole loss."""
    parts = [Loss(name, weight * (1 - got)) for name, weight, got in report.parts]
    prices = [Loss(f"price: {name}", price) for name, _, price in report.prices]
    return sorted((each for each in parts + prices if each.share), key=lambda each: -each.share)


def read_report(path: Path) -> Report:
    """Read a report; raises OSError or msgspec.DecodeError."""
    return msgspec.json.decode(path.read_bytes(), type=Report)


def read_calls(lines: Iterable[str]) -> list[LongCall]:
    """The long calls of a log as they were sent; other lines are passed over."""
    calls = []
    for line in lines:
        if f'"{EVENT}"' not in line:
            continue
        try:
            calls.append(msgspec.json.decode(line[line.index("{") :], type=LongCall))
        except (ValueError, msgspec.DecodeError):
            continue
    return sorted(calls, key=lambda call: call.at_s(call.sent_ms))


def reading_of(call: LongCall, earlier: LongCall | None, is_open: bool) -> Reading:
    """How a call came by its shared part, given the last call before it on the same one."""
    if call.is_kept_here():
        return Reading.KEPT
    if call.source:
        return Reading.MOVED
    if earlier is None:
        return Reading.FIRST
    if is_open:
        return Reading.AT_ONCE
    return Reading.NOT_NAMED if call.kept_elsewhere else Reading.NOT_KNOWN


def lateness_of(call: LongCall, aim_ms: float) -> Lateness:
    """What became of a call against the aim for its first event."""
    if call.first_event_ms < 0:
        return Lateness.UNANSWERED
    if call.first_event_ms <= aim_ms:
        return Lateness.IN_TIME
    if call.attempts > 1:
        return Lateness.SECOND_WORKER
    if call.first_event_ms - call.placed_ms <= aim_ms:
        return Lateness.PLACED_LATE
    is_there = call.source or call.is_kept_here()
    return Lateness.OTHER if is_there else Lateness.READ_COLD


def _is_unread(call: LongCall, now_s: float) -> bool:
    """Whether a call's prompt had not been read yet at a time."""
    return call.first_event_ms < 0 or call.at_s(call.first_event_ms) > now_s


def readings(calls: list[LongCall]) -> Counter:
    """Counts by (Reading, "calls" or "tokens") of how the shared parts were come by."""
    found, last = Counter(), {}
    for call in calls:
        key = (call.salt, call.part)
        earlier = last.get(key)
        is_open = earlier is not None and _is_unread(earlier, call.at_s(call.sent_ms))
        reading = reading_of(call, earlier, is_open)
        found[(reading, "calls")] += 1
        found[(reading, "tokens")] += call.shared_tokens
        last[key] = call
    return found


def tell(report: Report, calls: list[LongCall], aim_ms: float) -> list[str]:
    """The account as lines of a table."""
    lines = [f"worth {report.worth:.3f}, lost {1 - report.worth:.3f}", ""]
    lines += [f"  {each.share:7.4f}  {each.what}" for each in losses(report)]
    lines += ["", "kind                  asked  in aim   late refused failed  worth"]
    lines += [
        f"{kind.name:20} {kind.n:6} {kind.in_aim:7} {kind.late:6} {kind.refused:7}"
        f" {kind.failed:6}  {kind.worth:5.3f}"
        for kind in report.classes
    ]
    if not calls:
        return lines
    lines += ["", f"{len(calls)} long calls in the log, first events against {aim_ms:.0f} ms"]
    late = Counter(lateness_of(call, aim_ms) for call in calls)
    lines += [f"  {late[each]:6}  {each.value}" for each in Lateness if late[each]]
    found = readings(calls)
    lines += ["", "   calls  shared tokens"]
    lines += [
        f"  {found[(each, 'calls')]:6} {found[(each, 'tokens')]:14}  {each.value}"
        for each in Reading
        if found[(each, "calls")]
    ]
    return lines
