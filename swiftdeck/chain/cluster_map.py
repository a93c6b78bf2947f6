"""The newest view known to a process that uses the chain."""

import asyncio

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import View, ViewAsk


class ClusterMap:
    """Learns views from gossiped news, and polls the cores when the known view may be stale."""

    def __init__(self, mesh, membership, news):
        self.mesh, self.membership = mesh, membership
        self.view, self.asking = View(), None
        news.watch("view", self.on_news)

    def start(self):
        """Start polling the cores until a view is known."""
        self.task = asyncio.ensure_future(self._poll_loop())

    async def _poll_loop(self):
        while True:
            if not self.view.number:
                await self.ask()
            await asyncio.sleep(0.3 if not self.view.number else 3.0)

    def on_news(self, key, stamp, body):
        self.learn(View().parse(body))

    def learn(self, view):
        """Adopt a view if it is newer."""
        if view.number > self.view.number:
            self.view = view

    def voters(self):
        return self.view.voters

    def head(self):
        """Return the address of the head, which takes writes, or None."""
        return self.view.members[0].addr if self.view.members else None

    def tail(self):
        """Return the address of the tail, which answers queries, or None."""
        return self.view.members[-1].addr if self.view.members else None

    def refresh(self):
        """Poll the cores, unless a poll is running or finished less than 200 ms ago."""
        if self.asking is None or self.asking.done():
            self.asking = asyncio.ensure_future(self._poll_and_pause())

    async def _poll_and_pause(self):
        await self.ask()
        await asyncio.sleep(0.2)

    async def ask(self):
        """Ask all known cores for their view and adopt the newest."""
        addrs = {member.addr for member in self.membership.alive("core")} | {
            ref.addr for ref in self.view.members
        }
        responses = await asyncio.gather(
            *(self.mesh.request(addr, ViewAsk(), 500) for addr in sorted(addrs))
        )
        for response in responses:
            if not is_fault(response):
                self.learn(response.view)
