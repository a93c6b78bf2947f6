"""Votes of one core on who does a duty; kept in memory, so a new start casts none for one lease."""

import asyncio

import attrs

from swiftdeck.fault import NOT_VOTER, STALE_VIEW
from swiftdeck.wire.messages import Nominate, Vote

RELEASES_KEPT = 1024


@attrs.define
class Cast:
    """A vote that this core has given."""

    term: int
    holder: str
    addr: str
    until_s: float


class Ballots:
    """The table of votes of one core."""

    def __init__(self, mesh, agreement, lease_ms=3000):
        self.agreement, self.lease_ms = agreement, lease_ms
        self.casts = {}
        self.released: dict[tuple[str, str], int] = {}
        agreement.watchers.append(self.on_view)
        mesh.register(Nominate, self.on_nominate)

    def start(self):
        """Begin, voting for nobody yet."""
        self.loop = asyncio.get_running_loop()
        self.quiet_until_s = self.loop.time() + self.lease_ms / 1000
        self.was_voter = self.agreement.is_voter()

    def on_view(self, view):
        """Cast no vote for one lease after this core became a voter."""
        if self.agreement.is_voter() and not self.was_voter:
            self.quiet_until_s = self.loop.time() + self.lease_ms / 1000
        self.was_voter = self.agreement.is_voter()

    def on_nominate(self, ask, sender):
        """Answer a candidate: a vote, or a fault when this core may not vote in that view."""
        now_s, held = self.loop.time(), self.casts.get(ask.duty)
        if not self.agreement.is_voter():
            return NOT_VOTER
        if ask.view != self.agreement.decided.number or self.agreement.slot.accepted is not None:
            return STALE_VIEW.with_reason(f"view {self.agreement.decided.number}")
        if ask.release:
            self._release(ask, held, now_s)
            return Vote(granted=True)
        is_busy = held and held.until_s > now_s and held.holder != ask.holder
        is_old = (
            held
            and ask.term < held.term
            or held
            and ask.term == held.term
            and held.holder != ask.holder
        )
        is_released = ask.term <= self.released.get((ask.duty, ask.holder), 0)
        if is_busy or is_old or is_released or now_s < self.quiet_until_s:
            left_s = max(self.quiet_until_s, held.until_s if held else 0) - now_s
            return Vote(
                granted=False,
                term=held.term if held else 0,
                holder=held.holder if held else "",
                addr=held.addr if held else "",
                left_ms=max(0, int(left_s * 1000)),
            )
        self.casts[ask.duty] = Cast(ask.term, ask.holder, ask.addr, now_s + self.lease_ms / 1000)
        return Vote(granted=True, term=ask.term)

    def _release(self, ask, held, now_s):
        """Free a vote, and give none for that try any more, should its question come late."""
        self.released[ask.duty, ask.holder] = ask.term
        while len(self.released) > RELEASES_KEPT:
            del self.released[next(iter(self.released))]
        if held and held.holder == ask.holder and held.term == ask.term:
            held.until_s = now_s
