"""How a new coordinator learns what is open before it grants a start."""

import asyncio

import attrs

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import OpenAsk

GRACE_S = 1.5
"""How long a reported conversation stays open at least, so that its next call can come."""
REPORT_MS = 800
ASK_AGAIN_S = 0.1
NO_FLOOR_S = -1e9


@attrs.frozen(eq=False)
class Arrival:
    """A question that came while the books were gathered.

    `since_s` is when its call began to wait.
    """

    since_s: float
    is_released: asyncio.Future


class Takeover:
    """Asks every router; who asks meanwhile waits, and is taken in the order of waiting.

    No reported conversation counts as idle since before `idle_floor_s`.
    """

    def __init__(self, coordinator, slot_table, router, duty):
        self.coordinator, self.slot_table, self.router, self.duty = (
            coordinator,
            slot_table,
            router,
            duty,
        )
        self.loop = asyncio.get_running_loop()
        self.arrivals: list[Arrival] = []
        self.clear()

    def clear(self):
        """Give no conversation a grace."""
        self.idle_floor_s = NO_FLOOR_S

    async def run(self, term: int) -> bool:
        """Gather until all answered or their leases ran out; returns whether the duty is held.

        False means that the duty was lost, or won anew under another term, and all begins again.
        """
        now_s = self.loop.time()
        self.idle_floor_s = self._first_idle_floor_s(now_s)
        end_s = now_s + self.router.settings.holdLicenceMs / 1000
        heard: set[str] = set()
        while self.duty.is_held() and self.duty.term == term:
            missing = sorted(self._routers() - heard)
            answered = await asyncio.gather(*(self.gather(addr, term) for addr in missing))
            heard.update(addr for addr, ok in zip(missing, answered, strict=True) if ok)
            if all(answered) or self.loop.time() > end_s:
                self.clear()
                return True
            await asyncio.sleep(ASK_AGAIN_S)
        return False

    def _first_idle_floor_s(self, now_s: float) -> float:
        """Return a time since which idle conversations have the grace left before they end."""
        config = self.coordinator.config()
        shortest_ms = min(config.idleMs, config.pauseMs) if config else 0
        return now_s + GRACE_S - shortest_ms / 1000

    def _routers(self) -> set[str]:
        """Return the addresses of all routers that are alive, with this one."""
        return {router.addr for router in [self.router.me, *self.router.membership.alive("router")]}

    async def gather(self, addr: str, term: int) -> bool:
        """Take in what one router serves and served; returns whether it answered."""
        me = self.router.me.addr
        ask = OpenAsk(term=term, model=self.coordinator.model, keeper=me)
        if addr == me:
            report = self.router.on_open_ask(ask, addr)
        else:
            report = await self.router.mesh.request(addr, ask, REPORT_MS)
        if is_fault(report):
            return False
        for conversation in report.conversations:
            self.slot_table.adopt(conversation, addr, self.idle_floor_s)
        return True

    def release(self):
        """Let those who asked meanwhile go on, the longest waiting first."""
        arrivals = sorted(self.arrivals, key=lambda arrival: arrival.since_s)
        self.arrivals = []
        for arrival in arrivals:
            if not arrival.is_released.done():
                arrival.is_released.set_result(None)

    async def gathered(self, since_s: float, wait_s: float) -> bool:
        """Wait until the books are gathered; who has waited longest then goes first.

        `since_s` is when the call began to wait, `wait_s` how long it waits here. Returns whether
        starts may be granted now.
        """
        arrival = Arrival(since_s, self.loop.create_future())
        self.arrivals.append(arrival)
        await asyncio.wait([arrival.is_released], timeout=wait_s)
        if arrival in self.arrivals:
            self.arrivals.remove(arrival)
        return self.coordinator.is_ready()
