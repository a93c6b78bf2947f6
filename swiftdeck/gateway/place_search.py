"""Finds a worker with a free place for one long call."""

import asyncio
import math

import attrs

from swiftdeck.gateway.places import Wish
from swiftdeck.gateway.worker_registry import Worker

MAX_REQUESTS = 6
"""Maximum number of requests for a place before the call waits at its first choice."""
WAIT_SHARE = 0.2
"""Share of the target time that a call may wait in queues."""
FIRST_WAIT_SHARE = 0.3
"""Share of that wait spent at the first worker before others are asked."""


@attrs.frozen
class GrantedPlace:
    """A place that was granted, with its worker and the expected reading time."""

    wish: Wish
    worker: Worker
    reading_ms: float


class PlaceSearch:
    """Asks the routers that own the workers' slots for a place, the cheapest worker first.

    An owner declines if its worker has so much to read that the next candidate would be cheaper.
    The candidates are then ranked again with the backlog that it reported.
    """

    def __init__(self, gateway, proxied_request, workers, salts):
        self.gateway, self.proxied_request = gateway, proxied_request
        self.request = proxied_request.request
        self.workers, self.salts = workers, salts
        self.serving = gateway.worker_registry.serving(proxied_request.service)
        self.refused: set[str] = set()

    def costs(self):
        """Return the costs of the candidates that have not refused, cheapest first."""
        workers = [worker for worker in self.workers if worker.name not in self.refused]
        return self.gateway.placing.costs(self.request, workers, self.salts, self.serving)

    async def find(self, costs) -> GrantedPlace | None:
        """Return a granted place, or None if no worker has one within the wait bound.

        `costs` are those of all candidates; there is at least one.
        """
        first_choice = costs[0].worker
        for attempt in range(MAX_REQUESTS):
            if attempt:
                costs = self.costs()
            if not costs:
                break
            place = await self._ask_cheapest(costs, FIRST_WAIT_SHARE if attempt == 0 else 0.0)
            if place is not None:
                return place
        return await self._wait_at_first(first_choice)

    async def _ask_cheapest(self, costs, wait_share):
        """Ask for a place at the cheapest worker, unless its backlog is larger than known here."""
        best, now_s = costs[0], asyncio.get_running_loop().time()
        unread_most = math.inf
        if len(costs) > 1:
            pace = self.gateway.worker_registry.pace(best.worker, now_s)
            unread_most = (costs[1].total_ms - best.total_ms + best.backlog_ms) * pace
        self._record_trace(costs)
        return await self._ask_owner(best.worker, best.missing, wait_share, unread_most)

    async def _wait_at_first(self, worker):
        """Wait for a place at the worker that was the first choice, whatever its backlog."""
        salt = self.salts[worker.name]
        missing = self.gateway.placing.missing(self.request, worker, salt)
        self._record_trace(())
        return await self._ask_owner(worker, missing, 1.0, math.inf)

    async def _ask_owner(self, worker, missing, wait_share, unread_most):
        gateway, salt = self.gateway, self.salts[worker.name]
        wish = self.proxied_request.wish(worker, missing.tokens_to_read)
        wait_ms = int(self._wait_s(wait_share) * 1000)
        response = await gateway.admission.ask(wish, wait_ms, self.request, salt, unread_most)
        if not response.granted:
            if not response.is_busy:
                self.refused.add(worker.name)
            return None
        now_s = asyncio.get_running_loop().time()
        pace = gateway.worker_registry.pace(worker, now_s)
        reading_ms = (response.unread + missing.tokens_to_read) / pace + missing.transfer_ms
        return GrantedPlace(wish, worker, reading_ms)

    def _wait_s(self, share):
        """Return a share of the time that the call may still wait in queues."""
        call, now_s = self.proxied_request, asyncio.get_running_loop().time()
        wait_s = max(0.0, (call.start_s + WAIT_SHARE * call.aim_s - now_s) * share)
        return min(wait_s, max(0.0, call.ledger.deadline_s - now_s))

    def _record_trace(self, costs):
        trace = self.proxied_request.trace
        if trace is not None:
            trace.owners_asked += 1
            if costs:
                trace.record_candidates(costs)
