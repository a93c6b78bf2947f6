"""Clients of the site: some choose a router each time, others rest or stay busy on one."""

import asyncio
import random

import attrs

from swiftdeck.bench.platform_api.client import Client
from swiftdeck.soak.site import HOST, MODEL, MODEL_SERVICE, ROUTES, TENANTS

SHORT, LONG, WHOLE_ROUTE_S = 6, (120, 220), 7.0
BOOKS, BOOK_TOKENS, OWN_TOKENS, SHORT_TOKENS = 4, 13000, 1500, 300
PLAIN_NAMES, STREAM_NAMES = ("safe", "once", "public", "slow-once"), ("stream", "resume")
CHANGE_SHARE, SHORT_SHARE, PLAIN_SHARE, KEEP_SHARE = 0.2, 0.25, 0.45, 0.7
REST_S = (0.5, 6.0)
LEAVES_S = (0.02, 1.5)
"""After how long a client closes its connection that doesn't wait for its answer."""
BY_NAME = {each.name: each for each in ROUTES}


@attrs.frozen
class TrafficSize:
    """How much there is of each kind of client."""

    roving_per_s: float = 7.0
    resting: int = 6
    busy: int = 3
    leaving_per_s: float = 2.0


class StickyClient(Client):
    """A client that stays with its door as long as its connection there is kept."""

    def __init__(self, name, record, random, doors):
        super().__init__(name, record, random, doors)
        self.held = None

    def _door(self):
        link = self.kept.get(self.held[1]) if self.held else None
        if link is None or link.gone:
            self.held = super()._door()
        return self.held


class Traffic:
    """Starts the clients, and waits for what they have open."""

    def __init__(self, record, seed, doors, recent_paths, size=None):
        self.record, self.random, self.doors = record, random.Random(seed), doors
        self.recent_paths, self.size = recent_paths, size or TrafficSize()
        self.tasks, self.open, self.count = [], set(), 0
        self.is_ending = False

    def _random(self):
        return random.Random(self.random.random())

    def start(self):
        """Begin all clients."""
        roving = Client("roving", self.record("clients"), self._random(), self.doors)
        leaving = Client("leaving", self.record("clients"), self._random(), self.doors)
        clients = [self._rove(roving), self._leave(leaving)]
        for number in range(self.size.resting):
            clients.append(self._rest(self._sticky(f"resting{number}")))
        for number in range(self.size.busy):
            clients.append(self._stay_busy(self._sticky(f"busy{number}")))
        self.tasks = [asyncio.ensure_future(each) for each in clients]

    def _sticky(self, name):
        return StickyClient(name, self.record("clients"), self._random(), self.doors)

    async def _rove(self, client):
        while not self.is_ending:
            await asyncio.sleep(self.random.expovariate(self.size.roving_per_s))
            task = asyncio.ensure_future(self._one_of_any(client))
            self.open.add(task)
            task.add_done_callback(self.open.discard)

    async def _leave(self, client):
        while not self.is_ending:
            await asyncio.sleep(self.random.expovariate(self.size.leaving_per_s))
            leaves_s = self.random.uniform(*LEAVES_S)
            task = asyncio.ensure_future(self._one_of_any(client, leaves_s=leaves_s))
            self.open.add(task)
            task.add_done_callback(self.open.discard)

    async def _rest(self, client):
        while not self.is_ending:
            await self._one_of_any(client, keeps=True)
            await asyncio.sleep(self.random.uniform(*REST_S))

    async def _stay_busy(self, client):
        while not self.is_ending:
            out = self.random.randint(*LONG)
            name = self.random.choice(STREAM_NAMES)
            await self._ask(client, name, self._prompt(), out, keeps=True)

    async def _one_of_any(self, client, keeps=None, leaves_s=None):
        keeps = self.random.random() < KEEP_SHARE if keeps is None else keeps
        drawn = self.random.random()
        if drawn < CHANGE_SHARE:
            path = self.random.choice(self.recent_paths())
            return await self._ask(client, "safe", path=path, keeps=keeps, leaves_s=leaves_s)
        if drawn < CHANGE_SHARE + SHORT_SHARE:
            parts = [("greeting", 90), (f"short{self.count}", SHORT_TOKENS)]
            return await self._ask(client, "resume", parts, SHORT, keeps=keeps, leaves_s=leaves_s)
        if drawn < CHANGE_SHARE + SHORT_SHARE + PLAIN_SHARE:
            name = self.random.choice(PLAIN_NAMES)
            return await self._ask(client, name, keeps=keeps, leaves_s=leaves_s)
        out = self.random.randint(SHORT, LONG[0])
        name = self.random.choice(STREAM_NAMES)
        return await self._ask(client, name, self._prompt(), out, keeps=keeps, leaves_s=leaves_s)

    def _prompt(self):
        book = self.random.randrange(BOOKS)
        return [(f"book{book}", BOOK_TOKENS), (f"own{self.count}", OWN_TOKENS)]

    async def _ask(self, client, name, parts=(), out=SHORT, path=None, keeps=True, leaves_s=None):
        self.count += 1
        route, tenant = BY_NAME[name], self.random.choice(TENANTS)
        is_model = route.service == MODEL_SERVICE
        await client.ask(
            HOST,
            (path or route.path) + str(self.count % 50),
            key="" if route.is_public else self.random.choice(tenant.keys),
            kind=route.kind,
            resumable=route.is_resumable,
            model=MODEL if is_model else "",
            parts=parts if is_model else (),
            out=out,
            within_ms=route.timeout_ms,
            aim_ms=route.target_ms,
            keeps=keeps,
            leaves_s=leaves_s,
        )

    async def finish(self) -> bool:
        """Send nothing more; whether all that was open came to an end in time."""
        self.is_ending = True
        _, late = await asyncio.wait([*self.tasks, *self.open], timeout=2 * WHOLE_ROUTE_S)
        for task in late:
            task.cancel()
        return not late
