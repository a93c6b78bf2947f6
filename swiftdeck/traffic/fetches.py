"""The fetch planner: where an admitted conversation's prefix comes from, if its worker lacks it."""

import asyncio

SLOW_S = 10.0


class FetchPlanner:
    """Prefers the peer that keeps most, then the store; avoids a slow link for a while."""

    def __init__(self, host, index, workers, store=""):
        self.host, self.index, self.workers, self.store = host, index, workers, store
        self.links = {}

    def clear(self):
        """Know of no slow link."""
        self.links = {}

    def source(self, target, ask) -> str:
        """The address to fetch from, empty for computing anew."""
        config = self.host.config()
        if not config.fetches or len(ask.chain) < 2 or ask.size < config.fetchLeast:
            return ""
        here = self.index.depth(target, ask.chain)
        if here >= len(ask.chain) - 1:
            return ""
        depths = {
            name: self.index.depth(name, ask.chain) for name in self.index.kept if name != target
        }
        best = max(depths, key=lambda name: (depths[name], self._speed(name, target)), default=None)
        listed = self.workers.workers.get(best)
        if best and depths[best] > here and listed and self._speed(best, target) >= 0:
            return listed.addr
        if here == 0 and self.store and self._speed(self.store, target) >= 0:
            return self.store
        return ""

    def _speed(self, source, target):
        """Below zero while a link was lately too slow to be worth a try."""
        return (
            -1 if self.links.get((source, target), -1e9) > asyncio.get_running_loop().time() else 0
        )

    def slow(self, addr, target):
        """A fetch over this link took too long."""
        source = next((worker.name for worker in self.host.mine() if worker.addr == addr), addr)
        self.links[(source, target)] = asyncio.get_running_loop().time() + SLOW_S
