"""Finds a worker, and a place in its book, for one long call."""

import asyncio
import math

import attrs

from swiftdeck.gateway.places import Wish
from swiftdeck.gateway.worker_registry import Worker

ASKED_MOST = 6
WAIT_SHARE = 0.2
"""The share of the aim for which a call may wait in lines."""
FIRST_WAIT_SHARE = 0.3
"""The part of that for which it waits at the first worker before others are asked."""


@attrs.frozen
class Found:
    """A place that was granted: what was asked, where, and how long the reading should take."""

    wish: Wish
    worker: Worker
    reading_ms: float


class PlaceSearch:
    """Asks the owners of books for a place, the cheapest worker first.

    An owner whose worker has so much to read that the next candidate would be cheaper says so, and
    the candidates are weighed again with what it told.
    """

    def __init__(self, gateway, proxied_request, workers, salts):
        self.gateway, self.proxied_request = gateway, proxied_request
        self.request = proxied_request.request
        self.workers, self.salts = workers, salts
        self.serving = gateway.worker_registry.serving(proxied_request.service)
        self.refused: set[str] = set()

    def costs(self):
        """The candidates that have not refused, the cheapest first."""
        workers = [each for each in self.workers if each.name not in self.refused]
        return self.gateway.placing.costs(self.request, workers, self.salts, self.serving)

    async def find(self, costs) -> Found | None:
        """A place, or None where no book has room in the time that there is for it.

        `costs` are those of all candidates, of which there is at least one.
        """
        first = costs[0].worker
        for turn in range(ASKED_MOST):
            if turn:
                costs = self.costs()
            if not costs:
                break
            found = await self._ask(costs, FIRST_WAIT_SHARE if turn == 0 else 0.0)
            if found is not None:
                return found
        return await self._wait_at(first)

    async def _ask(self, costs, wait_share):
        """Ask for a place at the cheapest worker, unless it has more to read than is known here."""
        best, now_s = costs[0], asyncio.get_running_loop().time()
        unread_most = math.inf
        if len(costs) > 1:
            pace = self.gateway.worker_registry.pace(best.worker, now_s)
            unread_most = (costs[1].total - best.total + best.unread) * pace
        self._trace(costs)
        return await self._ask_owner(best.worker, best.missing, wait_share, unread_most)

    async def _wait_at(self, worker):
        """Wait at the worker that was the first choice, whatever it has to read."""
        salt = self.salts[worker.name]
        missing = self.gateway.placing.missing(self.request, worker, salt)
        self._trace(())
        return await self._ask_owner(worker, missing, 1.0, math.inf)

    async def _ask_owner(self, worker, missing, wait_share, unread_most):
        gateway, salt = self.gateway, self.salts[worker.name]
        wish = self.proxied_request.wish(worker, missing.to_read)
        wait_ms = int(self._wait_s(wait_share) * 1000)
        answer = await gateway.admission.ask(wish, wait_ms, self.request, salt, unread_most)
        if not answer.granted:
            if not answer.is_busy:
                self.refused.add(worker.name)
            return None
        now_s = asyncio.get_running_loop().time()
        pace = gateway.worker_registry.pace(worker, now_s)
        reading_ms = (answer.unread + missing.to_read) / pace + missing.move_ms
        return Found(wish, worker, reading_ms)

    def _wait_s(self, share):
        """A share of what is left of the time that a call may wait in lines."""
        call, now_s = self.proxied_request, asyncio.get_running_loop().time()
        wait_s = max(0.0, (call.start_s + WAIT_SHARE * call.aim_s - now_s) * share)
        return min(wait_s, max(0.0, call.ledger.deadline_s - now_s))

    def _trace(self, costs):
        trace = self.proxied_request.trace
        if trace is not None:
            trace.owners_asked += 1
            if costs:
                trace.see_candidates(costs)
