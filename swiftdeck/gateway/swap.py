"""Rolls out new weights: the head of the chain orders workers to load them, a few at a time."""

import asyncio
import contextlib
import math

import attrs

from swiftdeck.chain.weight_ages import WeightAges
from swiftdeck.control.core import Core
from swiftdeck.gateway.listing import Listing
from swiftdeck.gateway.old_weights import OldWeights
from swiftdeck.gateway.swap_pace import Candidate, SwapPace
from swiftdeck.gateway.worker_moves import SwapTarget, WorkerSwapper
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.wire.messages import SwapNews

RESTART_MARGIN_S, PAUSE_FILE = 1.4, "waited"
"""Time from the start of a core that restarts as the head of its view until its pause begins to
count, and the file that records on disk in which view the pause was completed.
"""
CHECK_INTERVAL_S = 0.15
"""How often the weights of the workers are compared with the configuration."""
SWAP_SLOT_S = 3.0
"""How long a worker that is being swapped counts against the concurrency limit; a slow or silent
one stops counting after that.
"""


@attrs.define
class ActiveSwap:
    """A worker that is loading newer weights.

    `until_s` is the time until which routers could have used its old ones.
    """

    model: str
    begun_s: float
    until_s: float
    task: asyncio.Task | None = None


class SwapCore(Core):
    """A core that also orders workers to load weights while it is the head of the view."""

    def __init__(self, settings, folder, random, log, lists, orders):
        super().__init__(settings, folder, random, log)
        self.worker_registry = WorkerRegistry()
        self.listing = Listing(
            self.me, self.mesh, self.membership, lists, self.worker_registry, self.telemetry, 2000
        )
        self.swap_scheduler = SwapScheduler(self, orders)

    async def start(self):
        """Start the core, then follow the platform's list and the weights in the configuration."""
        fault = await super().start()
        if fault is None:
            self.listing.start()
            self.swap_scheduler.start()
        return fault

    def is_ready(self) -> bool:
        """Return whether this core may answer."""
        return True


