"""New weights cross the fleet: the chain's head orders workers onto them, a few at a time."""

import asyncio

from swiftdeck.control.core import Core
from swiftdeck.fault import is_fault
from swiftdeck.gateway.listing import Listing
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.wire.messages import SwapNews

TAKEN, HOLDS, OLD_FENCE = 202, 200, 412
RESTART_S, WAITED = 1.4, "waited"
STEER_MS, ASK_MS, GIVE_UP_S, LOOK_S = 80, 200, 4.0, 0.15


class SwapCore(Core):
    """A core that also gives workers their orders while it is the head of the view."""

    def __init__(self, settings, folder, random, log, lists, orders):
        super().__init__(settings, folder, random, log)
        self.worker_registry = WorkerRegistry()
        self.listing = Listing(
            self.me, self.mesh, self.membership, lists, self.worker_registry, self.board, 2000
        )
        self.swaps = Swaps(self, orders)

    async def start(self):
        """Come up as a core, then follow the list and the weights that are named."""
        fault = await super().start()
        if fault is None:
            self.listing.start()
            self.swaps.start()
        return fault

    def is_ready(self) -> bool:
        """Whether this core may answer."""
        return True


class Swaps:
    """One holder: the head of the agreed view, whose number is the fence of its orders and never belongs to another head.

    A view's number is on the disks of a majority before it is in force, so no fence is used twice; a new head first waits
    until no order of the one before can be on its way, and for as long as two holders must lie apart. A head that only started
    again counts this from its start: nobody else ordered under its view, and the head before it had lost its lease by then.

    Weights are ordered only once their naming is committed: what this core alone has taken in may be lost with it, and a
    worker can't be taken back to older weights.
    """

    def __init__(self, core, orders):
        self.core, self.orders = core, orders
        self.busy, self.held_in, self.since_s, self.tried_s, self.waited_in = {}, 0, None, {}, b""
        self.telling = {}

    def start(self):
        """Go on comparing what workers have with what is named."""
        self.loop = asyncio.get_running_loop()
        self.started_s, self.started_in = self.loop.time(), self.core.agreement.decided.number
        self.waited_in = self.core.folder.read(WAITED)
        self.task = asyncio.ensure_future(self._minding())

    def fence(self) -> int:
        """The number under which this core may order now, 0 while it may not."""
        agreement = self.core.agreement
        if agreement.position() != 0 or not agreement.mayServe() or not self.core.chain.is_whole():
            return 0
        number, now_s = agreement.decided.number, self.loop.time()
        if self.since_s is None or self.held_in not in (number, number - 1):
            self.since_s = self.started_s + RESTART_S if number == self.started_in else now_s
            if self.waited_in == self._waited(number):
                self.since_s = -1e9
        self.held_in = number
        return number if now_s - self.since_s >= self.core.settings.orderLeaseMs / 1000 else 0

    def _waited(self, number):
        return f"{self.core.agreement.coreId} {number}".encode()

    async def _note_waited(self, number):
        """Remember on disk that this view's pause is over, so that a restart under the same view needn't sit it out again."""
        try:
            await self.core.folder.replace(WAITED, self._waited(number))
        except OSError:
            self.core.board.count["waitsUnnoted"] += 1

    def _at_once(self, model):
        able = [
            each for each in self.core.worker_registry.workers.values() if model in each.weights
        ]
        return max(1, len(able) // 4)

    async def _minding(self):
        while True:
            await asyncio.sleep(LOOK_S)
            agreement = self.core.agreement
            if agreement.position() != 0 and self.since_s is not None:
                self.since_s = None
            fence = self.fence()
            if not fence:
                continue
            if self.waited_in != self._waited(fence):
                self.waited_in = self._waited(fence)
                self.noting = asyncio.ensure_future(self._note_waited(fence))
            config = await self.core.chain.known_committed()
            for model, entry in config.document.models.items():
                if entry.weights.isdecimal():
                    self._order_some(model, int(entry.weights))

    def _order_some(self, model, version):
        behind = [
            each
            for each in self.core.worker_registry.workers.values()
            if not each.listed.draining
            and 0 < each.knows(model) < version
            and each.name not in self.busy
        ]
        behind.sort(key=lambda each: self.tried_s.get(each.name, -1e9))
        self.tried_s = {
            name: at
            for name, at in self.tried_s.items()
            if name in self.core.worker_registry.workers
        }
        free = self._at_once(model) - sum(1 for each in self.busy.values() if each[0] == model)
        for worker in behind[: max(0, free)]:
            self.tried_s[worker.name] = self.loop.time()
            self.busy[worker.name] = (
                model,
                asyncio.ensure_future(self._swap(worker, model, version)),
            )

    def _tell(self, worker, model, version, for_ms):
        """Tell all routers of a worker, in one message with the others of which the same is told now."""
        if not self.telling:
            self.loop.call_soon(self._tell_gathered)
        self.telling.setdefault((model, version, for_ms), []).append(worker.name)

    def _tell_gathered(self):
        telling, self.telling = self.telling, {}
        routers = self.core.membership.addresses("router")
        for (model, version, for_ms), names in telling.items():
            news = SwapNews(workers=names, model=model, version=version, for_ms=for_ms)
            self.core.mesh.tell_all(routers, news)

    async def _swap(self, worker, model, version):
        count = self.core.board.count
        try:
            self._tell(worker, model, 0, 1500)
            await asyncio.sleep(STEER_MS / 1000)
            fence = self.fence()
            if not fence:
                return
            got = await self.orders.order(
                worker.listed.addr, model, version, self.core.me.name, fence
            )
            count["ordersSent"] += 1
            if is_fault(got):
                count["ordersUnanswered"] += 1
                return
            if got == OLD_FENCE:
                count["ordersFenced"] += 1
                return await asyncio.sleep(1.0)
            if got not in (TAKEN, HOLDS):
                count[f"ordersRefused.{got}"] += 1
                return
            await self._await_version(worker, model, version, got == HOLDS)
        finally:
            self.busy.pop(worker.name, None)

    async def _await_version(self, worker, model, version, holds):
        end_s = self.loop.time() + GIVE_UP_S
        await asyncio.sleep(0 if holds else 0.42)
        while not holds and self.loop.time() < end_s:
            got = await self.orders.versions(worker.listed.addr)
            if not is_fault(got):
                holds = got[0].get(model, 0) >= version and not got[1]
                if not holds and not got[1]:
                    return
            if not holds:
                self._tell(worker, model, 0, 600)
                await asyncio.sleep(ASK_MS / 1000)
        if holds:
            self.core.worker_registry.learn(worker, {model: version})
            self.core.board.count["swapsDone"] += 1
            self._tell(worker, model, version, 0)
