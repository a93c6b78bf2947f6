"""Gathers the open conversations from all routers before a new coordinator starts others."""

import asyncio

import attrs

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import OpenAsk

REPORTED_GRACE_S = 1.5
"""Minimum time for which a reported conversation stays open, so that its next call can arrive."""
REPORT_TIMEOUT_MS = 800
ASK_RETRY_S = 0.1
NO_FLOOR_S = -1e9


@attrs.frozen(eq=False)
class PendingAsk:
    """A GrantAsk that arrived before the coordinator was ready.

    `since_s` is when its call began to wait.
    """

    since_s: float
    is_released: asyncio.Future


class Takeover:
    """Asks every router for its conversations; asks that arrive meanwhile wait.

    Afterwards they are handled in the order in which their calls began to wait. No reported
    conversation counts as idle since before `idle_floor_s`.
    """

    def __init__(self, coordinator, slot_table, router, duty):
        self.coordinator, self.slot_table, self.router, self.duty = (
            coordinator,
            slot_table,
            router,
            duty,
        )
        self.loop = asyncio.get_running_loop()
        self.pending_asks: list[PendingAsk] = []
        self.clear()

    def clear(self):
        """Stop extending the idle time of reported conversations."""
        self.idle_floor_s = NO_FLOOR_S

    async def run(self, term: int) -> bool:
        """Gather until all routers answered, or until the leases of the silent ones expired.

        Returns False if the duty was lost meanwhile, or won again under another term: then the
        gathering must start over.
        """
        now_s = self.loop.time()
        self.idle_floor_s = self._idle_floor_after_takeover_s(now_s)
        end_s = now_s + self.router.settings.holdLicenceMs / 1000
        reported: set[str] = set()
        while self.duty.is_held() and self.duty.term == term:
            missing = sorted(self._routers() - reported)
            answered = await asyncio.gather(*(self.gather(addr, term) for addr in missing))
            reported.update(
                addr for addr, has_answered in zip(missing, answered, strict=True) if has_answered
            )
            if all(answered) or self.loop.time() > end_s:
                self.clear()
                return True
            await asyncio.sleep(ASK_RETRY_S)
        return False

    def _idle_floor_after_takeover_s(self, now_s: float) -> float:
        """Return the idle floor that leaves a conversation REPORTED_GRACE_S before it is closed."""
        config = self.coordinator.config()
        shortest_ms = min(config.idleMs, config.pauseMs) if config else 0
        return now_s + REPORTED_GRACE_S - shortest_ms / 1000

    def _routers(self) -> set[str]:
        """Return the addresses of all live routers, including this one."""
        return {router.addr for router in [self.router.me, *self.router.membership.alive("router")]}

    async def gather(self, addr: str, term: int) -> bool:
        """Merge the conversations that one router serves or served; return whether it answered."""
        me = self.router.me.addr
        ask = OpenAsk(term=term, model=self.coordinator.model, keeper=me)
        if addr == me:
            report = self.router.on_open_ask(ask, addr)
        else:
            report = await self.router.mesh.request(addr, ask, REPORT_TIMEOUT_MS)
        if is_fault(report):
            return False
        for conversation in report.conversations:
            self.slot_table.adopt(conversation, addr, self.idle_floor_s)
        return True

    def release_pending(self):
        """Let the pending asks proceed, the call that has waited longest first."""
        pending_asks = sorted(self.pending_asks, key=lambda pending_ask: pending_ask.since_s)
        self.pending_asks = []
        for pending_ask in pending_asks:
            if not pending_ask.is_released.done():
                pending_ask.is_released.set_result(None)

    async def wait_until_ready(self, since_s: float, wait_s: float) -> bool:
        """Wait until the conversations are gathered; return whether the coordinator is ready.

        `since_s` is when the call began to wait, by which pending asks are ordered; `wait_s` is
        the longest wait here.
        """
        pending_ask = PendingAsk(since_s, self.loop.create_future())
        self.pending_asks.append(pending_ask)
        await asyncio.wait([pending_ask.is_released], timeout=wait_s)
        if pending_ask in self.pending_asks:
            self.pending_asks.remove(pending_ask)
        return self.coordinator.is_ready()
