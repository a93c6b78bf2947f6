"""The waiting lines of one model: who waits, who begins next."""

import asyncio

from swiftdeck.fault import LINE_FULL, NO_WORKER, WAITED_OUT, isFault
from swiftdeck.traffic.book import Conversation
from swiftdeck.traffic.line import Waiting

FORGOTTEN_S = 2.0


class Lines:
    """Owner of the places in line; it begins conversations by commands to the books."""

    def __init__(self, host, books, placement, router, grant):
        self.host, self.books, self.placement, self.router, self.grant = (
            host,
            books,
            placement,
            router,
            grant,
        )
        self.board, self.loop = router.board, asyncio.get_running_loop()
        self.waits = {}

    def clear(self, fault):
        """Tell all who wait that this is no longer the place."""
        for book in self.books.table.values():
            for each in book.line:
                self._give(each, fault)
        self.waits = {}

    async def wait(self, ask, sender, startS):
        """A grant for a start, now or within the question's slice of the wait."""
        waiting = self.waits.get(ask.call)
        if waiting is None:
            waiting = self.waits[ask.call] = Waiting(
                ask.tenant,
                ask,
                self.loop.create_future(),
                startS - ask.waitedMs / 1000,
                sender,
                startS,
            )
            self.place(waiting)
        else:
            waiting.ask, waiting.done, waiting.sender, waiting.seenS = (
                ask,
                self.loop.create_future(),
                sender,
                startS,
            )
            for book in self.books.all():
                if book.line.first() is waiting:
                    self.pump(book)
        return await self._waited(waiting, waiting.done, startS + ask.waitMs / 1000)

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

    def place(self, waiting: Waiting):
        """Begin at the worker that placement nominates, or stand in its line."""
        ask, config = waiting.ask, self.host.config()
        name = self.placement.nominate(ask)
        if name is None:
            return self._give(waiting, NO_WORKER)
        book = self.books.of(name)
        if book.hasRoom() and not len(book.line) and waiting.isAsking():
            return self._begin(book, waiting)
        if len(book.line) >= config.lineMax:
            self.board.count["lineFull"] += 1
            self.router.decisions.add(
                "refuse", call=ask.call, tenant=ask.tenant, worker=name, why="line full"
            )
            return self._give(waiting, LINE_FULL)
        book.line.add(waiting)
        self.board.count["waits"] += 1
        self.router.decisions.add(
            "wait",
            call=ask.call,
            tenant=ask.tenant,
            worker=name,
            line=len(book.line),
            open=len(book.open),
            cap=book.cap,
        )
        self.pump(book)

    def pump(self, book):
        """Let the next ones begin while there is room."""
        if (
            not self.host.isReady()
            or self.host.config() is None
            or not self.router.workers.mayTake(book.worker)
        ):
            return
        while len(book.line):
            first = book.line.first()
            if not first.isAsking():
                if self.loop.time() - first.seenS < FORGOTTEN_S:
                    return
                self._forget(book.line.take())
                continue
            if not book.hasRoom():
                paused = book.longestPaused(self.loop.time(), self.host.config().pauseMs)
                if paused is None or len(book.open) > book.cap:
                    return
                self.board.count["slotsReclaimed"] += 1
                self.books.close(paused, "paused while others wait")
            self._begin(book, book.line.take())

    def pumpAll(self):
        """Look at every line."""
        for book in self.books.all():
            self.pump(book)

    def replace(self, serving):
        """Place anew who waits for a worker that no longer serves."""
        lost = [
            (book, each)
            for name, book in self.books.table.items()
            if name not in serving
            for each in book.line
        ]
        for book, each in lost:
            book.line.remove(each)
            self.place(each)

    def leave(self, call):
        """A caller went away while its agent waited."""
        found = next(
            (
                (book, each)
                for book in self.books.table.values()
                for each in book.line
                if each.ask.call == call
            ),
            None,
        )
        if found:
            found[0].line.remove(found[1])
            self._forget(found[1])
            self._give(found[1], WAITED_OUT.because("caller went away"))

    def _forget(self, waiting):
        self.waits.pop(waiting.ask.call, None)

    def _begin(self, book, waiting):
        ask = waiting.ask
        name = f"{self.router.random.getrandbits(64):016x}"
        conversation = Conversation(name, ask.tenant, ask.group, book.worker, ask.weights)
        self.books.open(conversation)
        self.board.count["starts"] += 1
        waitedMs = int((self.loop.time() - waiting.sinceS) * 1000)
        self.router.decisions.add(
            "start",
            call=ask.call,
            tenant=ask.tenant,
            conversation=name,
            worker=book.worker,
            waitedMs=waitedMs,
            open=len(book.open),
            cap=book.cap,
        )
        got = self.grant(conversation, ask, waiting.sender, True)
        if not isFault(got):
            got.waitedMs = waitedMs
        self._give(waiting, got)

    def _give(self, waiting, got):
        if waiting.isAsking():
            waiting.done.set_result(got)
        else:
            self._forget(waiting)
