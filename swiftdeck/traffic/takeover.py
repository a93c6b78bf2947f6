"""How a new keeper learns what is open before it grants a start."""

import asyncio

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import OpenAsk

GRACE_S = 1.5


class Takeover:
    """Asks every router; who asks meanwhile waits, and is taken in the order of waiting."""

    def __init__(self, host, books, router, duty):
        self.host, self.books, self.router, self.duty = host, books, router, duty
        self.loop, self.arrivals = asyncio.get_running_loop(), []
        self.clear()

    def clear(self):
        """No grace is being given."""
        self.grace_s = -1e9

    async def run(self, term) -> bool:
        """Gather until all answered or their leases ran out; whether the duty is still held."""
        now_s, config = self.loop.time(), self.host.config()
        self.grace_s = (
            now_s + GRACE_S - (min(config.idleMs, config.pauseMs) / 1000 if config else 0)
        )
        end_s, heard = now_s + self.router.settings.holdLicenceMs / 1000, set()
        while self.duty.is_held() and self.duty.term == term:
            wanted = {
                each.addr for each in [self.router.me, *self.router.membership.alive("router")]
            } - heard
            got = await asyncio.gather(*(self.gather(addr, term) for addr in sorted(wanted)))
            heard |= {addr for addr, ok in zip(sorted(wanted), got, strict=False) if ok}
            if all(got) or self.loop.time() > end_s:
                self.grace_s = -1e9
                return True
            await asyncio.sleep(0.1)
        return False

    async def gather(self, addr, term) -> bool:
        """Take in what one router serves and served."""
        ask = OpenAsk(term=term, model=self.host.model, keeper=self.router.me.addr)
        is_own = addr == self.router.me.addr
        got = (
            self.router.on_open_ask(ask, addr)
            if is_own
            else await self.router.mesh.ask(addr, ask, 800)
        )
        if is_fault(got):
            return False
        for each in got.conversations:
            self.books.adopt(each, addr, self.grace_s)
        return True

    def release(self):
        """Let those who asked meanwhile go on, the longest waiting first."""
        arrivals, self.arrivals = sorted(self.arrivals, key=lambda each: each[0]), []
        for _, done in arrivals:
            if not done.done():
                done.set_result(None)

    async def gathered(self, since_s, wait_s) -> bool:
        """Wait until the books are gathered; who has waited longest then goes first."""
        arrival = (since_s, self.loop.create_future())
        self.arrivals.append(arrival)
        await asyncio.wait([arrival[1]], timeout=wait_s)
        if arrival in self.arrivals:
            self.arrivals.remove(arrival)
        return self.host.is_ready()
