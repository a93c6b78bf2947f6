"""The admission coordinator of a model: admits calls, places them and grants retries."""

import asyncio

from swiftdeck.duty.duty import Duty
from swiftdeck.fault import (
    COORDINATOR_RECOVERING,
    NO_LEASE,
    NO_WORKER,
    NOT_COORDINATOR,
    RETRY_BUDGET_EXHAUSTED,
    STALE_VIEW,
    is_fault,
)
from swiftdeck.http.client import fetch_json
from swiftdeck.traffic.admission_queues import AdmissionQueues
from swiftdeck.traffic.budget import Budget
from swiftdeck.traffic.conversation_mover import ConversationMover
from swiftdeck.traffic.fetches import FetchPlanner
from swiftdeck.traffic.index import PrefixIndex
from swiftdeck.traffic.placement import Placement
from swiftdeck.traffic.slot_table import SlotTable
from swiftdeck.traffic.takeover import Takeover
from swiftdeck.wire.messages import CallRenewalReturn, GrantReturn

TICK_S = 0.1
CAP_UPDATE_PERIOD_S = 30.0
"""How often the workers' caps are updated from the measured prefix survival."""
LOAD_WEIGHTS_TIMEOUT_MS = 5000
LOAD_RETRY_S = 0.5
"""Pause after a request to load weights before the worker may be asked again."""


