"""Orderly departure: a stopping core first leaves the chain by agreement, once the others have all its entries."""

import asyncio

from swiftdeck.chain.agreement import ids
from swiftdeck.fault import STALE_VIEW, is_fault
from swiftdeck.wire.messages import LeaveAsk, View

POLL_S, REPLICATION_WAIT_S, LINGER_S = 0.05, 0.5, 0.1


class Departure:
    """Removes a leaving core from the view and moves its vote; a core that cannot be replaced keeps both and just stops."""

    def __init__(self, mesh, agreement, chain, view_manager, telemetry, losses_borne=1):
        self.mesh, self.agreement, self.chain = mesh, agreement, chain
        self.view_manager, self.telemetry, self.losses_borne = view_manager, telemetry, losses_borne
        mesh.register(LeaveAsk, self.on_leave)

    async def leave(self, limit_s) -> bool:
        """Try to leave within `limit_s` seconds; return whether the others agreed on a view without this core."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        self.view_manager.is_leaving = True
        while not self._has_left():
            is_last_try = loop.time() >= end_s
            required_others = 1 if is_last_try else self.losses_borne + 1
            if not self.view_manager.reports and not is_last_try and not self._has_others():
                break
            if len(self._complete_others()) >= required_others and await self._try_leave():
                break
            if is_last_try:
                break
            await asyncio.sleep(POLL_S)
        if self._has_left():
            self.telemetry.log_event("has left the chain", view=self.agreement.decided.number)
            await asyncio.sleep(LINGER_S)
        return self._has_left()

    def _has_left(self):
        return self.agreement.position() < 0

    def _has_others(self):
        return len(self.agreement.decided.members) > 1

    def _complete_others(self):
        """Return the other members that respond in the same view, report no fault and have all committed entries."""
        view, reports = self.agreement.decided, self.view_manager.reports
        return [
            ref
            for ref in view.members
            if ref.core_id in reports
            and reports[ref.core_id][1].view.number == view.number
            and not reports[ref.core_id][1].is_partial
            and not reports[ref.core_id][1].fault
        ]

    async def _try_leave(self):
        """Stop serving, wait for replication, hand back the lease and have a view without this core agreed on."""
        self.agreement.stops_serving = True
        await self._await_replication()
        await self.agreement.hand_back()
        view = self.agreement.decided
        if self.agreement.is_voter():
            response = await self.agreement.propose(
                self._view_without(view, self.agreement.core_id)
            )
        else:
            response = await self._ask_others(view)
        self.agreement.stops_serving = self._has_left()
        return not is_fault(response) and self._has_left()

    async def _await_replication(self):
        end_s = asyncio.get_running_loop().time() + REPLICATION_WAIT_S
        while self.chain.has_unreplicated() and asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(POLL_S / 10)

    async def _ask_others(self, view):
        response = STALE_VIEW
        for ref in view.voters:
            response = await self.mesh.request(
                ref.addr, LeaveAsk(core_id=self.agreement.core_id, view=view.number), 3000
            )
            if not is_fault(response):
                await self.agreement.learn(response)
                break
        return response

    async def on_leave(self, ask, sender):
        """Propose a view without a member that has no vote; return the decided view or a fault."""
        view = self.agreement.decided
        if ask.view != view.number or ask.core_id not in ids(view.members):
            return STALE_VIEW
        return await self.agreement.propose(self._view_without(view, ask.core_id))

    def _view_without(self, view, core_id):
        """Return the next view without a core; its vote goes to a reachable member without one, else it keeps its vote."""
        kept = [ref for ref in view.members if ref.core_id != core_id]
        reachable = {self.agreement.core_id, *self.view_manager.reports}
        successors = [
            ref for ref in kept if ref.core_id in reachable and ref.core_id not in ids(view.voters)
        ]
        voters = [
            successors[0] if successors and ref.core_id == core_id else ref for ref in view.voters
        ]
        return View(number=view.number + 1, members=kept, voters=voters)
