"""New weights cross the fleet: the chain's head orders workers onto them, a few at a time."""

import asyncio
import contextlib
import math

import attrs

from swiftdeck.chain.weight_ages import WeightAges
from swiftdeck.control.core import Core
from swiftdeck.gateway.listing import Listing
from swiftdeck.gateway.old_weights import OldWeights
from swiftdeck.gateway.swap_pace import Candidate, SwapPace
from swiftdeck.gateway.worker_moves import Move, WorkerMoves
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.wire.messages import SwapNews

RESTART_S, WAITED = 1.4, "waited"
LOOK_S = 0.15
SLOT_S = 3.0
"""How long a worker that is being ordered holds back the next one; after that it is slow, or silent."""


@attrs.define
class Swap:
    """A worker that is being moved to newer weights, and until when routers could have used it."""

    model: str
    begun_s: float
    until_s: float
    task: asyncio.Task | None = None


class SwapCore(Core):
    """A core that also gives workers their orders while it is the head of the view."""

    def __init__(self, settings, folder, random, log, lists, orders):
        super().__init__(settings, folder, random, log)
        self.worker_registry = WorkerRegistry()
        self.listing = Listing(
            self.me, self.mesh, self.membership, lists, self.worker_registry, self.telemetry, 2000
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

    A core that was the head shortly before with its pause over, and is it again, goes on: whoever was the head meanwhile has not
    sat its own pause out, and gave no order. So views that change often don't keep everybody from ordering.

    As many workers are ordered at a time as have to be while routers may still use the others. Once that time is over the rest
    get nothing to do until they have been ordered, so all are.

    Weights are ordered only once their naming is committed: what this core alone has taken in may be lost with it, and a
    worker can't be taken back to older weights.
    """

    def __init__(self, core, orders):
        self.core = core
        self.busy: dict[str, Swap] = {}
        self.since_s, self.headed_in, self.headed_s = None, 0, -math.inf
        self.tried_s, self.waited_in = {}, b""
        self.moves = WorkerMoves(core, orders, self.fence, self._tell, self._on_moved)
        self.telling, self.seen_view, self.pace = {}, 0, SwapPace()
        self.old_weights = OldWeights(
            WeightAges(), core.settings.oldWeightsMs / 1000, core.settings.weightsBoundMs / 1000
        )

    def start(self):
        """Go on comparing what workers have with what is named."""
        self.loop = asyncio.get_running_loop()
        self.kick = asyncio.Event()
        self.started_s, self.started_in = self.loop.time(), self.core.agreement.decided.number
        self.waited_in = self.core.folder.read(WAITED)
        self.task = asyncio.ensure_future(self._minding())

    def fence(self) -> int:
        """The number under which this core may order now, 0 while it may not."""
        agreement = self.core.agreement
        if agreement.position() != 0 or not agreement.may_serve() or not self.core.chain.is_whole():
            return 0
        number, now_s = agreement.decided.number, self.loop.time()
        pause_s = self.core.settings.orderLeaseMs / 1000
        if self.since_s is None or not self._stays_head(number, pause_s):
            self.since_s = self.started_s + RESTART_S if number == self.started_in else now_s
            if self.waited_in == self._waited(number):
                self.since_s = -math.inf
        self.headed_in, self.headed_s = number, now_s
        return number if now_s - self.since_s >= pause_s else 0

    def _stays_head(self, number, pause_s):
        """Whether no other core can have ordered since this one was last the head.

        After views of others that holds only if the pause was over by then: one that still runs would end on time in which
        another core, whose own pause began earlier, was the head.
        """
        if self.headed_in in (number, number - 1):
            return True
        was_short = self.loop.time() - self.headed_s < pause_s - RESTART_S
        return was_short and self.headed_s - self.since_s >= pause_s

    def _waited(self, number):
        return f"{self.core.agreement.core_id} {number}".encode()

    async def _note_waited(self, number):
        """Remember on disk that this view's pause is over, so that a restart under the same view needn't sit it out again."""
        try:
            await self.core.folder.replace(WAITED, self._waited(number))
        except OSError:
            self.core.telemetry.count["waitsUnnoted"] += 1

    async def _minding(self):
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.kick.wait(), LOOK_S)
            self.kick.clear()
            self._note_ages()
            fence = self.fence()
            if not fence:
                continue
            self.moves.follow(fence, self.core.worker_registry.workers)
            if self.waited_in != self._waited(fence):
                self.waited_in = self._waited(fence)
                self.noting = asyncio.ensure_future(self._note_waited(fence))
            config = await self.core.chain.known_committed()
            for model, entry in config.document.models.items():
                if entry.weights.isdecimal():
                    self._order_some(model, int(entry.weights))

    def _note_ages(self):
        """Follow what routers go by: when weights were named, and when the cores were last in trouble."""
        now_s, view = self.loop.time(), self.core.agreement.decided.number
        if view != self.seen_view:
            self.seen_view, self.old_weights.suspected_s = view, now_s
        self.old_weights.follow_core(self.core.core_watch.changed_s, now_s)
        self.old_weights.ages.note(self.core.chain.state.config.document.models, now_s)

    def _order_some(self, model, version):
        workers = self.core.worker_registry.workers
        self.tried_s = {name: at for name, at in self.tried_s.items() if name in workers}
        able = [each for each in workers.values() if model in each.weights]
        behind = [
            self._candidate(each, model)
            for each in able
            if self.moves.version(each, model) < version
            and not each.listed.draining
            and each.name not in self.busy
        ]
        now_s = self.loop.time()
        taken = sum(
            swap.model == model and now_s < swap.until_s and now_s < swap.begun_s + SLOT_S
            for swap in self.busy.values()
        )
        for worker in self.pace.chosen(behind, len(able), taken, now_s):
            self._begin(worker, model, version)

    def _candidate(self, worker, model):
        until_s = self.old_weights.sent_until_s(model, worker.knows(model))
        return Candidate(worker, until_s, self.tried_s.get(worker.name, -math.inf))

    def _begin(self, worker, model, version):
        now_s = self.loop.time()
        until_s = self.old_weights.sent_until_s(model, worker.knows(model))
        swap = self.busy[worker.name] = Swap(model, now_s, until_s)
        self.tried_s[worker.name] = now_s
        swap.task = asyncio.ensure_future(self._swap(Move(worker, model, version)))

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
            self.core.mesh.send_all(routers, news)

    async def _swap(self, move):
        try:
            await self.moves.make(move)
        finally:
            self.busy.pop(move.worker.name, None)

    def _on_moved(self, move):
        """Go on with the next workers, at the pace that this one took."""
        swap, now_s = self.busy[move.worker.name], self.loop.time()
        self.pace.note(now_s - swap.begun_s)
        self.core.telemetry.log_event(
            "worker moved",
            worker=move.worker.name,
            model=move.model,
            version=move.version,
            tookMs=int((now_s - swap.begun_s) * 1000),
            spareMs=int(min(3600.0, swap.until_s - now_s) * 1000),
            atOnce=len(self.busy),
        )
        self.kick.set()
