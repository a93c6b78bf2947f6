"""Admission of long calls: each worker has one router that owns its slot table, and the others ask it for places.

While the owner doesn't answer, each router uses a share of the worker's capacity without asking.
"""

import asyncio
import math

from swiftdeck.config.policy import ALL_ON
from swiftdeck.gateway.places import FILL, Owners, PlaceTable, Wish
from swiftdeck.runtime.ticks import next_tick
from swiftdeck.wire.messages import LoadNews, PlaceAsk, PlaceEnd, PlaceReturn

RESPONSE_MARGIN_MS = 120
PLACE_ASK_BYTES = 1 << 17
"""The largest frame of a PlaceAsk, which waits in a queue; the head of a request limits its parts."""
UNREAD_TOKENS_MAX = 1 << 31
"""Largest backlog sent in a message, in tokens; more than any worker will have to read."""


class Admission:
    """Asks other routers for places, and keeps the slot tables of the workers that this router owns."""

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
        on_admitted=lambda worker, salt, parts, sizes, is_cold: None,
    ):
        self.me, self.mesh, self.membership, self.worker_registry, self.telemetry = (
            me,
            mesh,
            membership,
            worker_registry,
            telemetry,
        )
        self.memory_of, self.broadcast, self.on_admitted = memory_of, broadcast, on_admitted
        self.owners, self.granting_owners, self.policy = Owners(), {}, policy
        mesh.register(PlaceAsk, self.on_place_ask, True, size_limit=PLACE_ASK_BYTES)
        mesh.register(PlaceEnd, self.on_place_end)
        broadcast.subscribe(LoadNews, self.on_load_news)

    def start(self):
        """Create the slot tables and start their periodic clean-up."""
        self.loop = asyncio.get_running_loop()
        self.place_table = PlaceTable(
            self.telemetry, None, self.memory_of, pace_of=self.pace_of, policy=self.policy
        )
        self.place_table.on_load = self.broadcast_load
        self.place_table.on_reading = self.on_reading
        self.task = asyncio.ensure_future(self._run_ticks())

    def routers(self):
        """Return the addresses of all routers that are not known to be gone."""
        return self.membership.addresses("router")

    def owner(self, worker: str) -> str:
        """Return the address of the router that owns a worker's slot table."""
        return self.owners.of(worker, self.routers())

    async def ask(
        self, wish: Wish, wait_ms: int, request, salt: str, unread_most: float = math.inf
    ) -> PlaceReturn:
        """Ask the owner for a place at a worker.

        The owner may take `wait_ms` to grant it, and declines a new episode when the worker has more than `unread_most`
        tokens to read first.
        """
        owner = self.owner(wish.worker)
        shared, sizes = (
            [part.name for part in request.shared()],
            [part.tokens for part in request.shared()],
        )
        if owner == self.me.addr:
            answer = await self._admit(wish, wait_ms, salt, shared, sizes, unread_most)
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
                unread_most=int(min(max(0.0, unread_most), UNREAD_TOKENS_MAX)),
            )
            answer = await self._ask_owner(owner, ask, wish, wait_ms)
        if answer.granted:
            self.granting_owners[wish.call] = owner
        elif answer.is_busy:
            self._note_backlog(wish.worker, answer.unread)
        return answer

    async def _ask_owner(self, owner, ask, wish, wait_ms):
        """Return the owner's response.

        Without one, the place is released at the owner, as it may have been granted, and the unasked share applies.
        """
        response = None
        try:
            response = await self.mesh.request(owner, ask, wait_ms + RESPONSE_MARGIN_MS)
        finally:
            if not isinstance(response, PlaceReturn):
                self.mesh.send(owner, PlaceEnd(call=wish.call))
        return (
            response
            if isinstance(response, PlaceReturn)
            else PlaceReturn(granted=self._may_use_share(wish))
        )

    def _may_use_share(self, wish):
        """Return whether this router's share of the worker's capacity allows a call that the owner didn't answer.

        The share is the number of such calls that fit the worker's cache, over half the number of routers, and at least 1. It
        applies until another router owns the slot table.
        """
        self.telemetry.count["placesUnasked"] += 1
        worker = self.worker_registry.workers.get(wish.worker)
        share = max(
            1,
            int(self.memory_of(wish.worker) * FILL / max(1, wish.tokens))
            // max(1, len(self.routers()) // 2),
        )
        return worker is not None and worker.running_long < share

    def pace_of(self, worker: str) -> float:
        """Return the estimated pace of a worker in tokens of prompt per millisecond, the usual one for an unknown worker."""
        entry = self.worker_registry.workers.get(worker)
        if entry is None:
            return self.worker_registry.usual_pace
        return self.worker_registry.pace(entry, self.loop.time())

    def on_reading(self, worker: str, tokens: float, elapsed_ms: int):
        """Update a worker's pace: it read only these tokens in the time until a call's first event."""
        entry = self.worker_registry.workers.get(worker)
        if entry is None or not self.policy.pace:
            return
        entry.pace.observe(tokens, elapsed_ms, self.loop.time(), self.worker_registry.usual_pace)
        self.worker_registry.update_usual_pace(entry.pace.tokens_per_ms)

    def end_call(self, wish: Wish, first_event_ms: int = 0):
        """Release a call's place at the owner.

        `first_event_ms` is the time from sending the call to its first event, 0 when none came.
        """
        owner = self.granting_owners.pop(wish.call, None)
        if owner == self.me.addr:
            self.place_table.ended(wish.call, first_event_ms=first_event_ms)
        elif owner:
            self.mesh.send(owner, PlaceEnd(call=wish.call, first_event_ms=first_event_ms))

    async def on_place_ask(self, ask, sender):
        """Answer another router's request for a place in a slot table that is owned here."""
        wish = Wish(
            ask.call,
            ask.episode,
            ask.tenant,
            ask.worker,
            ask.tokens,
            self.loop.time() + ask.left_ms / 1000,
            ask.missing,
        )
        return await self._admit(
            wish, ask.wait_ms, ask.salt, ask.shared, ask.sizes, ask.unread_most
        )

    async def _admit(self, wish, wait_ms, salt, shared, sizes, unread_most):
        """Admit a call to a slot table that is owned here.

        A call that starts an episode is declined when the worker has more than `unread_most` tokens to read.
        """
        unread = min(int(self.place_table.unread_at(wish.worker)), UNREAD_TOKENS_MAX)
        is_new_episode = not self.place_table.is_open(wish)
        if self.policy.declines and is_new_episode and unread > unread_most:
            self.telemetry.count["placesDeclined"] += 1
            return PlaceReturn(is_busy=True, unread=unread)
        granted = await self.place_table.ask(wish, wait_ms)
        if granted and salt:
            self.on_admitted(wish.worker, salt, shared, sizes, wish.missing > 0)
        return PlaceReturn(granted=granted, unread=unread)

    def _note_backlog(self, name, unread):
        worker = self.worker_registry.workers.get(name)
        if worker:
            worker.backlog, worker.backlog_s = unread, self.loop.time()

    def broadcast_load(self, worker, backlog, running):
        """Tell all routers, this one included, the backlog and the pace of a worker that is owned here."""
        entry = self.worker_registry.workers.get(worker)
        news = LoadNews(
            worker=worker,
            backlog=min(int(backlog), UNREAD_TOKENS_MAX),
            running=running,
            tokens_per_s=int(entry.pace.tokens_per_ms * 1000) if entry else 0,
        )
        self.on_load_news(news, "")
        self.broadcast.publish(news)

    def on_load_news(self, news, sender):
        """Note the load and pace of a worker as its owner reports them."""
        self._note_backlog(news.worker, news.backlog)
        worker = self.worker_registry.workers.get(news.worker)
        if worker and news.tokens_per_s and sender:
            pace = news.tokens_per_s / 1000
            self.worker_registry.adopt_pace(worker, pace, self.loop.time())

    def on_place_end(self, end, sender):
        """Release a place that another router held."""
        self.place_table.ended(end.call, first_event_ms=end.first_event_ms)

    async def _run_ticks(self):
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
