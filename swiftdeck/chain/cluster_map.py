"""The newest view that a process outside the chain has heard of."""

import asyncio

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import View, ViewAsk


class ClusterMap:
    """Follows the view by news, and asks the cores when it seems old."""

    def __init__(self, mesh, membership, news):
        self.mesh, self.membership = mesh, membership
        self.view, self.asking = View(), None
        news.watch("view", self.on_news)

    def start(self):
        """Go on asking while no view is known."""
        self.task = asyncio.ensure_future(self._following())

    async def _following(self):
        while True:
            if not self.view.number:
                await self.ask()
            await asyncio.sleep(0.3 if not self.view.number else 3.0)

    def on_news(self, key, stamp, body):
        self.learn(View().parse(body))

    def learn(self, view):
        """Take a view in, if it is newer."""
        if view.number > self.view.number:
            self.view = view

    def voters(self):
        return self.view.voters

    def head(self):
        """The address where writes enter, if known."""
        return self.view.members[0].addr if self.view.members else None

    def tail(self):
        """The address that answers, if known."""
        return self.view.members[-1].addr if self.view.members else None

    def refresh(self):
        """Ask the cores soon; many calls make one."""
        if self.asking is None or self.asking.done():
            self.asking = asyncio.ensure_future(self._ask_soon())

    async def _ask_soon(self):
        await self.ask()
        await asyncio.sleep(0.2)

    async def ask(self):
        """Ask all cores that are known."""
        addrs = {each.addr for each in self.membership.alive("core")} | {
            ref.addr for ref in self.view.members
        }
        got = await asyncio.gather(
            *(self.mesh.request(addr, ViewAsk(), 500) for addr in sorted(addrs))
        )
        for each in got:
            if not is_fault(each):
                self.learn(each.view)
