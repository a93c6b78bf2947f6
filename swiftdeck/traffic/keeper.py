"""The keeper of a model: one process in which admission, placement and the retry budget are decided."""

import asyncio

from swiftdeck.duty.duty import Duty
from swiftdeck.fault import (
    BUDGET_SPENT,
    NO_LICENCE,
    NO_WORKER,
    NOT_KEEPER,
    OLD_VIEW,
    RECOVERING,
    isFault,
)
from swiftdeck.http.client import fetchJson
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
    """Held by one router at a time; it composes the books and what reads them, and hands messages to them."""

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
            router.chart,
            router.random,
            router.settings.dutyLicenceMs,
            router.board,
        )
        self.term = self.readyTerm = 0
        self.loading, self.adaptedS = set(), 0.0

    def start(self):
        """Stand for the duty, and keep the books while it is held."""
        self.loop, router = asyncio.get_running_loop(), self.router
        self.index = PrefixIndex(self.board, self.onWorkers)
        self.books = Books(self, self.board, router.decisions, self.settings.holdLicenceMs)
        self.placement = Placement(
            self, self.books, self.index, self.settings.virtualPlaces, self.settings.placesWeighed
        )
        self.fetches = FetchPlanner(self, self.index, router.workers, self.settings.store)
        self.lines = Lines(self, self.books, self.placement, router, self._grant)
        self.moves = Moves(self.books, self.placement, router)
        self.takeover = Takeover(self, self.books, router, self.duty)
        self.budget = Budget(self.settings.budgetShare, startS=self.loop.time())
        self.duty.start()
        router.workers.watchers.append(self.onWorkers)
        self.task = asyncio.ensure_future(self._keeping())

    def stop(self):
        """Keep no books any more, for the model is gone."""
        self.duty.wants = False
        self.task.cancel()
        self.duty.task.cancel()
        self.index.stop()
        self.router.workers.watchers.remove(self.onWorkers)

    def config(self):
        """The model's part of the configuration held, or None."""
        held = self.router.licence.held
        return held.document.models.get(self.model) if held else None

    def isReady(self) -> bool:
        """Whether the duty is held and the books are gathered."""
        return self.duty.isHeld() and self.readyTerm == self.term == self.duty.term

    def mine(self):
        """The listed workers of the model."""
        return self.router.workers.ofModel(self.model)

    async def _keeping(self):
        while True:
            if self.duty.isHeld():
                if self.duty.term != self.term:
                    await self._takeOver()
                elif self.readyTerm == self.term:
                    self._tick()
                await asyncio.sleep(0.1)
            else:
                if self.readyTerm:
                    self._resign()
                await asyncio.sleep(0.1)

    def _resign(self):
        self.lines.clear(NOT_KEEPER)
        for part in (self.books, self.placement, self.fetches, self.takeover):
            part.clear()
        self.readyTerm, self.loading, self.adaptedS = 0, set(), 0.0
        self.index.stop()

    async def _takeOver(self):
        self._resign()
        term = self.term = self.duty.term
        self.budget = Budget(self.settings.budgetShare, startS=self.loop.time())
        self.onWorkers()
        self.index.follow(self.mine())
        if await self.takeover.run(term):
            self.readyTerm = term
            self.board.count["takeovers"] += 1
            self.takeover.release()
            self.router.decisions.add(
                "keeper", model=self.model, term=term, open=len(self.books.conversations)
            )

    def onWorkers(self):
        """The workers or their reports have changed: place anew who waits, follow whom we have."""
        if not self.duty.isHeld() or self.duty.term != self.term:
            return
        workers = self.mine()
        serving = [worker.name for worker in workers if not worker.draining]
        self.placement.follow(serving)
        self.index.follow(workers)
        if self.readyTerm == self.term:
            self.lines.replace(serving)
            self.lines.pumpAll()
            self._loadWeights(workers)

    def _loadWeights(self, workers):
        config = self.config()
        for worker in workers:
            said = self.index.weights(worker.name)
            isDue = config and said and said != config.weights and not worker.draining
            if isDue and (worker.name, config.weights) not in self.loading:
                self.loading.add((worker.name, config.weights))
                asyncio.ensure_future(self._loadOne(worker, config.weights))

    async def _loadOne(self, worker, weights):
        got = await fetchJson(
            worker.addr, "POST", "/v1/weights", {"weights": weights}, timeoutMs=5000
        )
        self.board.count["weightsAsked"] += 1
        self.router.decisions.add(
            "weights", worker=worker.name, weights=weights, taken=not isFault(got)
        )
        await asyncio.sleep(0.5)
        self.loading.discard((worker.name, weights))

    def _tick(self):
        config = self.config()
        if config is None:
            return
        self.books.reclaim()
        for book in self.books.all():
            self.books.endIdle(book, config)
            self.lines.pump(book)
        self._loadWeights(self.mine())
        if self.loop.time() - self.adaptedS > ADAPT_S:
            self.adaptedS = self.loop.time()
            for book in self.books.all():
                book.adapt(config)
        self.books.drop({worker.name for worker in self.mine()})

    async def onGrantAsk(self, ask, sender):
        """Grant a leg now, after a wait in line, or not at all."""
        startS = self.loop.time()
        if not self.isReady() and not await self.takeover.gathered(
            startS - ask.waitedMs / 1000, ask.waitMs / 1000
        ):
            return RECOVERING if self.duty.isHeld() else NOT_KEEPER
        config = self.config()
        if config is None or ask.weights != config.weights or not self.router.licence.isHeld():
            self.router.licence.kick.set()
            return NO_LICENCE.because("keeper and router hold different configurations", 200)
        conversation = self.books.conversations.get(ask.conversation) or self.books.continued(ask)
        if conversation is not None:
            fault = self.moves.settle(conversation, ask)
            return self._grant(conversation, ask, sender, False) if fault is None else fault
        return await self.lines.wait(ask, sender, startS)

    def _grant(self, conversation, ask, sender, isStart):
        worker = self.router.workers.workers.get(conversation.worker)
        if worker is None or not self.isReady():
            return NO_WORKER if worker is None else NOT_KEEPER
        if ask.leg > 1 and not self.budget.draw(self.loop.time(), self._allowance()):
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
            isStart=isStart,
            fetchFrom=source,
            fetchMs=self.config().fetchMs if source else 0,
            earlier=earlier,
        )

    def _allowance(self):
        """This model's part of the site's allowance of extra legs."""
        models = sorted(self.router.licence.held.document.models)
        share, rest = divmod(self.settings.budgetExtra, len(models))
        return share + (models.index(self.model) < rest)

    def onLegEnd(self, end, sender):
        """A leg is over at its router."""
        conversation = self.books.conversations.get(end.conversation) if self.isReady() else None
        if conversation is None:
            return
        if end.slowFrom:
            self.fetches.slow(end.slowFrom, conversation.worker)
        self.lines.pump(self.books.legEnded(conversation, end))

    def onGrantDrop(self, drop, sender):
        """A caller went away while its agent waited."""
        self.lines.leave(drop.call)

    async def onHold(self, hold, sender):
        """A router says which legs it runs; what was lost between us is mended by it."""
        if not self.isReady():
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
            "held": self.duty.isHeld(),
            "term": self.duty.term,
            "ready": self.isReady(),
            "weights": config.weights if config else "",
            "lineMax": config.lineMax if config else 0,
            "books": self.books.status(self.index) if self.duty.isHeld() else {},
        }
