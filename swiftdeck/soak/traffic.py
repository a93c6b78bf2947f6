"""Simulated clients: some choose a router per request, others keep a connection, idle or busy."""

import asyncio
import random

import attrs

from swiftdeck.bench.platform_api.client import Client
from swiftdeck.soak.site import GUESTS, HOST, MODEL, MODEL_SERVICE, ROUTES, TENANTS

SHORT_ANSWER_TOKENS, LONG_ANSWER_TOKENS, LONGEST_ROUTE_TIMEOUT_S = 6, (120, 220), 7.0
SHARED_PREFIXES, SHARED_PREFIX_TOKENS, OWN_PROMPT_TOKENS, SHORT_PROMPT_TOKENS = 4, 13000, 1500, 300
PLAIN_ROUTES, STREAM_ROUTES = ("safe", "once", "public", "slow-once"), ("stream", "resume")
CHANGED_ROUTE_SHARE, SHORT_SHARE, PLAIN_SHARE, KEEP_CONNECTION_SHARE = 0.2, 0.25, 0.45, 0.7
IDLE_PAUSE_S = (0.5, 6.0)
LEAVE_AFTER_S = (0.02, 1.5)
"""Range of times after which a client that does not wait for its answer closes the connection."""
ROUTES_BY_NAME = {route.name: route for route in ROUTES}


@attrs.frozen
class TrafficSize:
    """Request rates and numbers of clients of each kind."""

    roving_per_s: float = 7.0
    resting: int = 6
    busy: int = 3
    leaving_per_s: float = 2.0


class StickyClient(Client):
    """A client that stays with one router as long as its connection to it is kept open."""

    def __init__(self, name, record, random, doors):
        super().__init__(name, record, random, doors)
        self.sticky_door = None

    def _door(self):
        connection = self.kept.get(self.sticky_door[1]) if self.sticky_door else None
        if connection is None or connection.gone:
            self.sticky_door = super()._door()
        return self.sticky_door


class Traffic:
    """Starts the clients, and waits for their open requests at the end."""

    def __init__(self, record, seed, doors, recent_paths, size=None):
        self.record, self.random, self.doors = record, random.Random(seed), doors
        self.recent_paths, self.size = recent_paths, size or TrafficSize()
        self.tasks, self.open_requests, self.count = [], set(), 0
        self.tenants = [*TENANTS, *TENANTS, *GUESTS]
        self.is_ending = False

    def _child_random(self):
        return random.Random(self.random.random())

    def start(self):
        """Start all clients."""
        roving = Client("roving", self.record("clients"), self._child_random(), self.doors)
        leaving = Client("leaving", self.record("clients"), self._child_random(), self.doors)
        clients = [self._run_roving_client(roving), self._run_leaving_client(leaving)]
        for number in range(self.size.resting):
            clients.append(self._run_idle_client(self._sticky_client(f"resting{number}")))
        for number in range(self.size.busy):
            clients.append(self._run_busy_client(self._sticky_client(f"busy{number}")))
        self.tasks = [asyncio.ensure_future(client) for client in clients]

    def _sticky_client(self, name):
        return StickyClient(name, self.record("clients"), self._child_random(), self.doors)

    async def _run_roving_client(self, client):
        while not self.is_ending:
            await asyncio.sleep(self.random.expovariate(self.size.roving_per_s))
            task = asyncio.ensure_future(self._send_random_request(client))
            self.open_requests.add(task)
            task.add_done_callback(self.open_requests.discard)

    async def _run_leaving_client(self, client):
        while not self.is_ending:
            await asyncio.sleep(self.random.expovariate(self.size.leaving_per_s))
            leaves_s = self.random.uniform(*LEAVE_AFTER_S)
            task = asyncio.ensure_future(self._send_random_request(client, leaves_s=leaves_s))
            self.open_requests.add(task)
            task.add_done_callback(self.open_requests.discard)

    async def _run_idle_client(self, client):
        while not self.is_ending:
            await self._send_random_request(client, keeps=True)
            await asyncio.sleep(self.random.uniform(*IDLE_PAUSE_S))

    async def _run_busy_client(self, client):
        while not self.is_ending:
            out = self.random.randint(*LONG_ANSWER_TOKENS)
            name = self.random.choice(STREAM_ROUTES)
            await self._send_request(client, name, self._prompt(), out, keeps=True)

    async def _send_random_request(self, client, keeps=None, leaves_s=None):
        keeps = self.random.random() < KEEP_CONNECTION_SHARE if keeps is None else keeps
        draw = self.random.random()
        if draw < CHANGED_ROUTE_SHARE:
            path = self.random.choice(self.recent_paths())
            return await self._send_request(
                client, "safe", path=path, keeps=keeps, leaves_s=leaves_s
            )
        if draw < CHANGED_ROUTE_SHARE + SHORT_SHARE:
            parts = [("greeting", 90), (f"short{self.count}", SHORT_PROMPT_TOKENS)]
            return await self._send_request(
                client, "resume", parts, SHORT_ANSWER_TOKENS, keeps=keeps, leaves_s=leaves_s
            )
        if draw < CHANGED_ROUTE_SHARE + SHORT_SHARE + PLAIN_SHARE:
            name = self.random.choice(PLAIN_ROUTES)
            return await self._send_request(client, name, keeps=keeps, leaves_s=leaves_s)
        out = self.random.randint(SHORT_ANSWER_TOKENS, LONG_ANSWER_TOKENS[0])
        name = self.random.choice(STREAM_ROUTES)
        return await self._send_request(
            client, name, self._prompt(), out, keeps=keeps, leaves_s=leaves_s
        )

    def _prompt(self):
        shared_prefix = self.random.randrange(SHARED_PREFIXES)
        return [
            (f"book{shared_prefix}", SHARED_PREFIX_TOKENS),
            (f"own{self.count}", OWN_PROMPT_TOKENS),
        ]

    async def _send_request(
        self, client, name, parts=(), out=SHORT_ANSWER_TOKENS, path=None, keeps=True, leaves_s=None
    ):
        self.count += 1
        route, tenant = ROUTES_BY_NAME[name], self.random.choice(self.tenants)
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
        """Send no new requests; return whether all open ones ended in time."""
        self.is_ending = True
        _, unfinished = await asyncio.wait(
            [*self.tasks, *self.open_requests], timeout=2 * LONGEST_ROUTE_TIMEOUT_S
        )
        for task in unfinished:
            task.cancel()
        return not unfinished
