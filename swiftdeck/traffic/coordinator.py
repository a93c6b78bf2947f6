"""The admission coordinator of a model: decides admission, placement and the retry budget."""

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
from swiftdeck.traffic.budget import Budget
from swiftdeck.traffic.fetches import FetchPlanner
from swiftdeck.traffic.index import PrefixIndex
from swiftdeck.traffic.lines import Lines
from swiftdeck.traffic.moves import Moves
from swiftdeck.traffic.placement import Placement
from swiftdeck.traffic.slot_table import SlotTable
from swiftdeck.traffic.takeover import Takeover
from swiftdeck.wire.messages import CallRenewalReturn, GrantReturn

TICK_S = 0.1
ADAPT_S = 30.0
"""How often the caps follow what was measured."""
LOAD_WEIGHTS_MS = 5000
LOAD_AGAIN_S = 0.5
"""The pause before a worker that did not load its weights is asked once more."""


class AdmissionCoordinator:
    """Held by one router at a time; composes the books and hands messages to their readers.

    `term` is the term whose books are gathered or being gathered, 0 for none. `ready_term` equals
    it once all routers were asked: only then are starts granted.
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
        self.adapted_s = 0.0

    def start(self):
        """Stand for the duty, and keep the books while it is held."""
        self.loop, router, settings = asyncio.get_running_loop(), self.router, self.settings
        self.index = PrefixIndex(self.telemetry, self.on_workers)
        self.slot_table = SlotTable(self, self.telemetry, router.decisions, settings.holdLicenceMs)
        self.placement = Placement(
            self, self.slot_table, self.index, settings.virtualPlaces, settings.placesWeighed
        )
        self.fetches = FetchPlanner(self, self.index, router.workers, settings.store)
        self.lines = Lines(self, self.slot_table, self.placement, router, self._grant)
        self.moves = Moves(self.slot_table, self.placement, router)
        self.takeover = Takeover(self, self.slot_table, router, self.duty)
        self.budget = self._new_budget()
        self.duty.start()
        router.workers.watchers.append(self.on_workers)
        self.task = asyncio.ensure_future(self._coordinate())

    def _new_budget(self) -> Budget:
        return Budget(self.settings.budgetShare, start_s=self.loop.time())

    def stop(self):
        """Keep no books any more, for the model is gone."""
        self.duty.wants = False
        self.task.cancel()
        self.duty.task.cancel()
        self.index.stop()
        self.router.workers.watchers.remove(self.on_workers)

    def config(self):
        """Return the model's part of the configuration held, or None."""
        held = self.router.lease.held
        return held.document.models.get(self.model) if held else None

    def is_ready(self) -> bool:
        """Whether the duty is held and the books are gathered."""
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
        self.lines.clear(NOT_COORDINATOR)
        for part in (self.slot_table, self.placement, self.fetches, self.takeover):
            part.clear()
        self.ready_term, self.loading, self.adapted_s = 0, set(), 0.0
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
            self.takeover.release()
            self.router.decisions.add(
                "keeper", model=self.model, term=term, open=len(self.slot_table.conversations)
            )

    def on_workers(self):
        """Follow a change of the workers or their reports, and place anew who waits."""
        if not self.duty.is_held() or self.duty.term != self.term:
            return
        workers = self.listed_workers()
        serving = [worker.name for worker in workers if not worker.draining]
        self.placement.follow(serving)
        self.index.follow(workers)
        if self.ready_term == self.term:
            self.lines.replace(serving)
            self.lines.pump_all()
            self._load_weights(workers)

    def _load_weights(self, workers):
        """Ask each worker that reports other weights to load those of the configuration."""
        config = self.config()
        if config is None:
            return
        for worker in workers:
            is_due = self.placement.has_other_weights(worker.name, config.weights)
            load = (worker.name, config.weights)
            if is_due and not worker.draining and load not in self.loading:
                self.loading.add(load)
                asyncio.ensure_future(self._load_one(worker, config.weights))

    async def _load_one(self, worker, weights: str):
        answer = await fetch_json(
            worker.addr, "POST", "/v1/weights", {"weights": weights}, timeoutMs=LOAD_WEIGHTS_MS
        )
        self.telemetry.count["weightsAsked"] += 1
        self.router.decisions.add(
            "weights", worker=worker.name, weights=weights, taken=not is_fault(answer)
        )
        await asyncio.sleep(LOAD_AGAIN_S)
        self.loading.discard((worker.name, weights))

    def _tick(self):
        config = self.config()
        if config is None:
            return
        self.slot_table.reclaim()
        for book in self.slot_table.all():
            self.slot_table.end_idle(book, config)
            self.lines.pump(book)
        workers = self.listed_workers()
        self._load_weights(workers)
        if self.loop.time() - self.adapted_s > ADAPT_S:
            self.adapted_s = self.loop.time()
            for book in self.slot_table.all():
                book.adapt(config)
        self.slot_table.drop_unlisted({worker.name for worker in workers})

    async def on_grant_ask(self, ask, sender: str):
        """Answer a GrantAsk: a GrantReturn now or after a wait in line, or a fault.

        A coordinator that still gathers lets the question wait for it; one that holds another
        configuration than the router answers NO_LEASE, for one of the two is behind.
        """
        start_s = self.loop.time()
        if not self.is_ready() and not await self.takeover.gathered(
            start_s - ask.waited_ms / 1000, ask.wait_ms / 1000
        ):
            return COORDINATOR_RECOVERING if self.duty.is_held() else NOT_COORDINATOR
        config = self.config()
        if config is None or ask.weights != config.weights or not self.router.lease.is_held():
            self.router.lease.kick.set()
            return NO_LEASE.with_reason("keeper and router hold different configurations", 200)
        conversation = self.slot_table.conversations.get(
            ask.conversation
        ) or self.slot_table.continued(ask)
        if conversation is None:
            return await self.lines.wait(ask, sender, start_s)
        fault = self.moves.settle(conversation, ask)
        return self._grant(conversation, ask, sender, False) if fault is None else fault

    def _grant(self, conversation, ask, sender: str, is_start: bool):
        """Grant an attempt of an open conversation; returns a GrantReturn or a fault."""
        worker = self.router.workers.workers.get(conversation.worker)
        if worker is None or not self.is_ready():
            return NO_WORKER if worker is None else NOT_COORDINATOR
        if ask.attempt > 1 and not self.budget.draw(self.loop.time(), self._allowance()):
            self.telemetry.count["budgetRefusals"] += 1
            return RETRY_BUDGET_EXHAUSTED
        earlier_parts = conversation.parts if conversation.weights == ask.weights else 0
        if self.slot_table.attempt_granted(conversation, ask, sender):
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
        """Return the model's part of the site's allowance of extra attempts."""
        models = sorted(self.router.lease.held.document.models)
        share, rest = divmod(self.settings.budgetExtra, len(models))
        return share + (models.index(self.model) < rest)

    def on_attempt_end(self, end, sender: str):
        """Take in that an attempt is over at its router."""
        conversation = (
            self.slot_table.conversations.get(end.conversation) if self.is_ready() else None
        )
        if conversation is None:
            return
        if end.slow_from:
            self.fetches.avoid(end.slow_from, conversation.worker)
        self.lines.pump(self.slot_table.attempt_ended(conversation, end))

    def on_grant_drop(self, drop, sender: str):
        """Take a call out of its line, for its caller went away."""
        self.lines.leave(drop.call)

    async def on_hold(self, hold, sender: str):
        """Renew what a router holds, and reconcile the books with the attempts that it runs.

        The list may have been on its way for long. It is newer than this coordinator's answer to
        the one before, whose time it brings back: what was granted well before that and isn't in
        the list has ended. Returns a CallRenewalReturn with the calls that are unknown here even
        after the router was asked for its conversations, or a fault.
        """
        if not self.is_ready():
            return NOT_COORDINATOR
        if hold.term > self.term:
            return STALE_VIEW.with_reason("router knows a newer keeper")
        self.slot_table.renew_router(sender)
        settled_s = (hold.heard_ms - 2 * self.settings.grantMs) / 1000
        lost = self.slot_table.reconcile(sender, set(hold.calls), settled_s)
        if lost:
            await self.takeover.gather(sender, self.term)
        return CallRenewalReturn(lost=sorted(lost), stamp_ms=int(self.loop.time() * 1000))

    def status(self) -> dict:
        """Return the coordinator's state in its outward form."""
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
