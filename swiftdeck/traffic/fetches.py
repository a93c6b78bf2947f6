"""Selects the source from which a worker fetches the cached prefix of a prompt."""

import asyncio

SLOW_LINK_AVOID_S = 10.0
"""How long a link that was too slow is not used again."""


class FetchPlanner:
    """Prefers the worker that caches most of the prompt, then the store; avoids slow links.

    `avoided` has the time until which a pair of source and target is avoided; a source is the name
    of a worker, or the address of the store.
    """

    def __init__(self, coordinator, index, workers, store=""):
        self.coordinator, self.index, self.workers, self.store = coordinator, index, workers, store
        self.avoided: dict[tuple[str, str], float] = {}

    def clear(self):
        """Forget all slow links."""
        self.avoided = {}

    def source(self, target: str, ask) -> str:
        """Return the address to fetch from; empty if the worker shall compute the prefix itself."""
        config = self.coordinator.config()
        if not config.fetches or len(ask.chain) < 2 or ask.size < config.fetchLeast:
            return ""
        depth_here = self.index.depth(target, ask.chain)
        if depth_here >= len(ask.chain) - 1:
            return ""
        peer = self._best_peer(target, ask, depth_here)
        if peer is not None:
            return peer.addr
        if depth_here == 0 and self.store and self._is_usable(self.store, target):
            return self.store
        return ""

    def _best_peer(self, target: str, ask, depth_here: int):
        """Return the listed worker that caches most of a prompt, or None.

        None also if it caches no more than the target, or the link to it is not usable.
        """
        depths = {
            name: self.index.depth(name, ask.chain) for name in self.index.caches if name != target
        }
        best = max(
            depths, key=lambda name: (depths[name], self._is_usable(name, target)), default=None
        )
        if best is None or depths[best] <= depth_here or not self._is_usable(best, target):
            return None
        return self.workers.workers.get(best)

    def _is_usable(self, source: str, target: str) -> bool:
        """Whether a link was not found too slow recently."""
        until_s = self.avoided.get((source, target))
        return until_s is None or until_s <= asyncio.get_running_loop().time()

    def avoid(self, address: str, target: str):
        """Avoid a link for SLOW_LINK_AVOID_S, because a fetch over it took too long."""
        source = next(
            (worker.name for worker in self.coordinator.listed_workers() if worker.addr == address),
            address,
        )
        self.avoided[(source, target)] = asyncio.get_running_loop().time() + SLOW_LINK_AVOID_S
