"""Votes of one core on who does a duty; kept in memory, so a new start casts none for one licence."""

import asyncio

import attrs

from swiftdeck.fault import NOT_VOTER, OLD_VIEW
from swiftdeck.wire.messages import Nominate, Vote


@attrs.define
class Cast:
    """A vote that this core has given."""

    term: int
    holder: str
    addr: str
    untilS: float


class Ballots:
    """The table of votes of one core."""

    def __init__(self, mesh, agreement, licenceMs=3000):
        self.agreement, self.licenceMs = agreement, licenceMs
        self.casts = {}
        agreement.watchers.append(self.onView)
        mesh.on(Nominate, self.onNominate)

    def start(self):
        """Begin, voting for nobody yet."""
        self.loop = asyncio.get_running_loop()
        self.quietUntilS = self.loop.time() + self.licenceMs / 1000
        self.wasVoter = self.agreement.isVoter()

    def onView(self, view):
        if self.agreement.isVoter() and not self.wasVoter:
            self.quietUntilS = self.loop.time() + self.licenceMs / 1000
        self.wasVoter = self.agreement.isVoter()

    def onNominate(self, ask, sender):
        nowS, held = self.loop.time(), self.casts.get(ask.duty)
        if not self.agreement.isVoter():
            return NOT_VOTER
        if ask.view != self.agreement.decided.number or self.agreement.slot.accepted is not None:
            return OLD_VIEW.because(f"view {self.agreement.decided.number}")
        if ask.release:
            if held and held.holder == ask.holder and held.term == ask.term:
                held.untilS = nowS
            return Vote(granted=True)
        isBusy = held and held.untilS > nowS and held.holder != ask.holder
        isOld = (
            held
            and ask.term < held.term
            or held
            and ask.term == held.term
            and held.holder != ask.holder
        )
        if isBusy or isOld or nowS < self.quietUntilS:
            leftS = max(self.quietUntilS, held.untilS if held else 0) - nowS
            return Vote(
                granted=False,
                term=held.term if held else 0,
                holder=held.holder if held else "",
                addr=held.addr if held else "",
                leftMs=max(0, int(leftS * 1000)),
            )
        self.casts[ask.duty] = Cast(ask.term, ask.holder, ask.addr, nowS + self.licenceMs / 1000)
        return Vote(granted=True, term=ask.term)
