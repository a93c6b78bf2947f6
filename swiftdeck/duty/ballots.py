"""Votes of one core on who holds a duty.

They are kept in memory only, so a restarted core abstains for one lease.
"""

import asyncio

import attrs

from swiftdeck.fault import NOT_VOTER, STALE_VIEW
from swiftdeck.wire.messages import Nominate, Vote

RELEASES_KEPT = 1024


@attrs.define
class GrantedVote:
    """A vote that this core has granted."""

    term: int
    holder: str
    addr: str
    until_s: float


class Ballots:
    """The votes of one core, by duty."""

    def __init__(self, mesh, agreement, lease_ms=3000):
        self.agreement, self.lease_ms = agreement, lease_ms
        self.votes = {}
        self.released: dict[tuple[str, str], int] = {}
        agreement.watchers.append(self.on_view)
        mesh.register(Nominate, self.on_nominate)

    def start(self):
        """Start, abstaining for one lease."""
        self.loop = asyncio.get_running_loop()
        self.abstain_until_s = self.loop.time() + self.lease_ms / 1000
        self.was_voter = self.agreement.is_voter()

    def on_view(self, view):
        """Abstain for one lease after this core became a voter."""
        if self.agreement.is_voter() and not self.was_voter:
            self.abstain_until_s = self.loop.time() + self.lease_ms / 1000
        self.was_voter = self.agreement.is_voter()

    def on_nominate(self, ask, sender):
        """Answer a candidate with a vote, or a fault when this core may not vote in its view."""
        now_s, current = self.loop.time(), self.votes.get(ask.duty)
        if not self.agreement.is_voter():
            return NOT_VOTER
        if ask.view != self.agreement.decided.number or self.agreement.slot.accepted is not None:
            return STALE_VIEW.with_reason(f"view {self.agreement.decided.number}")
        if ask.release:
            self._release(ask, current, now_s)
            return Vote(granted=True)
        is_busy = current and current.until_s > now_s and current.holder != ask.holder
        is_outdated = (
            current
            and ask.term < current.term
            or current
            and ask.term == current.term
            and current.holder != ask.holder
        )
        is_released = ask.term <= self.released.get((ask.duty, ask.holder), 0)
        if is_busy or is_outdated or is_released or now_s < self.abstain_until_s:
            left_s = max(self.abstain_until_s, current.until_s if current else 0) - now_s
            return Vote(
                granted=False,
                term=current.term if current else 0,
                holder=current.holder if current else "",
                addr=current.addr if current else "",
                left_ms=max(0, int(left_s * 1000)),
            )
        self.votes[ask.duty] = GrantedVote(
            ask.term, ask.holder, ask.addr, now_s + self.lease_ms / 1000
        )
        return Vote(granted=True, term=ask.term)

    def _release(self, ask, current, now_s):
        """Release a vote, and refuse that term later: its request may arrive after its release."""
        self.released[ask.duty, ask.holder] = ask.term
        while len(self.released) > RELEASES_KEPT:
            del self.released[next(iter(self.released))]
        if current and current.holder == ask.holder and current.term == ask.term:
            current.until_s = now_s
