"""Moves single workers to newer weights: asks what one has, orders it, and waits until it holds them."""

import asyncio
import math

import attrs

from swiftdeck.fault import is_fault
from swiftdeck.gateway.interfaces import WorkerReport
from swiftdeck.gateway.worker_registry import Worker

TAKEN, HOLDS, OLD_FENCE = 202, 200, 412
STEER_S, ASK_S, GIVE_UP_S = 0.08, 0.1, 4.0
LOAD_LEAST_S = 0.42
"""After an order a worker isn't asked for so long: loading takes longer."""
TELL_S = 0.2
"""How often routers are told again that a worker is being moved."""
STEER_MS, BUSY_MS = 1500, 600
"""For how long routers leave a worker alone that is about to be ordered, and one that is at it."""
FENCED_S = 1.0
LIST_LAG_S = 5.0
"""After so long the list has what a worker that was moved has; where it says otherwise, the worker went back."""


@attrs.frozen
class Move:
    """One worker, and the weights that it is to have."""

    worker: Worker
    model: str
    version: int


class WorkerMoves:
    """Orders workers under the fence that is in force.

    An order without an answer may reach its worker seconds later, after newer ones. So each names its worker, and how many
    orders that one had taken when it was last asked: of all orders that were given with the same count only one is taken.

    `fence` gives the number under which orders may be given now, 0 for none. `tell_routers(worker, model, version, for_ms)`
    has them leave a worker alone for a while, or use it again with a version. `on_moved(move)` hears of each that is done.
    """

    def __init__(self, core, orders, fence, tell_routers, on_moved):
        self.core, self.orders, self.fence = core, orders, fence
        self.tell_routers, self.on_moved = tell_routers, on_moved
        self.moved_s: dict[str, float] = {}
        self.order_counts: dict[str, int] = {}
        self.counted_in = 0

    def follow(self, fence: int, workers):
        """Forget workers that are gone, and under another fence what was known of orders, as others may have given some."""
        if fence != self.counted_in:
            self.counted_in = fence
            self.order_counts.clear()
        for table in (self.moved_s, self.order_counts):
            for name in [name for name in table if name not in workers]:
                del table[name]

    def version(self, worker: Worker, model: str) -> int:
        """The version that a worker has: what is known of it, unless the list has said otherwise for long."""
        known = worker.knows(model)
        listed = worker.listed.weights.get(model, known)
        if listed >= known:
            return known
        moved_s = self.moved_s.get(worker.name, -math.inf)
        return listed if self.core.listing.read_s - moved_s > LIST_LAG_S else known

    async def make(self, move: Move):
        """Move a worker, as far as it can be reached."""
        self.tell_routers(move.worker, move.model, 0, STEER_MS)
        await asyncio.sleep(STEER_S)
        if not self.fence():
            return
        report = await self._report_before(move.worker)
        if report is None:
            return
        if report.holds(move.model, move.version):
            self._done(move, report)
        elif report.is_busy or await self._order(move, report.order_count):
            await self._await_version(move)

    async def _report_before(self, worker):
        """What a worker says before it is ordered, or None where it says nothing.

        What it said after the last order stands under the same fence; should another order have been taken since, the next
        one is refused, and the worker is asked again.
        """
        known = self.order_counts.get(worker.name)
        if known is not None:
            return WorkerReport({}, False, known)
        report = await self.orders.report(worker.listed.addr)
        if is_fault(report):
            self._note_unanswered("report unanswered", worker, report)
            return None
        return report

    async def _order(self, move, order_count):
        """Order a worker to take weights; whether it does, as far as is known."""
        fence, count, worker = self.fence(), self.core.telemetry.count, move.worker
        if not fence:
            return False
        self.order_counts.pop(worker.name, None)
        got = await self.orders.order(
            worker.listed.addr,
            move.model,
            move.version,
            self.core.me.name,
            fence,
            worker.name,
            order_count,
        )
        count["ordersSent"] += 1
        if is_fault(got):
            self._note_unanswered("order unanswered", worker, got)
        elif got == OLD_FENCE:
            count["ordersFenced"] += 1
            await asyncio.sleep(FENCED_S)
        elif got not in (TAKEN, HOLDS):
            count[f"ordersRefused.{got}"] += 1
        return got in (TAKEN, HOLDS)

    def _note_unanswered(self, event, worker, fault):
        self.core.telemetry.count["ordersUnanswered"] += 1
        self.core.telemetry.log_event(
            event, worker=worker.name, code=fault.code, reason=fault.reason
        )

    async def _await_version(self, move):
        """Ask a worker that was ordered until it has the weights, or does nothing about them, or takes too long."""
        loop = asyncio.get_running_loop()
        end_s, tell_s = loop.time() + GIVE_UP_S, 0.0
        await asyncio.sleep(LOAD_LEAST_S)
        while loop.time() < end_s:
            report = await self.orders.report(move.worker.listed.addr)
            if not is_fault(report):
                if report.holds(move.model, move.version):
                    return self._done(move, report)
                if not report.is_busy:
                    return
            if loop.time() >= tell_s:
                tell_s = loop.time() + TELL_S
                self.tell_routers(move.worker, move.model, 0, BUSY_MS)
            await asyncio.sleep(ASK_S)

    def _done(self, move, report):
        """Take in that a worker has the weights, and tell all routers."""
        worker = move.worker
        if report.order_count is not None:
            self.order_counts[worker.name] = report.order_count
        self.moved_s[worker.name] = asyncio.get_running_loop().time()
        self.core.worker_registry.learn(worker, {move.model: move.version})
        self.core.telemetry.count["swapsDone"] += 1
        self.on_moved(move)
        self.tell_routers(worker, move.model, move.version, 0)
