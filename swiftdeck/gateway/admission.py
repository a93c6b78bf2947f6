"""Asks the owner of a worker's book for a place; where the owner can't be heard, a share of K is used without it."""

import asyncio
import math

from swiftdeck.config.policy import ALL_ON
from swiftdeck.gateway.places import FILL, Owners, PlaceTable, Wish
from swiftdeck.runtime.ticks import next_tick
from swiftdeck.wire.messages import LoadNews, PlaceAsk, PlaceEnd, PlaceReturn

PATIENCE_MS = 120
UNREAD_MOST = 1 << 31
"""More tokens than any worker will have to read."""


class Admission:
    """The routers' side of the books, and the books of the workers that this router owns."""

    def __init__(
        self,
        me,
        mesh,
        membership,
        worker_registry,
        telemetry,
        memory_of,
        broadcast,
        policy=ALL_ON,
        on_read=lambda worker, salt, parts, sizes, is_cold: None,
    ):
        self.me, self.mesh, self.membership, self.worker_registry, self.telemetry = (
            me,
            mesh,
            membership,
            worker_registry,
            telemetry,
        )
        self.memory_of, self.broadcast, self.on_read = memory_of, broadcast, on_read
        self.owners, self.asked, self.policy = Owners(), {}, policy
        mesh.register(PlaceAsk, self.on_place_ask, True)
        mesh.register(PlaceEnd, self.on_place_end)
        broadcast.on(LoadNews, self.on_load_news)

    def start(self):
        """Keep books."""
        self.loop = asyncio.get_running_loop()
        self.place_table = PlaceTable(
            self.telemetry, None, self.memory_of, pace_of=self.pace_of, policy=self.policy
        )
        self.place_table.on_load = self.tell_load
        self.place_table.on_reading = self.on_reading
        self.task = asyncio.ensure_future(self._ticking())

    def routers(self):
        """Addresses of all routers that are not gone."""
        return self.membership.addresses("router")

    def owner(self, worker: str) -> str:
        """The address of the router that owns a worker's book."""
        return self.owners.of(worker, self.routers())

    async def ask(
        self, wish: Wish, wait_ms: int, request, salt: str, unread_most: float = math.inf
    ) -> PlaceReturn:
        """Whether a call may go to a worker that has no more than so many tokens to read before it."""
        owner = self.owner(wish.worker)
        shared, sizes = (
            [part.name for part in request.shared()],
            [part.tokens for part in request.shared()],
        )
        if owner == self.me.addr:
            answer = await self._take(wish, wait_ms, salt, shared, sizes, unread_most)
        else:
            ask = PlaceAsk(
                router=self.me.name,
                call=wish.call,
                episode=wish.episode,
                tenant=wish.tenant,
                worker=wish.worker,
                tokens=wish.tokens,
                wait_ms=wait_ms,
                left_ms=max(1, int((wish.deadline_s - self.loop.time()) * 1000)),
                salt=salt,
                shared=shared,
                sizes=sizes,
                missing=wish.missing,
                unread_most=int(min(max(0.0, unread_most), UNREAD_MOST)),
            )
            answer = await self._ask_owner(owner, ask, wish, wait_ms)
        if answer.granted:
            self.asked[wish.call] = owner
        elif answer.is_busy:
            self._hear_backlog(wish.worker, answer.unread)
        return answer

    async def _ask_owner(self, owner, ask, wish, wait_ms):
        """What the owner says; a grant that nobody waits for any more is given back."""
        got = None
        try:
            got = await self.mesh.request(owner, ask, wait_ms + PATIENCE_MS)
        finally:
            if not isinstance(got, PlaceReturn):
                self.mesh.send(owner, PlaceEnd(call=wish.call))
        return got if isinstance(got, PlaceReturn) else PlaceReturn(granted=self._unasked(wish))

    def _unasked(self, wish):
        """The owner is silent: this router's share of K stands until another one owns the book."""
        self.telemetry.count["placesUnasked"] += 1
        worker = self.worker_registry.workers.get(wish.worker)
        share = max(
            1,
            int(self.memory_of(wish.worker) * FILL / max(1, wish.tokens))
            // max(1, len(self.routers()) // 2),
        )
        return worker is not None and worker.running_long < share

    def pace_of(self, worker: str) -> float:
        """Tokens that a worker reads in a millisecond, as far as is known."""
        known = self.worker_registry.workers.get(worker)
        if known is None:
            return self.worker_registry.usual_pace
        return self.worker_registry.pace(known, self.loop.time())

    def on_reading(self, worker: str, tokens: float, elapsed_ms: int):
        """A worker read so many tokens, and nothing else, before a call's first event."""
        known = self.worker_registry.workers.get(worker)
        if known is None or not self.policy.pace:
            return
        known.pace.observe(tokens, elapsed_ms, self.loop.time(), self.worker_registry.usual_pace)
        self.worker_registry.update_usual_pace(known.pace.tokens_per_ms)

    def ended(self, wish: Wish, first_event_ms: int = 0):
        """A call is over; its first event came so long after it was sent, 0 for never."""
        owner = self.asked.pop(wish.call, None)
        if owner == self.me.addr:
            self.place_table.ended(wish.call, first_event_ms=first_event_ms)
        elif owner:
            self.mesh.send(owner, PlaceEnd(call=wish.call, first_event_ms=first_event_ms))

    async def on_place_ask(self, ask, sender):
        """Answer another router's question for a place in a book that is owned here."""
        wish = Wish(
            ask.call,
            ask.episode,
            ask.tenant,
            ask.worker,
            ask.tokens,
            self.loop.time() + ask.left_ms / 1000,
            ask.missing,
        )
        return await self._take(wish, ask.wait_ms, ask.salt, ask.shared, ask.sizes, ask.unread_most)

    async def _take(self, wish, wait_ms, salt, shared, sizes, unread_most):
        """Let a call in at a book that is owned here, unless it begins where too much is to be read."""
        unread = min(int(self.place_table.unread_at(wish.worker)), UNREAD_MOST)
        is_start = not self.place_table.is_open(wish)
        if self.policy.declines and is_start and unread > unread_most:
            self.telemetry.count["placesDeclined"] += 1
            return PlaceReturn(is_busy=True, unread=unread)
        granted = await self.place_table.ask(wish, wait_ms)
        if granted and salt:
            self.on_read(wish.worker, salt, shared, sizes, wish.missing > 0)
        return PlaceReturn(granted=granted, unread=unread)

    def _hear_backlog(self, name, unread):
        worker = self.worker_registry.workers.get(name)
        if worker:
            worker.backlog, worker.backlog_s = unread, self.loop.time()

    def tell_load(self, worker, backlog, running):
        """All routers should know how much is to be read at a worker."""
        known = self.worker_registry.workers.get(worker)
        news = LoadNews(
            worker=worker,
            backlog=min(int(backlog), UNREAD_MOST),
            running=running,
            tokens_per_s=int(known.pace.tokens_per_ms * 1000) if known else 0,
        )
        self.on_load_news(news, "")
        self.broadcast.tell(news)

    def on_load_news(self, news, sender):
        """Take in what the owner of a book says of its worker's load and pace."""
        self._hear_backlog(news.worker, news.backlog)
        worker = self.worker_registry.workers.get(news.worker)
        if worker and news.tokens_per_s and sender:
            pace = news.tokens_per_s / 1000
            self.worker_registry.adopt_pace(worker, pace, self.loop.time())

    def on_place_end(self, end, sender):
        """Give a place back that another router held."""
        self.place_table.ended(end.call, first_event_ms=end.first_event_ms)

    async def _ticking(self):
        while True:
            await next_tick(0.25)
            routers = self.routers()
            self.place_table.tick(
                {
                    name
                    for name in self.worker_registry.workers
                    if self.owners.of(name, routers) == self.me.addr
                }
            )
