"""The waiting lines of one model: who waits, who begins next."""

import asyncio

from swiftdeck.fault import LINE_FULL, NO_WORKER, WAITED_OUT, is_fault
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

    async def wait(self, ask, sender, start_s):
        """A grant for a start, now or within the question's slice of the wait."""
        waiting = self.waits.get(ask.call)
        if waiting is None:
            waiting = self.waits[ask.call] = Waiting(
                ask.tenant,
                ask,
                self.loop.create_future(),
                start_s - ask.waitedMs / 1000,
                sender,
                start_s,
            )
            self.place(waiting)
        else:
            waiting.ask, waiting.done, waiting.sender, waiting.seen_s = (
                ask,
                self.loop.create_future(),
                sender,
                start_s,
            )
            for book in self.books.all():
                if book.line.first() is waiting:
                    self.pump(book)
        return await self._waited(waiting, waiting.done, start_s + ask.waitMs / 1000)

    async def _waited(self, waiting, done, end_s):
        """One slice of a wait; its place in line outlasts it, so that no grant is too old."""
        try:
            await asyncio.wait([done], timeout=max(0, end_s - self.loop.time()))
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
        if book.has_room() and not len(book.line) and waiting.is_asking():
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
            not self.host.is_ready()
            or self.host.config() is None
            or not self.router.workers.may_take(book.worker)
        ):
            return
        while len(book.line):
            first = book.line.first()
            if not first.is_asking():
                if self.loop.time() - first.seen_s < FORGOTTEN_S:
                    return
                self._forget(book.line.take())
                continue
            if not book.has_room():
                paused = book.longest_paused(self.loop.time(), self.host.config().pauseMs)
                if paused is None or len(book.open) > book.cap:
                    return
                self.board.count["slotsReclaimed"] += 1
                self.books.close(paused, "paused while others wait")
            self._begin(book, book.line.take())

    def pump_all(self):
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
        waited_ms = int((self.loop.time() - waiting.since_s) * 1000)
        self.router.decisions.add(
            "start",
            call=ask.call,
            tenant=ask.tenant,
            conversation=name,
            worker=book.worker,
            waitedMs=waited_ms,
            open=len(book.open),
            cap=book.cap,
        )
        got = self.grant(conversation, ask, waiting.sender, True)
        if not is_fault(got):
            got.waitedMs = waited_ms
        self._give(waiting, got)

    def _give(self, waiting, got):
        if waiting.is_asking():
            waiting.done.set_result(got)
        else:
            self._forget(waiting)
