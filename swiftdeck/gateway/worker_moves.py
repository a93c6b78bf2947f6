"""Swaps single workers to newer weights: orders the load and waits until it is finished."""

import asyncio
import math

import attrs

from swiftdeck.fault import is_fault
from swiftdeck.gateway.interfaces import WorkerReport
from swiftdeck.gateway.worker_registry import Worker

ACCEPTED, ALREADY_LOADED, STALE_FENCE = 202, 200, 412
"""HTTP status codes with which a worker answers an order."""
STEER_DELAY_S, POLL_INTERVAL_S, LOAD_TIMEOUT_S = 0.08, 0.1, 4.0
"""Delay between telling routers to avoid a worker and ordering it, interval between polls, and
bound on the wait for a load.
"""
LOAD_MIN_S = 0.42
"""Delay before the first poll after an order; loading takes longer."""
NOTIFY_INTERVAL_S = 0.2
"""How often routers are told again that a worker is being swapped."""
STEER_AVOID_MS, LOADING_AVOID_MS = 1500, 600
"""For how long routers avoid a worker that is about to be ordered, and one that is loading."""
STALE_FENCE_PAUSE_S = 1.0
"""Pause after a worker refused an order because of an older fence."""
LIST_LAG_S = 5.0
"""Delay after which the platform's list shows a finished swap; if it still shows older weights, the
worker has gone back to them.
"""


@attrs.frozen
class SwapTarget:
    """A worker and the weights that it is to load."""

    worker: Worker
    model: str
    version: int


class WorkerSwapper:
    """Orders workers to load weights under the fence in force.

    An order without an answer may reach its worker seconds later, after newer ones. So each order
    names its worker and the number of orders that the worker had accepted when it was last asked;
    of all orders with the same count a worker accepts only one.

    `fence()` returns the fence under which orders may be given now, 0 for none.
    `notify_routers(worker, model, version, for_ms)` makes routers avoid a worker for a while, or
    use it again with a version. `on_swapped(target)` is called after each swap.
    """

    def __init__(self, core, orders, fence, notify_routers, on_swapped):
        self.core, self.orders, self.fence = core, orders, fence
        self.notify_routers, self.on_swapped = notify_routers, on_swapped
        self.swapped_s: dict[str, float] = {}
        self.order_counts: dict[str, int] = {}
        self.counts_fence = 0

    def drop_stale(self, fence: int, workers):
        """Drop the state of workers that are gone.

        Under another fence all order counts are dropped as well, since another core may have given
        orders in between.
        """
        if fence != self.counts_fence:
            self.counts_fence = fence
            self.order_counts.clear()
        for table in (self.swapped_s, self.order_counts):
            for name in [name for name in table if name not in workers]:
                del table[name]

    def current_version(self, worker: Worker, model: str) -> int:
        """Return the version that a worker has.

        This is the known one, unless the list has long shown an older one.
        """
        known = worker.knows(model)
        listed = worker.listed.weights.get(model, known)
        if listed >= known:
            return known
        swapped_s = self.swapped_s.get(worker.name, -math.inf)
        return listed if self.core.listing.read_s - swapped_s > LIST_LAG_S else known

    async def run(self, target: SwapTarget):
        """Swap a worker, as far as it can be reached."""
        self.notify_routers(target.worker, target.model, 0, STEER_AVOID_MS)
        await asyncio.sleep(STEER_DELAY_S)
        if not self.fence():
            return
        report = await self._report_before(target.worker)
        if report is None:
            return
        if report.holds(target.model, target.version):
            self._complete(target, report)
        elif report.is_busy or await self._order(target, report.order_count):
            await self._await_version(target)

    async def _report_before(self, worker):
        """Return the state of a worker before it is ordered, or None if it doesn't answer.

        The order count from the last swap is reused under the same fence. If the worker has
        accepted another order since then, it refuses the next one, and is asked again.
        """
        known_count = self.order_counts.get(worker.name)
        if known_count is not None:
            return WorkerReport({}, False, known_count)
        report = await self.orders.report(worker.listed.addr)
        if is_fault(report):
            self._log_unanswered("report unanswered", worker, report)
            return None
        return report

    async def _order(self, target, order_count):
        """Order a worker to load weights and return whether it is known to have accepted."""
        fence, count, worker = self.fence(), self.core.telemetry.count, target.worker
        if not fence:
            return False
        self.order_counts.pop(worker.name, None)
        status = await self.orders.order(
            worker.listed.addr,
            target.model,
            target.version,
            self.core.me.name,
            fence,
            worker.name,
            order_count,
        )
        count["ordersSent"] += 1
        if is_fault(status):
            self._log_unanswered("order unanswered", worker, status)
        elif status == STALE_FENCE:
            count["ordersFenced"] += 1
            await asyncio.sleep(STALE_FENCE_PAUSE_S)
        elif status not in (ACCEPTED, ALREADY_LOADED):
            count[f"ordersRefused.{status}"] += 1
        return status in (ACCEPTED, ALREADY_LOADED)

    def _log_unanswered(self, event, worker, fault):
        self.core.telemetry.count["ordersUnanswered"] += 1
        self.core.telemetry.log_event(
            event, worker=worker.name, code=fault.code, reason=fault.reason
        )

    async def _await_version(self, target):
        """Poll a worker that was ordered until it has the weights.

        Gives up if the worker isn't loading or a timeout passes.
        """
        loop = asyncio.get_running_loop()
        end_s, notify_s = loop.time() + LOAD_TIMEOUT_S, 0.0
        await asyncio.sleep(LOAD_MIN_S)
        while loop.time() < end_s:
            report = await self.orders.report(target.worker.listed.addr)
            if not is_fault(report):
                if report.holds(target.model, target.version):
                    return self._complete(target, report)
                if not report.is_busy:
                    return
            if loop.time() >= notify_s:
                notify_s = loop.time() + NOTIFY_INTERVAL_S
                self.notify_routers(target.worker, target.model, 0, LOADING_AVOID_MS)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _complete(self, target, report):
        """Record that a worker has the weights, and tell all routers."""
        worker = target.worker
        if report.order_count is not None:
            self.order_counts[worker.name] = report.order_count
        self.swapped_s[worker.name] = asyncio.get_running_loop().time()
        self.core.worker_registry.learn(worker, {target.model: target.version})
        self.core.telemetry.count["swapsDone"] += 1
        self.on_swapped(target)
        self.notify_routers(worker, target.model, target.version, 0)
