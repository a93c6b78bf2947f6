"""The keeper of a model: admission books, waiting lines, placement and the retry budget in one place."""
import asyncio

from swiftdeck.duty.duty import Duty
from swiftdeck.fault import (BUDGET_SPENT, LINE_FULL, NOT_KEEPER, NO_LICENCE, NO_WORKER, OLD_VIEW, RECOVERING,
                             WAITED_OUT, isFault)
from swiftdeck.http.client import fetchJson
from swiftdeck.traffic.book import Book, Conversation
from swiftdeck.traffic.budget import Budget
from swiftdeck.traffic.index import PrefixIndex
from swiftdeck.traffic.line import Waiting
from swiftdeck.traffic.ring import Ring
from swiftdeck.wire.messages import GrantReturn, HoldReturn, OpenAsk


WAIT_FORGOTTEN_S = 2.0
GRACE_S = 1.5
ADAPT_S = 30.0


class Keeper:
    """Held by one router at a time; whoever wins the duty first gathers the open conversations."""

    def __init__(self, model, router):
        self.model, self.router, self.board = model, router, router.board
        self.settings, self.membership, self.mesh = router.settings, router.membership, router.mesh
        self.duty = Duty(f"keeper/{model}", router.me, router.mesh, router.news, router.chart, router.random,
                         router.settings.dutyLicenceMs, router.board)
        self.term, self.arrivals = 0, []
        self.clear()

    def clear(self):
        """Begin with empty books."""
        self.books, self.conversations, self.byLast, self.waits = {}, {}, {}, {}
        self.routers, self.readyTerm, self.ring = {}, 0, Ring([])
        self.links, self.loading, self.adaptedS, self.graceS = {}, set(), 0.0, -1e9

    def start(self):
        """Stand for the duty, and keep the books while it is held."""
        self.loop = asyncio.get_running_loop()
        self.index = PrefixIndex(self.board, self.onWorkers)
        self.budget = Budget(self.settings.budgetShare, startS=self.loop.time())
        self.duty.start()
        self.router.workers.watchers.append(self.onWorkers)
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
        [self._answer(each, NOT_KEEPER) for book in self.books.values() for each in book.line]
        self.clear()
        self.index.stop()

    async def _takeOver(self):
        self._resign()
        term = self.term = self.duty.term
        nowS = self.loop.time()
        self.budget = Budget(self.settings.budgetShare, startS=nowS)
        self.onWorkers()
        self.index.follow(self._mine())
        config = self.config()
        self.graceS = nowS + GRACE_S - (min(config.idleMs, config.pauseMs) / 1000 if config else 0)
        endS, heard = nowS + self.settings.holdLicenceMs / 1000, set()
        while self.duty.isHeld() and self.duty.term == term:
            wanted = {each.addr for each in [self.router.me, *self.membership.alive("router")]} - heard
            got = await asyncio.gather(*(self._gather(addr, term) for addr in sorted(wanted)))
            heard |= {addr for addr, ok in zip(sorted(wanted), got) if ok}
            if all(got) or self.loop.time() > endS:
                self.readyTerm = term
                self.board.count["takeovers"] += 1
                self.graceS = -1e9
                arrivals, self.arrivals = sorted(self.arrivals, key=lambda each: each[0]), []
                [done.set_result(None) for _, done in arrivals if not done.done()]
                self.router.decisions.add("keeper", model=self.model, term=term, open=len(self.conversations))
                return
            await asyncio.sleep(0.1)

    async def _gather(self, addr, term):
        ask = OpenAsk(term=term, model=self.model, keeper=self.router.me.addr)
        got = self.router.onOpenAsk(ask, addr) if addr == self.router.me.addr else await self.mesh.ask(addr, ask, 800)
        if isFault(got):
            return False
        [self._adopt(each, addr) for each in got.conversations]
        return True

    def _adopt(self, told, addr):
        nowS = self.loop.time()
        found = self.conversations.get(told.conversation)
        idleSinceS = max(nowS - told.idleMs / 1000, self.graceS)
        if found is None:
            found = Conversation(told.conversation, told.tenant, told.group, told.worker, told.weights)
            found.idleSinceS = idleSinceS
            self.conversations[found.name] = found
            self._book(told.worker).entry(found)
        elif idleSinceS > found.idleSinceS and told.worker != found.worker:
            self._book(found.worker).leave(found)
            self._book(told.worker).entry(found)
        found.isServed = True
        found.parts, found.turns = max(found.parts, told.parts), max(found.turns, told.turns)
        found.idleSinceS = max(found.idleSinceS, idleSinceS)
        if told.last not in found.lasts:
            self._remember(found, told.last)
        if told.call and told.isSent:
            found.running[told.call] = (addr, nowS)
            self._seen(addr)

    def _book(self, worker):
        if worker not in self.books:
            config = self.config()
            self.books[worker] = Book(worker, (config.capLeast if config.adapts else config.cap) if config else 1)
        return self.books[worker]

    def _mine(self):
        return self.router.workers.ofModel(self.model)

    def onWorkers(self):
        """The workers or their reports have changed: place anew who waits, follow whom we have."""
        if not self.duty.isHeld() or self.duty.term != self.term:
            return
        workers = self._mine()
        serving = [worker.name for worker in workers if not worker.draining]
        if serving != self.ring.workers:
            self.ring = Ring(serving, self.settings.virtualPlaces)
        self.index.follow(workers)
        if self.readyTerm == self.term:
            lost = [(book, each) for name, book in self.books.items() if name not in serving for each in book.line]
            for book, each in lost:
                book.line.remove(each)
                self._placeOrWait(each)
            [self._pump(book) for book in list(self.books.values())]
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
        got = await fetchJson(worker.addr, "POST", "/v1/weights", {"weights": weights}, timeoutMs=5000)
        self.board.count["weightsAsked"] += 1
        self.router.decisions.add("weights", worker=worker.name, weights=weights, taken=not isFault(got))
        await asyncio.sleep(0.5)
        self.loading.discard((worker.name, weights))

    def _tick(self):
        nowS, config = self.loop.time(), self.config()
        if config is None:
            return
        silent = [addr for addr, untilS in self.routers.items() if untilS < nowS]
        for addr in silent:
            del self.routers[addr]
            for each in list(self.conversations.values()):
                for call in [call for call, (holder, _) in each.running.items() if holder == addr]:
                    self._callEnded(each, call)
                    self.board.count["legsReclaimed"] += 1
        for book in list(self.books.values()):
            [self._close(each, "over" if each.isOver else "idle") for each in book.ended(nowS, config.idleMs)]
            if not config.adapts:
                book.cap = config.cap
            self._pump(book)
        self._loadWeights(self._mine())
        if nowS - self.adaptedS > ADAPT_S:
            self.adaptedS = nowS
            [book.adapt(config) for book in self.books.values()]
        listed = {worker.name for worker in self._mine()}
        for name in [name for name, book in self.books.items() if name not in listed and not book.open and not len(book.line)]:
            del self.books[name]

    def _close(self, conversation, why):
        self._book(conversation.worker).leave(conversation)
        self.conversations.pop(conversation.name, None)
        for last in conversation.lasts:
            names = self.byLast.get((conversation.tenant, last))
            if names:
                names.discard(conversation.name)
                if not names:
                    del self.byLast[(conversation.tenant, last)]
        self.board.count["conversationsEnded"] += 1
        self.router.decisions.add("end", conversation=conversation.name, worker=conversation.worker, why=why,
                                  turns=conversation.turns)

    def _remember(self, conversation, last):
        if len(conversation.lasts) == conversation.lasts.maxlen:
            self.byLast.get((conversation.tenant, conversation.lasts[0]), set()).discard(conversation.name)
        conversation.lasts.append(last)
        self.byLast.setdefault((conversation.tenant, last), set()).add(conversation.name)

    async def onGrantAsk(self, ask, sender):
        """Grant a leg now, after a wait in line, or not at all."""
        startS = self.loop.time()
        waitS = ask.waitMs / 1000
        if not self._isReady() and not await self._gathered(startS - ask.waitedMs / 1000, waitS):
            return RECOVERING if self.duty.isHeld() else NOT_KEEPER
        config = self.config()
        if config is None or ask.weights != config.weights or not self.router.licence.isHeld():
            self.router.licence.kick.set()
            return NO_LICENCE.because("keeper and router hold different configurations", 200)
        conversation = self.conversations.get(ask.conversation) or self._continued(ask)
        if conversation is not None:
            return self._goOn(conversation, ask, sender)
        waiting = self.waits.get(ask.call)
        if waiting is None:
            waiting = self.waits[ask.call] = Waiting(ask.tenant, ask, self.loop.create_future(),
                                                     startS - ask.waitedMs / 1000, sender, startS)
            self._placeOrWait(waiting)
        else:
            waiting.ask, waiting.done, waiting.sender, waiting.seenS = ask, self.loop.create_future(), sender, startS
            [self._pump(book) for book in list(self.books.values()) if book.line.first() is waiting]
        return await self._waited(waiting, waiting.done, startS + waitS)

    async def _gathered(self, sinceS, waitS):
        """Wait until the books are gathered; who has waited longest then goes first."""
        arrival = (sinceS, self.loop.create_future())
        self.arrivals.append(arrival)
        await asyncio.wait([arrival[1]], timeout=waitS)
        if arrival in self.arrivals:
            self.arrivals.remove(arrival)
        return self._isReady()

    async def _waited(self, waiting, done, endS):
        """One slice of a wait; the place in line outlasts it, so that a grant is never older than its question."""
        try:
            await asyncio.wait([done], timeout=max(0, endS - self.loop.time()))
        finally:
            if not done.done():
                done.cancel()
        if done.cancelled():
            return WAITED_OUT
        if self.waits.get(waiting.ask.call) is waiting:
            del self.waits[waiting.ask.call]
        return done.result()

    def _isReady(self):
        return self.duty.isHeld() and self.readyTerm == self.term == self.duty.term

    def _continued(self, ask):
        """The open conversation that a prompt extends, under whatever weights it was begun."""
        for last in reversed(ask.talk):
            for name in sorted(self.byLast.get((ask.tenant, last), ())):
                found = self.conversations[name]
                isSame = last == ask.talk[-1]
                isBusy = isSame and found.running and ask.call not in found.running
                if found.group == ask.group and not isBusy:
                    return found
        return None

    def _goOn(self, conversation, ask, sender):
        worker, nowS = conversation.worker, self.loop.time()
        book = self._book(worker)
        listed = self.router.workers.workers.get(worker)
        mustMove = (listed is None or listed.draining or worker in ask.avoid or book.shunnedUntilS > nowS
                    or self._otherWeights(worker, ask.weights))
        if mustMove:
            target = next((name for name in self._candidates(ask) if name != worker), None)
            if target is None and (listed is None or listed.draining or worker in ask.avoid):
                return NO_WORKER
            if target is not None:
                book.leave(conversation)
                self._book(target).entry(conversation)
                over = len(self.books[target].open) > self.books[target].cap
                self.board.count["moves"] += 1
                self.board.count["movesOverCap"] += over
                self.router.decisions.add("move", conversation=conversation.name, old=worker, new=target, overCap=over)
        return self._grant(conversation, ask, sender, False)

    def _otherWeights(self, worker, weights):
        said = self.index.weights(worker)
        return bool(said) and said != weights

    def _candidates(self, ask):
        """Workers in the order in which a start would take them."""
        nowS = self.loop.time()
        places = [name for name in self.ring.walk(ask.chain[-1] + ask.group.encode()) if name not in ask.avoid]
        fit = [name for name in places if self.index.weights(name) in ("", ask.weights)]
        good = [name for name in fit if self._book(name).shunnedUntilS <= nowS and self.index.isUp(name)]
        return good or fit

    def _nominate(self, ask):
        places = self._candidates(ask)
        few = places[:self.settings.placesWeighed]
        if not few:
            return None
        roomy = [name for name in few if self._book(name).hasRoom() and not len(self._book(name).line)]
        places = roomy or [name for name in few if len(self._book(name).line) < self.config().lineMax] or few
        best = max(self.index.depth(name, ask.chain) for name in places)
        return next(name for name in places if self.index.depth(name, ask.chain) == best)

    def _placeOrWait(self, waiting):
        ask, config = waiting.ask, self.config()
        name = self._nominate(ask)
        if name is None:
            return self._answer(waiting, NO_WORKER)
        book = self._book(name)
        if book.hasRoom() and not len(book.line) and waiting.isAsking():
            return self._begin(book, waiting)
        if len(book.line) >= config.lineMax:
            self.board.count["lineFull"] += 1
            self.router.decisions.add("refuse", call=ask.call, tenant=ask.tenant, worker=name, why="line full")
            return self._answer(waiting, LINE_FULL)
        book.line.add(waiting)
        self.board.count["waits"] += 1
        self.router.decisions.add("wait", call=ask.call, tenant=ask.tenant, worker=name, line=len(book.line),
                                  open=len(book.open), cap=book.cap)
        self._pump(book)

    def _pump(self, book):
        if not self._isReady() or self.config() is None or not self.router.workers.mayTake(book.worker):
            return
        while len(book.line):
            first = book.line.first()
            if not first.isAsking():
                if self.loop.time() - first.seenS < WAIT_FORGOTTEN_S:
                    return
                self._forget(book.line.take())
                continue
            if not book.hasRoom():
                paused = book.longestPaused(self.loop.time(), self.config().pauseMs)
                if paused is None or len(book.open) > book.cap:
                    return
                self.board.count["slotsReclaimed"] += 1
                self._close(paused, "paused while others wait")
            self._begin(book, book.line.take())

    def _forget(self, waiting):
        self.waits.pop(waiting.ask.call, None)

    def _begin(self, book, waiting):
        ask = waiting.ask
        name = "%016x" % self.router.random.getrandbits(64)
        conversation = Conversation(name, ask.tenant, ask.group, book.worker, ask.weights)
        self.conversations[name] = conversation
        book.entry(conversation)
        self.board.count["starts"] += 1
        waitedMs = int((self.loop.time() - waiting.sinceS) * 1000)
        self.router.decisions.add("start", call=ask.call, tenant=ask.tenant, conversation=name, worker=book.worker,
                                  waitedMs=waitedMs, open=len(book.open), cap=book.cap)
        got = self._grant(conversation, ask, waiting.sender, True)
        if not isFault(got):
            got.waitedMs = waitedMs
        self._answer(waiting, got)

    def _answer(self, waiting, got):
        if waiting.isAsking():
            waiting.done.set_result(got)
        else:
            self._forget(waiting)

    def _grant(self, conversation, ask, sender, isStart):
        worker = self.router.workers.workers.get(conversation.worker)
        if worker is None or not self._isReady():
            return NO_WORKER if worker is None else NOT_KEEPER
        if ask.leg > 1 and not self.budget.draw(self.loop.time(), self._allowance()):
            self.board.count["budgetRefusals"] += 1
            return BUDGET_SPENT
        before, isNew = conversation.parts if conversation.weights == ask.weights else 0, ask.leg <= 1 and not ask.wasGranted and ask.call not in conversation.running
        conversation.running[ask.call] = (sender, self.loop.time())
        conversation.turns += isNew
        if isNew:
            self.budget.call(self.loop.time())
        if ask.talk[-1] not in conversation.lasts:
            self._remember(conversation, ask.talk[-1])
        conversation.weights = ask.weights
        conversation.parts = max(conversation.parts, len(ask.chain))
        conversation.isOver = False
        self._seen(sender)
        self.board.count["grants"] += 1
        source = self._fetchFrom(conversation.worker, ask, isStart)
        return GrantReturn(term=self.term, worker=worker.name, url=worker.addr, conversation=conversation.name,
                           isStart=isStart, fetchFrom=source, fetchMs=self.config().fetchMs if source else 0,
                           earlier=before)

    def _allowance(self):
        """This model's part of the site's allowance of extra legs."""
        models = sorted(self.router.licence.held.document.models)
        share, rest = divmod(self.settings.budgetExtra, len(models))
        return share + (models.index(self.model) < rest)

    def _fetchFrom(self, target, ask, isStart):
        """Where an admitted conversation's prefix is fetched from, if its worker lacks it; empty for recompute."""
        if not self.config().fetches or len(ask.chain) < 2 or ask.size < self.config().fetchLeast:
            return ""
        here = self.index.depth(target, ask.chain)
        if here >= len(ask.chain) - 1:
            return ""
        depths = {name: self.index.depth(name, ask.chain) for name in self.index.kept if name != target}
        best = max(depths, key=lambda name: (depths[name], self._speed(name, target)), default=None)
        listed = self.router.workers.workers.get(best)
        if best and depths[best] > here and listed and self._speed(best, target) >= 0:
            return listed.addr
        if here == 0 and self.settings.store and self._speed(self.settings.store, target) >= 0:
            return self.settings.store
        return ""

    def _speed(self, source, target):
        """Below zero while a link was lately too slow to be worth a try."""
        return -1 if self.links.get((source, target), -1e9) > self.loop.time() else 0

    def onLegEnd(self, end, sender):
        """A leg is over at its router."""
        if not self._isReady():
            return None
        conversation = self.conversations.get(end.conversation)
        if conversation is None:
            return None
        conversation.isOver = conversation.isOver or end.isOver
        book = self._book(conversation.worker)
        if end.parts and conversation.turns > 1:
            book.returns += 1
            book.hits += end.hits >= end.earlier
        if end.neverSent and end.isBad:
            book.shunnedUntilS = self.loop.time() + 2.0
        if end.slowFrom:
            self.links[(self._nameAt(end.slowFrom), conversation.worker)] = self.loop.time() + 10.0
        self._callEnded(conversation, end.call)
        conversation.isServed = conversation.isServed or not end.neverSent
        if not conversation.isServed and not conversation.running:
            self._close(conversation, "never sent")
        elif conversation.isOver and not conversation.running:
            self._close(conversation, "said so")
        self._pump(book)
        return None

    def onGrantDrop(self, drop, sender):
        """A caller went away while its agent waited."""
        found = next(((book, each) for book in self.books.values() for each in book.line
                      if each.ask.call == drop.call), None)
        if found:
            found[0].line.remove(found[1])
            self._forget(found[1])
            self._answer(found[1], WAITED_OUT.because("caller went away"))

    def _nameAt(self, addr):
        return next((worker.name for worker in self._mine() if worker.addr == addr), addr)

    def _callEnded(self, conversation, call):
        if conversation.running.pop(call, None) is not None and not conversation.running:
            conversation.idleSinceS = self.loop.time()

    def _seen(self, addr):
        self.routers[addr] = self.loop.time() + self.settings.holdLicenceMs / 1000

    async def onHold(self, hold, sender):
        """A router says which legs it runs; what was lost between us is mended by it."""
        if not self._isReady():
            return NOT_KEEPER
        if hold.term > self.term:
            return OLD_VIEW.because("router knows a newer keeper")
        self._seen(sender)
        theirs = set(hold.calls)
        settledS = self.loop.time() - 2 * self.settings.grantMs / 1000
        for each in list(self.conversations.values()):
            for call in [call for call, (addr, sinceS) in each.running.items()
                         if addr == sender and call not in theirs and sinceS < settledS]:
                self._callEnded(each, call)
                self.board.count["legEndsMended"] += 1
        known = {call for each in self.conversations.values() for call, (addr, _) in each.running.items() if addr == sender}
        if theirs - known:
            await self._gather(sender, self.term)
        return HoldReturn(lost=sorted(theirs - known))

    def status(self):
        """The books in their outward form."""
        config = self.config()
        return {"model": self.model, "held": self.duty.isHeld(), "term": self.duty.term, "ready": self._isReady(),
                "weights": config.weights if config else "", "lineMax": config.lineMax if config else 0,
                "books": {name: {"open": len(book.open), "cap": book.cap, "line": len(book.line),
                                 "up": self.index.isUp(name), "weights": self.index.weights(name),
                                 "running": sum(len(each.running) for each in book.open.values())}
                          for name, book in self._allBooks()} if self.duty.isHeld() else {}}

    def _allBooks(self):
        [self._book(worker.name) for worker in self._mine()]
        return sorted(self.books.items())