class SwapScheduler:
    """Schedules the swaps of workers to newer weights; one core at a time gives orders.

    That core is the head of the agreed view. The number of the view is the fence of its orders and
    never belongs to another head: a majority has it on disk before the view is in force, so no
    fence is used twice.

    A new head first pauses until no order of its predecessor can still be in flight, and for the
    required gap between two order givers. A head that merely restarted counts the pause from its
    start: nobody else gave orders under its view, and the lease of the previous head had expired by
    then.

    A core that was the head shortly before with its pause completed, and becomes the head again,
    continues at once: a core that was the head in between had not completed its own pause and gave
    no order. Otherwise frequent view changes would keep all cores from ordering.

    While routers may still use workers with the old weights, only as many are swapped at a time as
    necessary. Once that time is over, the remaining workers are idle until they are swapped, so all
    are ordered.

    Weights are ordered only once the change of the configuration that names them is committed: a
    change that only this core has could be lost with it, and a worker can't be taken back to older
    weights.
    """

    def __init__(self, core, orders):
        self.core = core
        self.active_swaps: dict[str, ActiveSwap] = {}
        self.head_since_s, self.last_head_view, self.last_head_s = None, 0, -math.inf
        self.ordered_s, self.pause_record = {}, b""
        self.swapper = WorkerSwapper(core, orders, self.fence, self._queue_notice, self._on_swapped)
        self.pending_notices, self.last_view, self.pace = {}, 0, SwapPace()
        self.old_weights = OldWeights(
            WeightAges(), core.settings.oldWeightsMs / 1000, core.settings.weightsBoundMs / 1000
        )

    def start(self):
        """Start comparing the weights of the workers with the configuration."""
        self.loop = asyncio.get_running_loop()
        self.wake_event = asyncio.Event()
        self.started_s, self.start_view = self.loop.time(), self.core.agreement.decided.number
        self.pause_record = self.core.folder.read(PAUSE_FILE)
        self.task = asyncio.ensure_future(self._run())

    def fence(self) -> int:
        """Return the fence under which this core may give orders now, or 0 while it may not."""
        agreement = self.core.agreement
        if agreement.position() != 0 or not agreement.may_serve() or not self.core.chain.is_whole():
            return 0
        number, now_s = agreement.decided.number, self.loop.time()
        pause_s = self.core.settings.orderLeaseMs / 1000
        if self.head_since_s is None or not self._stays_head(number, pause_s):
            self.head_since_s = (
                self.started_s + RESTART_MARGIN_S if number == self.start_view else now_s
            )
            if self.pause_record == self._pause_record_of(number):
                self.head_since_s = -math.inf
        self.last_head_view, self.last_head_s = number, now_s
        return number if now_s - self.head_since_s >= pause_s else 0

    def _stays_head(self, number, pause_s):
        """Return whether no other core can have given orders since this one was last the head.

        After views with another head this holds only if the pause of this core was over by then: a
        pause that was still running would end on time during which another core, whose own pause
        began earlier, was the head.
        """
        if self.last_head_view in (number, number - 1):
            return True
        was_short = self.loop.time() - self.last_head_s < pause_s - RESTART_MARGIN_S
        return was_short and self.last_head_s - self.head_since_s >= pause_s

    def _pause_record_of(self, number):
        """Return what is stored on disk once the pause of a view is over."""
        return f"{self.core.agreement.core_id} {number}".encode()

    async def _save_pause_record(self, number):
        """Record on disk that the pause of this view is over.

        A restart in the same view then needn't repeat it.
        """
        try:
            await self.core.folder.replace(PAUSE_FILE, self._pause_record_of(number))
        except OSError:
            self.core.telemetry.count["waitsUnnoted"] += 1

    async def _run(self):
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake_event.wait(), CHECK_INTERVAL_S)
            self.wake_event.clear()
            self._update_weight_ages()
            fence = self.fence()
            if not fence:
                continue
            self.swapper.drop_stale(fence, self.core.worker_registry.workers)
            if self.pause_record != self._pause_record_of(fence):
                self.pause_record = self._pause_record_of(fence)
                self.save_task = asyncio.ensure_future(self._save_pause_record(fence))
            config = await self.core.chain.known_committed()
            for model, entry in config.document.models.items():
                if entry.weights.isdecimal():
                    self._order_next_workers(model, int(entry.weights))

    def _update_weight_ages(self):
        """Update the inputs of the routers' rule for old weights.

        These are when weights were named and when the core last had trouble.
        """
        now_s, view = self.loop.time(), self.core.agreement.decided.number
        if view != self.last_view:
            self.last_view, self.old_weights.suspected_s = view, now_s
        self.old_weights.follow_core(self.core.core_watch.changed_s, now_s)
        self.old_weights.ages.note(self.core.chain.state.config.document.models, now_s)

    def _order_next_workers(self, model, version):
        workers = self.core.worker_registry.workers
        self.ordered_s = {name: at_s for name, at_s in self.ordered_s.items() if name in workers}
        capable = [worker for worker in workers.values() if model in worker.weights]
        outdated = [
            self._candidate(worker, model)
            for worker in capable
            if self.swapper.current_version(worker, model) < version
            and not worker.listed.draining
            and worker.name not in self.active_swaps
        ]
        now_s = self.loop.time()
        active_count = sum(
            swap.model == model and now_s < swap.until_s and now_s < swap.begun_s + SWAP_SLOT_S
            for swap in self.active_swaps.values()
        )
        for worker in self.pace.choose(outdated, len(capable), active_count, now_s):
            self._start_swap(worker, model, version)

    def _candidate(self, worker, model):
        until_s = self.old_weights.sent_until_s(model, worker.knows(model))
        return Candidate(worker, until_s, self.ordered_s.get(worker.name, -math.inf))

    def _start_swap(self, worker, model, version):
        now_s = self.loop.time()
        until_s = self.old_weights.sent_until_s(model, worker.knows(model))
        swap = self.active_swaps[worker.name] = ActiveSwap(model, now_s, until_s)
        self.ordered_s[worker.name] = now_s
        swap.task = asyncio.ensure_future(self._run_swap(SwapTarget(worker, model, version)))

    def _queue_notice(self, worker, model, version, for_ms):
        """Queue a notice about a worker for all routers.

        Workers with the same notice share one message.
        """
        if not self.pending_notices:
            self.loop.call_soon(self._send_notices)
        self.pending_notices.setdefault((model, version, for_ms), []).append(worker.name)

    def _send_notices(self):
        pending_notices, self.pending_notices = self.pending_notices, {}
        routers = self.core.membership.addresses("router")
        for (model, version, for_ms), names in pending_notices.items():
            news = SwapNews(workers=names, model=model, version=version, for_ms=for_ms)
            self.core.mesh.send_all(routers, news)

    async def _run_swap(self, target):
        try:
            await self.swapper.run(target)
        finally:
            self.active_swaps.pop(target.worker.name, None)

    def _on_swapped(self, target):
        """Record how long a swap took and start the next ones at that pace."""
        swap, now_s = self.active_swaps[target.worker.name], self.loop.time()
        self.pace.add_duration(now_s - swap.begun_s)
        self.core.telemetry.log_event(
            "worker moved",
            worker=target.worker.name,
            model=target.model,
            version=target.version,
            tookMs=int((now_s - swap.begun_s) * 1000),
            spareMs=int(min(3600.0, swap.until_s - now_s) * 1000),
            atOnce=len(self.active_swaps),
        )
        self.wake_event.set()