class AdmissionCoordinator:
    """Coordinates the admission of one model while this router holds the duty for it.

    Each router has an instance for each model, but only one router holds the duty at a time. The
    coordinator owns the slot table, the queues, placement and the retry budget, and handles the
    routers' messages.

    `term` is the duty's term for which state has been or is being gathered from the routers, 0 for
    none. `ready_term` equals it once all routers were asked; no conversation is started before.
    """

    def __init__(self, model: str, router):
        self.model, self.router = model, router
        self.telemetry, self.settings = router.telemetry, router.settings
        self.duty = Duty(
            f"keeper/{model}",
            router.me,
            router.mesh,
            router.news,
            router.cluster_map,
            router.random,
            router.settings.dutyLicenceMs,
            router.telemetry,
        )
        self.term = self.ready_term = 0
        self.loading: set[tuple[str, str]] = set()
        self.caps_updated_s = 0.0

    def start(self):
        """Compete for the duty, and coordinate admission while it is held."""
        self.loop, router, settings = asyncio.get_running_loop(), self.router, self.settings
        self.index = PrefixIndex(self.telemetry, self.on_workers)
        self.slot_table = SlotTable(self, self.telemetry, router.decisions, settings.holdLicenceMs)
        self.placement = Placement(
            self, self.slot_table, self.index, settings.virtualPlaces, settings.placesWeighed
        )
        self.fetches = FetchPlanner(self, self.index, router.workers, settings.store)
        self.admission_queues = AdmissionQueues(
            self, self.slot_table, self.placement, router, self._grant
        )
        self.mover = ConversationMover(self.slot_table, self.placement, router)
        self.takeover = Takeover(self, self.slot_table, router, self.duty)
        self.budget = self._new_budget()
        self.duty.start()
        router.workers.watchers.append(self.on_workers)
        self.task = asyncio.ensure_future(self._coordinate())

    def _new_budget(self) -> Budget:
        return Budget(self.settings.budgetShare, start_s=self.loop.time())

    def stop(self):
        """Stop for good, because the model was removed from the configuration."""
        self.duty.wants = False
        self.task.cancel()
        self.duty.task.cancel()
        self.index.stop()
        self.router.workers.watchers.remove(self.on_workers)

    def config(self):
        """Return the model's entry in the configuration held, or None."""
        held = self.router.lease.held
        return held.document.models.get(self.model) if held else None

    def is_ready(self) -> bool:
        """Whether the duty is held and the state of all routers was gathered for its term."""
        return self.duty.is_held() and self.ready_term == self.term == self.duty.term

    def listed_workers(self) -> list:
        """Return the listed workers of the model."""
        return self.router.workers.of_model(self.model)

    async def _coordinate(self):
        while True:
            if self.duty.is_held():
                if self.duty.term != self.term:
                    await self._take_over()
                elif self.ready_term == self.term:
                    self._tick()
            elif self.ready_term:
                self._resign()
            await asyncio.sleep(TICK_S)

    def _resign(self):
        self.admission_queues.clear(NOT_COORDINATOR)
        for component in (self.slot_table, self.placement, self.fetches, self.takeover):
            component.clear()
        self.ready_term, self.loading, self.caps_updated_s = 0, set(), 0.0
        self.index.stop()

    async def _take_over(self):
        self._resign()
        term = self.term = self.duty.term
        self.budget = self._new_budget()
        self.on_workers()
        self.index.follow(self.listed_workers())
        if await self.takeover.run(term):
            self.ready_term = term
            self.telemetry.count["takeovers"] += 1
            self.takeover.release_pending()
            self.router.decisions.add(
                "keeper", model=self.model, term=term, open=len(self.slot_table.conversations)
            )

    def on_workers(self):
        """Apply a change of the worker list or of a worker's reports, and reassign queued calls."""
        if not self.duty.is_held() or self.duty.term != self.term:
            return
        workers = self.listed_workers()
        serving = [worker.name for worker in workers if not worker.draining]
        self.placement.follow(serving)
        self.index.follow(workers)
        if self.ready_term == self.term:
            self.admission_queues.reassign(serving)
            self.admission_queues.start_all_queued()
            self._load_weights(workers)

    def _load_weights(self, workers):
        """Ask each worker that reports other weights to load those of the configuration."""
        config = self.config()
        if config is None:
            return
        for worker in workers:
            has_wrong_weights = self.placement.has_other_weights(worker.name, config.weights)
            load = (worker.name, config.weights)
            if has_wrong_weights and not worker.draining and load not in self.loading:
                self.loading.add(load)
                asyncio.ensure_future(self._load_one(worker, config.weights))

    async def _load_one(self, worker, weights: str):
        response = await fetch_json(
            worker.addr,
            "POST",
            "/v1/weights",
            {"weights": weights},
            timeoutMs=LOAD_WEIGHTS_TIMEOUT_MS,
        )
        self.telemetry.count["weightsAsked"] += 1
        self.router.decisions.add(
            "weights", worker=worker.name, weights=weights, taken=not is_fault(response)
        )
        await asyncio.sleep(LOAD_RETRY_S)
        self.loading.discard((worker.name, weights))

    def _tick(self):
        config = self.config()
        if config is None:
            return
        self.slot_table.reclaim()
        for slots in self.slot_table.all_slots():
            self.slot_table.close_idle(slots, config)
            self.admission_queues.start_queued(slots)
        workers = self.listed_workers()
        self._load_weights(workers)
        if self.loop.time() - self.caps_updated_s > CAP_UPDATE_PERIOD_S:
            self.caps_updated_s = self.loop.time()
            for slots in self.slot_table.all_slots():
                slots.update_cap(config)
        self.slot_table.drop_unlisted({worker.name for worker in workers})

    async def on_grant_ask(self, ask, sender: str):
        """Answer a GrantAsk with a GrantReturn, at once or after a wait in a queue, or a fault.

        While state is still being gathered, the ask waits for the end of that. If the router
        holds another configuration than this process, one of the two is behind: the answer is
        NO_LEASE, and this process renews its lease at once.
        """
        start_s = self.loop.time()
        if not self.is_ready() and not await self.takeover.wait_until_ready(
            start_s - ask.waited_ms / 1000, ask.wait_ms / 1000
        ):
            return COORDINATOR_RECOVERING if self.duty.is_held() else NOT_COORDINATOR
        config = self.config()
        if config is None or ask.weights != config.weights or not self.router.lease.is_held():
            self.router.lease.kick.set()
            return NO_LEASE.with_reason("keeper and router hold different configurations", 200)
        conversation = self.slot_table.conversations.get(
            ask.conversation
        ) or self.slot_table.find_conversation(ask)
        if conversation is None:
            return await self.admission_queues.wait(ask, sender, start_s)
        fault = self.mover.move_if_needed(conversation, ask)
        return self._grant(conversation, ask, sender, False) if fault is None else fault

    def _grant(self, conversation, ask, sender: str, is_start: bool):
        """Grant an attempt of an open conversation; return a GrantReturn or a fault."""
        worker = self.router.workers.workers.get(conversation.worker)
        if worker is None or not self.is_ready():
            return NO_WORKER if worker is None else NOT_COORDINATOR
        if ask.attempt > 1 and not self.budget.draw(self.loop.time(), self._allowance()):
            self.telemetry.count["budgetRefusals"] += 1
            return RETRY_BUDGET_EXHAUSTED
        earlier_parts = conversation.parts if conversation.weights == ask.weights else 0
        if self.slot_table.record_grant(conversation, ask, sender):
            self.budget.call(self.loop.time())
        self.telemetry.count["grants"] += 1
        source = self.fetches.source(conversation.worker, ask)
        return GrantReturn(
            term=self.term,
            worker=worker.name,
            url=worker.addr,
            conversation=conversation.name,
            is_start=is_start,
            fetch_from=source,
            fetch_ms=self.config().fetchMs if source else 0,
            earlier=earlier_parts,
        )

    def _allowance(self) -> int:
        """Return the model's share of the site's allowance of extra attempts.

        The shares of all models add up to the allowance.
        """
        models = sorted(self.router.lease.held.document.models)
        share, remainder = divmod(self.settings.budgetExtra, len(models))
        return share + (models.index(self.model) < remainder)

    def on_attempt_end(self, end, sender: str):
        """Handle the AttemptEnd of a router."""
        conversation = (
            self.slot_table.conversations.get(end.conversation) if self.is_ready() else None
        )
        if conversation is None:
            return
        if end.slow_from:
            self.fetches.avoid(end.slow_from, conversation.worker)
        self.admission_queues.start_queued(self.slot_table.record_attempt_end(conversation, end))

    def on_grant_drop(self, drop, sender: str):
        """Remove a call from its queue, because its client went away."""
        self.admission_queues.remove_call(drop.call)

    async def on_call_renewal(self, renewal, sender: str):
        """Renew the slots of a router, and reconcile the slot table with the calls that it runs.

        The message may have been delayed, but its list is newer than this coordinator's answer to
        the router's previous renewal, whose timestamp it carries. A call that was granted two
        grant lifetimes or more before that timestamp and isn't in the list has ended.

        Returns a CallRenewalReturn with the calls that are unknown here even after the router was
        asked for its conversations, or a fault.
        """
        if not self.is_ready():
            return NOT_COORDINATOR
        if renewal.term > self.term:
            return STALE_VIEW.with_reason("router knows a newer keeper")
        self.slot_table.renew_router(sender)
        settled_before_s = (renewal.heard_ms - 2 * self.settings.grantMs) / 1000
        lost = self.slot_table.reconcile(sender, set(renewal.calls), settled_before_s)
        if lost:
            await self.takeover.gather(sender, self.term)
        return CallRenewalReturn(lost=sorted(lost), stamp_ms=int(self.loop.time() * 1000))

    def status(self) -> dict:
        """Return the coordinator's state as reported by the router's status."""
        config = self.config()
        return {
            "model": self.model,
            "held": self.duty.is_held(),
            "term": self.duty.term,
            "ready": self.is_ready(),
            "weights": config.weights if config else "",
            "lineMax": config.lineMax if config else 0,
            "books": self.slot_table.status(self.index) if self.duty.is_held() else {},
        }
