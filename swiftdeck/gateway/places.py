"""The admission books of the workers that this router owns: who is open where, who waits."""

import asyncio

import attrs

from swiftdeck.config.policy import ALL_ON
from swiftdeck.gateway.pace import PRIOR_TOKENS_PER_MS
from swiftdeck.traffic.fair_queue import QueuedCall
from swiftdeck.traffic.ring import Ring
from swiftdeck.traffic.worker_slots import Conversation, WorkerSlots

FILL = 0.85
ALONE_TOKENS = 512
"""With no more than this unread before it a prompt is read alone."""
GRACE_S, LEFT_S = 0.5, 2.0


@attrs.frozen
class Wish:
    """What is asked of a book: a place for one call of an episode."""

    call: str
    episode: str
    tenant: str
    worker: str
    tokens: int
    deadline_s: float
    missing: int = 0


class PlaceTable:
    """Owner of the books; a later call of an open episode looks at no cap, and nothing admitted is taken back.

    K counts episodes by the tokens that they keep, against what the worker's memory holds; `cap` shows it in episodes as large as
    those that came lately. A place of a router that is gone comes
    back at its call's deadline, for nobody can run it longer.
    """

    def __init__(
        self,
        telemetry,
        decisions,
        memory_of,
        pause_ms=400,
        line_most=64,
        pace_of=lambda worker: PRIOR_TOKENS_PER_MS,
        policy=ALL_ON,
    ):
        self.policy = policy
        self.telemetry, self.decisions, self.memory_of = telemetry, decisions, memory_of
        self.pause_ms, self.line_most = pause_ms, line_most
        self.place_table, self.tokens, self.calls, self.waiting, self.left = {}, {}, {}, {}, {}
        self.sizes, self.unread, self.alone, self.pace_of = {}, {}, {}, pace_of
        self.on_load = lambda worker, backlog, running: None
        self.on_reading = lambda worker, tokens, elapsed_ms: None

    def _now(self):
        return asyncio.get_running_loop().time()

    def of(self, worker) -> WorkerSlots:
        """The book of a worker."""
        if worker not in self.place_table:
            self.place_table[worker], self.tokens[worker] = WorkerSlots(worker, 1), 0.0
        return self.place_table[worker]

    def _cap(self, book, tokens):
        mean = self.tokens[book.worker]
        self.tokens[book.worker] = mean = mean + 0.1 * (tokens - mean) if mean else float(tokens)
        book.cap = max(1, int(self.memory_of(book.worker) * FILL / max(1.0, mean)))

    def _has_room(self, book, tokens):
        """Whether the worker's memory holds the prompt beside those of the open episodes; one alone always may."""
        if not self.policy.admission:
            return True
        held = sum(self.sizes.get((book.worker, name), 0) for name in book.open)
        return not book.open or held + tokens <= self.memory_of(book.worker) * FILL

    async def ask(self, wish: Wish, wait_ms: int):
        """Whether the call may go to the worker: at once, after a wait in line, or not within it."""
        if self.left.pop(wish.call, None) is not None:
            return False
        book = self.of(wish.worker)
        self._reclaim(book)
        held = book.open.get(wish.episode)
        if held is not None:
            self._run(book, held, wish)
            return True
        self._cap(book, wish.tokens)
        if not self._has_room(book, wish.tokens):
            self._end_idle(book, 0)
        if self._has_room(book, wish.tokens) and not len(book.queue):
            self._begin(book, wish)
            return True
        if len(book.queue) >= self.line_most or wait_ms <= 0 or not self.policy.lines:
            self.telemetry.count["linesFull"] += 1
            return False
        return await self._wait(book, wish, wait_ms)

    async def _wait(self, book, wish, wait_ms):
        waiting = QueuedCall(
            wish.tenant if self.policy.turns else "",
            wish,
            asyncio.get_running_loop().create_future(),
            self._now(),
        )
        book.queue.add(waiting)
        self.waiting[wish.call] = waiting
        self.telemetry.count["waits"] += 1
        try:
            await asyncio.wait([waiting.done], timeout=wait_ms / 1000)
        finally:
            self.waiting.pop(wish.call, None)
            if not waiting.done.done() or waiting.done.cancelled():
                book.queue.remove(waiting)
                waiting.done.cancel()
        self.telemetry.count["waitedOut"] += waiting.done.cancelled()
        return not waiting.done.cancelled()

    def _begin(self, book, wish):
        episode = Conversation(wish.episode, wish.tenant, "", book.worker, "")
        book.entry(episode)
        self.telemetry.count["starts"] += 1
        self._run(book, episode, wish)

    def _run(self, book, episode, wish):
        episode.running[wish.call] = wish.deadline_s
        self.sizes[(book.worker, episode.name)] = max(
            wish.tokens, self.sizes.get((book.worker, episode.name), 0)
        )
        episode.turns += 1
        self.calls[wish.call] = (book.worker, episode.name)
        self._expect_reading(book, wish)
        self._tell_load(book)

    def _expect_reading(self, book, wish):
        """Count what a call has to read; the time that it takes tells the pace where it is read alone."""
        unread = self._unread(book)
        if unread < ALONE_TOKENS:
            self.alone[wish.call] = wish.missing
        else:
            for call, (worker, _) in self.calls.items():
                if worker == book.worker:
                    self.alone.pop(call, None)
        self.unread[book.worker] = (unread + wish.missing, self._now())

    def is_open(self, wish: Wish) -> bool:
        """Whether a call belongs to an episode that was admitted and is not over."""
        book = self.place_table.get(wish.worker)
        return book is not None and wish.episode in book.open

    def unread_at(self, worker: str) -> float:
        """Tokens that calls let in at a worker still have to read there."""
        book = self.place_table.get(worker)
        return self._unread(book) if book is not None else 0.0

    def _unread(self, book):
        """Tokens that calls let in here still have to be read, as far as a worker's usual pace tells."""
        tokens, since_s = self.unread.get(book.worker, (0, 0.0))
        return max(0.0, tokens - (self._now() - since_s) * 1000 * self.pace_of(book.worker))

    def _tell_load(self, book):
        self.on_load(
            book.worker,
            self._unread(book),
            sum(worker == book.worker for worker, _ in self.calls.values()),
        )

    def ended(self, call: str, is_kept: bool = True, first_event_ms: int = 0):
        """A call is over; its episode stays open for a short pause, as its next call may come.

        One that is not here yet has been left before its question came, or waits in a line that it now leaves.
        `first_event_ms` is the time from its sending to its first event, 0 where none came.
        """
        if call not in self.calls:
            waiting = self.waiting.get(call)
            if waiting is not None:
                waiting.done.cancel()
            else:
                self.left[call] = self._now() + LEFT_S
            return
        worker, name = self.calls.pop(call, ("", ""))
        read_alone = self.alone.pop(call, 0)
        if first_event_ms and read_alone:
            self.on_reading(worker, read_alone, first_event_ms)
        book = self.place_table.get(worker)
        episode = book.open.get(name) if book else None
        if episode is None:
            return
        episode.running.pop(call, None)
        if not episode.running:
            episode.idle_since_s = self._now()
            if not is_kept:
                self._leave(book, episode)
        self._tell_load(book)
        self.pump(book)

    def _reclaim(self, book):
        now_s = self._now()
        for episode in list(book.open.values()):
            for call in [
                call for call, until_s in episode.running.items() if until_s + GRACE_S < now_s
            ]:
                del episode.running[call]
                self.calls.pop(call, None)
                self.alone.pop(call, None)
                self.telemetry.count["placesReclaimed"] += 1
                episode.idle_since_s = now_s
        self._end_idle(book, 0 if len(book.queue) else self.pause_ms)

    def _end_idle(self, book, pause_ms):
        for episode in book.ended(self._now(), pause_ms):
            self._leave(book, episode)
            self.telemetry.count["episodesEnded"] += 1

    def _leave(self, book, episode):
        book.leave(episode)
        self.sizes.pop((book.worker, episode.name), None)

    def pump(self, book):
        """Let the next ones begin while there is room."""
        self._reclaim(book)
        while len(book.queue) and self._has_room(book, book.queue.first().ask.tokens):
            waiting = book.queue.take()
            if waiting.is_asking():
                self._begin(book, waiting.ask)
                waiting.done.set_result(True)

    def tick(self, names):
        """Give back what lapsed, and forget workers that are gone or owned elsewhere and have nothing open."""
        self.left = {call: until_s for call, until_s in self.left.items() if until_s > self._now()}
        for worker, book in list(self.place_table.items()):
            self.pump(book)
            if worker not in names and not book.open and not len(book.queue):
                del self.place_table[worker], self.tokens[worker]
                self.unread.pop(worker, None)

    def status(self):
        """The books in their outward form."""
        return {
            name: {"open": len(book.open), "cap": book.cap, "line": len(book.queue)}
            for name, book in sorted(self.place_table.items())
        }


class Owners:
    """Which router owns which worker's book, remembered while the routers stay the same."""

    def __init__(self):
        self.routers, self.ring, self.known = [], Ring([]), {}

    def of(self, worker: str, routers: list) -> str:
        """The owner's address."""
        if routers is not self.routers and routers != self.routers:
            self.routers, self.ring, self.known = routers, Ring(routers, 16), {}
        if worker not in self.known:
            self.known[worker] = next(self.ring.walk(worker.encode()), "")
        return self.known[worker]
