"""The waiting lines of one model: who waits, who begins next."""

import asyncio

from swiftdeck.fault import NO_WORKER, QUEUE_FULL, QUEUE_TIMEOUT, is_fault
from swiftdeck.traffic.fair_queue import QueuedCall
from swiftdeck.traffic.worker_slots import Conversation, WorkerSlots

FORGOTTEN_S = 2.0
"""How long the first of a line keeps its place while its router asks nothing."""


class Lines:
    """Owner of the places in line; it begins conversations by commands to the books.

    `waits` has who waits by the id of the call. `grant(conversation, ask, sender, is_start)` makes
    the grant of a conversation that begins.
    """

    def __init__(self, coordinator, slot_table, placement, router, grant):
        self.coordinator, self.slot_table, self.placement = coordinator, slot_table, placement
        self.router, self.grant = router, grant
        self.telemetry, self.loop = router.telemetry, asyncio.get_running_loop()
        self.waits: dict[str, QueuedCall] = {}

    def clear(self, fault):
        """Answer all who wait with a fault, for the lines are kept elsewhere from now on."""
        for book in self.slot_table.table.values():
            for waiting in book.queue:
                self._answer(waiting, fault)
        self.waits = {}

    async def wait(self, ask, sender: str, start_s: float):
        """Return a grant for a start, now or within the question's slice of the wait, or a fault.

        A call asks again and again while it waits; it keeps the place of its first question.
        """
        waiting = self.waits.get(ask.call)
        if waiting is None:
            waiting = self._enter(ask, sender, start_s)
        else:
            self._ask_again(waiting, ask, sender, start_s)
        return await self._answered(waiting, waiting.done, start_s + ask.wait_ms / 1000)

    def _enter(self, ask, sender: str, now_s: float) -> QueuedCall:
        """Place a call that asks for the first time."""
        waiting = QueuedCall(
            tenant=ask.tenant,
            ask=ask,
            done=self.loop.create_future(),
            since_s=now_s - ask.waited_ms / 1000,
            sender=sender,
            seen_s=now_s,
        )
        self.waits[ask.call] = waiting
        self.place(waiting)
        return waiting

    def _ask_again(self, waiting: QueuedCall, ask, sender: str, now_s: float):
        """Take a new question of a call that has a place, which may be the first of its line."""
        waiting.ask, waiting.done = ask, self.loop.create_future()
        waiting.sender, waiting.seen_s = sender, now_s
        for book in self.slot_table.all():
            if book.queue.first() is waiting:
                self.pump(book)

    async def _answered(self, waiting: QueuedCall, done: asyncio.Future, end_s: float):
        """Wait for one slice; the place in line outlasts it, so that no grant is too old."""
        try:
            await asyncio.wait([done], timeout=max(0, end_s - self.loop.time()))
        finally:
            if not done.done():
                done.cancel()
        if done.cancelled():
            return QUEUE_TIMEOUT
        if self.waits.get(waiting.ask.call) is waiting:
            del self.waits[waiting.ask.call]
        return done.result()

    def place(self, waiting: QueuedCall):
        """Begin at the worker that placement nominates, or stand in its line."""
        name = self.placement.nominate(waiting.ask)
        if name is None:
            return self._answer(waiting, NO_WORKER)
        book = self.slot_table.of(name)
        if book.has_room() and not len(book.queue) and waiting.is_asking():
            return self._begin(book, waiting)
        if len(book.queue) >= self.coordinator.config().lineMax:
            return self._refuse(book, waiting)
        self._stand(book, waiting)
        self.pump(book)

    def _refuse(self, book: WorkerSlots, waiting: QueuedCall):
        """Answer that the line is full."""
        self.telemetry.count["lineFull"] += 1
        self.router.decisions.add(
            "refuse",
            call=waiting.ask.call,
            tenant=waiting.ask.tenant,
            worker=book.worker,
            why="line full",
        )
        self._answer(waiting, QUEUE_FULL)

    def _stand(self, book: WorkerSlots, waiting: QueuedCall):
        """Put a call into a line."""
        book.queue.add(waiting)
        self.telemetry.count["waits"] += 1
        self.router.decisions.add(
            "wait",
            call=waiting.ask.call,
            tenant=waiting.ask.tenant,
            worker=book.worker,
            line=len(book.queue),
            open=len(book.open),
            cap=book.cap,
        )

    def pump(self, book: WorkerSlots):
        """Let the next ones begin while there is room."""
        if not self._may_begin(book):
            return
        while len(book.queue):
            first = book.queue.first()
            if not first.is_asking():
                if self.loop.time() - first.seen_s < FORGOTTEN_S:
                    return
                self._forget(book.queue.take())
                continue
            if not book.has_room() and not self._make_room(book):
                return
            self._begin(book, book.queue.take())

    def _may_begin(self, book: WorkerSlots) -> bool:
        """Whether conversations may begin at a worker at all."""
        return (
            self.coordinator.is_ready()
            and self.coordinator.config() is not None
            and self.router.workers.may_take(book.worker)
        )

    def _make_room(self, book: WorkerSlots) -> bool:
        """End the longest paused conversation; false if there is none, or one is not enough."""
        paused = book.longest_paused(self.loop.time(), self.coordinator.config().pauseMs)
        if paused is None or len(book.open) > book.cap:
            return False
        self.telemetry.count["slotsReclaimed"] += 1
        self.slot_table.close(paused, "paused while others wait")
        return True

    def pump_all(self):
        """Look at every line."""
        for book in self.slot_table.all():
            self.pump(book)

    def replace(self, serving: list[str]):
        """Place anew who waits for a worker that no longer serves."""
        stranded = [
            (book, waiting)
            for name, book in self.slot_table.table.items()
            if name not in serving
            for waiting in book.queue
        ]
        for book, waiting in stranded:
            book.queue.remove(waiting)
            self.place(waiting)

    def leave(self, call: str):
        """Take a call out of its line, for its caller went away."""
        for book in self.slot_table.all():
            for waiting in book.queue:
                if waiting.ask.call == call:
                    book.queue.remove(waiting)
                    self._forget(waiting)
                    self._answer(waiting, QUEUE_TIMEOUT.with_reason("caller went away"))
                    return

    def _forget(self, waiting: QueuedCall):
        self.waits.pop(waiting.ask.call, None)

    def _begin(self, book: WorkerSlots, waiting: QueuedCall):
        """Open a conversation at a worker and answer with its first grant."""
        ask = waiting.ask
        name = f"{self.router.random.getrandbits(64):016x}"
        conversation = Conversation(name, ask.tenant, ask.group, book.worker, ask.weights)
        self.slot_table.open(conversation)
        self.telemetry.count["starts"] += 1
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
        grant = self.grant(conversation, ask, waiting.sender, True)
        if not is_fault(grant):
            grant.waited_ms = waited_ms
        self._answer(waiting, grant)

    def _answer(self, waiting: QueuedCall, answer):
        """Answer the open question of a call; one that asks nothing now loses its place."""
        if waiting.is_asking():
            waiting.done.set_result(answer)
        else:
            self._forget(waiting)
