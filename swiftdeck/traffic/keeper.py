"""The admission coordinator of a model: decides admission, placement and the retry budget."""

import asyncio

from swiftdeck.duty.duty import Duty
from swiftdeck.fault import (
    BUDGET_SPENT,
    NO_LEASE,
    NO_WORKER,
    NOT_KEEPER,
    OLD_VIEW,
    RECOVERING,
    is_fault,
)
from swiftdeck.http.client import fetch_json
from swiftdeck.traffic.books import Books
from swiftdeck.traffic.budget import Budget
from swiftdeck.traffic.fetches import FetchPlanner
from swiftdeck.traffic.index import PrefixIndex
from swiftdeck.traffic.lines import Lines
from swiftdeck.traffic.moves import Moves
from swiftdeck.traffic.placement import Placement
from swiftdeck.traffic.takeover import Takeover
from swiftdeck.wire.messages import GrantReturn, HoldReturn

ADAPT_S = 30.0


class Keeper:
    """Held by one router at a time; composes the books and hands messages to their readers."""

    def __init__(self, model, router):
        self.model, self.router, self.board, self.settings = (
            model,
            router,
            router.board,
            router.settings,
        )
        self.duty = Duty(
            f"keeper/{model}",
            router.me,
            router.mesh,
            router.news,
            router.cluster_map,
            router.random,
            router.settings.dutyLicenceMs,
            router.board,
        )
        self.term = self.ready_term = 0
        self.loading, self.adapted_s = set(), 0.0

    def start(self):
        """Stand for the duty, and keep the books while it is held."""
        self.loop, router = asyncio.get_running_loop(), self.router
        self.index = PrefixIndex(self.board, self.on_workers)
        self.books = Books(self, self.board, router.decisions, self.settings.holdLicenceMs)
        self.placement = Placement(
            self, self.books, self.index, self.settings.virtualPlaces, self.settings.placesWeighed
        )
        self.fetches = FetchPlanner(self, self.index, router.workers, self.settings.store)
        self.lines = Lines(self, self.books, self.placement, router, self._grant)
        self.moves = Moves(self.books, self.placement, router)
        self.takeover = Takeover(self, self.books, router, self.duty)
        self.budget = Budget(self.settings.budgetShare, start_s=self.loop.time())
        self.duty.start()
        router.workers.watchers.append(self.on_workers)
        self.task = asyncio.ensure_future(self._keeping())

    def stop(self):
        """Keep no books any more, for the model is gone."""
        self.duty.wants = False
        self.task.cancel()
        self.duty.task.cancel()
        self.index.stop()
        self.router.workers.watchers.remove(self.on_workers)

    def config(self):
        """The model's part of the configuration held, or None."""
        held = self.router.lease.held
        return held.document.models.get(self.model) if held else None

    def is_ready(self) -> bool:
        """Whether the duty is held and the books are gathered."""
        return self.duty.is_held() and self.ready_term == self.term == self.duty.term

    def mine(self):
        """The listed workers of the model."""
        return self.router.workers.of_model(self.model)

    async def _keeping(self):
        while True:
            if self.duty.is_held():
                if self.duty.term != self.term:
                    await self._take_over()
                elif self.ready_term == self.term:
                    self._tick()
                await asyncio.sleep(0.1)
            else:
                if self.ready_term:
                    self._resign()
                await asyncio.sleep(0.1)

    def _resign(self):
        self.lines.clear(NOT_KEEPER)
        for part in (self.books, self.placement, self.fetches, self.takeover):
            part.clear()
        self.ready_term, self.loading, self.adapted_s = 0, set(), 0.0
        self.index.stop()

    async def _take_over(self):
        self._resign()
        term = self.term = self.duty.term
        self.budget = Budget(self.settings.budgetShare, start_s=self.loop.time())
        self.on_workers()
        self.index.follow(self.mine())
        if await self.takeover.run(term):
            self.ready_term = term
            self.board.count["takeovers"] += 1
            self.takeover.release()
            self.router.decisions.add(
                "keeper", model=self.model, term=term, open=len(self.books.conversations)
            )

    def on_workers(self):
        """The workers or their reports have changed: place anew who waits, follow whom we have."""
        if not self.duty.is_held() or self.duty.term != self.term:
            return
        workers = self.mine()
        serving = [worker.name for worker in workers if not worker.draining]
        self.placement.follow(serving)
        self.index.follow(workers)
        if self.ready_term == self.term:
            self.lines.replace(serving)
            self.lines.pump_all()
            self._load_weights(workers)

    def _load_weights(self, workers):
        config = self.config()
        for worker in workers:
            said = self.index.weights(worker.name)
            is_due = config and said and said != config.weights and not worker.draining
            if is_due and (worker.name, config.weights) not in self.loading:
                self.loading.add((worker.name, config.weights))
                asyncio.ensure_future(self._load_one(worker, config.weights))

    async def _load_one(self, worker, weights):
        got = await fetch_json(
            worker.addr, "POST", "/v1/weights", {"weights": weights}, timeoutMs=5000
        )
        self.board.count["weightsAsked"] += 1
        self.router.decisions.add(
            "weights", worker=worker.name, weights=weights, taken=not is_fault(got)
        )
        await asyncio.sleep(0.5)
        self.loading.discard((worker.name, weights))

    def _tick(self):
        config = self.config()
        if config is None:
            return
        self.books.reclaim()
        for book in self.books.all():
            self.books.end_idle(book, config)
            self.lines.pump(book)
        self._load_weights(self.mine())
        if self.loop.time() - self.adapted_s > ADAPT_S:
            self.adapted_s = self.loop.time()
            for book in self.books.all():
                book.adapt(config)
        self.books.drop({worker.name for worker in self.mine()})

    async def on_grant_ask(self, ask, sender):
        """Grant a attempt now, after a wait in line, or not at all."""
        start_s = self.loop.time()
        if not self.is_ready() and not await self.takeover.gathered(
            start_s - ask.waitedMs / 1000, ask.waitMs / 1000
        ):
            return RECOVERING if self.duty.is_held() else NOT_KEEPER
        config = self.config()
        if config is None or ask.weights != config.weights or not self.router.lease.is_held():
            self.router.lease.kick.set()
            return NO_LEASE.because("keeper and router hold different configurations", 200)
        conversation = self.books.conversations.get(ask.conversation) or self.books.continued(ask)
        if conversation is not None:
            fault = self.moves.settle(conversation, ask)
            return self._grant(conversation, ask, sender, False) if fault is None else fault
        return await self.lines.wait(ask, sender, start_s)

    def _grant(self, conversation, ask, sender, is_start):
        worker = self.router.workers.workers.get(conversation.worker)
        if worker is None or not self.is_ready():
            return NO_WORKER if worker is None else NOT_KEEPER
        if ask.attempt > 1 and not self.budget.draw(self.loop.time(), self._allowance()):
            self.board.count["budgetRefusals"] += 1
            return BUDGET_SPENT
        earlier = conversation.parts if conversation.weights == ask.weights else 0
        if self.books.run(conversation, ask, sender):
            self.budget.call(self.loop.time())
        self.board.count["grants"] += 1
        source = self.fetches.source(conversation.worker, ask)
        return GrantReturn(
            term=self.term,
            worker=worker.name,
            url=worker.addr,
            conversation=conversation.name,
            is_start=is_start,
            fetch_from=source,
            fetchMs=self.config().fetchMs if source else 0,
            earlier=earlier,
        )

    def _allowance(self):
        """This model's part of the site's allowance of extra attempts."""
        models = sorted(self.router.lease.held.document.models)
        share, rest = divmod(self.settings.budgetExtra, len(models))
        return share + (models.index(self.model) < rest)

    def on_attempt_end(self, end, sender):
        """A attempt is over at its router."""
        conversation = self.books.conversations.get(end.conversation) if self.is_ready() else None
        if conversation is None:
            return
        if end.slow_from:
            self.fetches.slow(end.slow_from, conversation.worker)
        self.lines.pump(self.books.attempt_ended(conversation, end))

    def on_grant_drop(self, drop, sender):
        """A caller went away while its agent waited."""
        self.lines.leave(drop.call)

    async def on_hold(self, hold, sender):
        """A router says which attempts it runs; what was lost between us is mended by it."""
        if not self.is_ready():
            return NOT_KEEPER
        if hold.term > self.term:
            return OLD_VIEW.because("router knows a newer keeper")
        self.books.seen(sender)
        lost = self.books.mend(
            sender, set(hold.calls), self.loop.time() - 2 * self.settings.grantMs / 1000
        )
        if lost:
            await self.takeover.gather(sender, self.term)
        return HoldReturn(lost=sorted(lost))

    def status(self):
        """The books in their outward form."""
        config = self.config()
        return {
            "model": self.model,
            "held": self.duty.is_held(),
            "term": self.duty.term,
            "ready": self.is_ready(),
            "weights": config.weights if config else "",
            "lineMax": config.lineMax if config else 0,
            "books": self.books.status(self.index) if self.duty.is_held() else {},
        }
