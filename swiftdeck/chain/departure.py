"""A core that is told to stop leaves the chain by agreement first, once the others have all that it has."""

import asyncio

from swiftdeck.chain.agreement import ids
from swiftdeck.fault import STALE_VIEW, is_fault
from swiftdeck.wire.messages import LeaveAsk, View

LOOK_S, PASS_ON_S, LINGER_S = 0.05, 0.5, 0.1


class Departure:
    """Moves a leaving core's place and vote to the others; a core that nobody can replace keeps both and just stops."""

    def __init__(self, mesh, agreement, chain, view_manager, telemetry, losses_borne=1):
        self.mesh, self.agreement, self.chain = mesh, agreement, chain
        self.view_manager, self.telemetry, self.losses_borne = view_manager, telemetry, losses_borne
        mesh.register(LeaveAsk, self.on_leave)

    async def leave(self, limit_s) -> bool:
        """Leave within a time; gives whether the others agreed on a view without this core."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        self.view_manager.is_leaving = True
        while not self._is_out():
            is_last_try = loop.time() >= end_s
            least = 1 if is_last_try else self.losses_borne + 1
            if not self.view_manager.said and not is_last_try and not self._has_others():
                break
            if len(self._complete_others()) >= least and await self._leave_now():
                break
            if is_last_try:
                break
            await asyncio.sleep(LOOK_S)
        if self._is_out():
            self.telemetry.log_event("has left the chain", view=self.agreement.decided.number)
            await asyncio.sleep(LINGER_S)
        return self._is_out()

    def _is_out(self):
        return self.agreement.position() < 0

    def _has_others(self):
        return len(self.agreement.decided.members) > 1

    def _complete_others(self):
        """Members that are heard in this very view and have all that was committed."""
        view, said = self.agreement.decided, self.view_manager.said
        return [
            ref
            for ref in view.members
            if ref.core_id in said
            and said[ref.core_id][1].view.number == view.number
            and not said[ref.core_id][1].is_partial
            and not said[ref.core_id][1].fault
        ]

    async def _leave_now(self):
        """Give the lease back, pass on what is taken, and have a view agreed on without this core."""
        self.agreement.stops_serving = True
        await self._await_passed_on()
        await self.agreement.hand_back()
        view = self.agreement.decided
        if self.agreement.is_voter():
            got = await self.agreement.propose(self._without(view, self.agreement.core_id))
        else:
            got = await self._ask_others(view)
        self.agreement.stops_serving = self._is_out()
        return not is_fault(got) and self._is_out()

    async def _await_passed_on(self):
        end_s = asyncio.get_running_loop().time() + PASS_ON_S
        while self.chain.has_unpassed() and asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(LOOK_S / 10)

    async def _ask_others(self, view):
        got = STALE_VIEW
        for ref in view.voters:
            got = await self.mesh.request(
                ref.addr, LeaveAsk(core_id=self.agreement.core_id, view=view.number), 3000
            )
            if not is_fault(got):
                await self.agreement.learn(got)
                break
        return got

    async def on_leave(self, ask, sender):
        """A member without a vote wants to leave; gives the view without it."""
        view = self.agreement.decided
        if ask.view != view.number or ask.core_id not in ids(view.members):
            return STALE_VIEW
        return await self.agreement.propose(self._without(view, ask.core_id))

    def _without(self, view, core_id):
        """The next view without a core: its vote goes to a member that has none; without such it stays its own."""
        kept = [ref for ref in view.members if ref.core_id != core_id]
        heard = {self.agreement.core_id, *self.view_manager.said}
        heirs = [
            ref for ref in kept if ref.core_id in heard and ref.core_id not in ids(view.voters)
        ]
        voters = [heirs[0] if heirs and ref.core_id == core_id else ref for ref in view.voters]
        return View(number=view.number + 1, members=kept, voters=voters)
