"""A router without its callers' door: the real parts of its control, on stand-ins for the rest."""

import asyncio
import random

from swiftdeck.bench.scale.meter import MeshMeter
from swiftdeck.bench.scale.samples import (
    PROMPT,
    WORKER_TOKENS,
    drained,
    long_request,
    members,
    workers_listed,
)
from swiftdeck.chain.cluster_map import ClusterMap
from swiftdeck.config.settings import Settings
from swiftdeck.control.node import Node
from swiftdeck.gateway.admission import Admission
from swiftdeck.gateway.broadcast import Broadcast
from swiftdeck.gateway.following import Following
from swiftdeck.gateway.interfaces import Kept, Reports
from swiftdeck.gateway.kept import KeptTable
from swiftdeck.gateway.listing import Listing
from swiftdeck.gateway.places import Wish
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.traffic.lease import ConfigLease

REPORT_S = 10.0
LIST_S = 2.0
HOLD_S = 0.5
CALL_TIMEOUT_S, PLACE_WAIT_MS, MISSING_TOKENS = 6, 500, 3720


class HollowList:
    """A list of workers of which one drains, and another one a while later."""

    def __init__(self, world, count):
        self.world, self.workers = world, workers_listed(count)

    async def read(self):
        """All workers."""
        await asyncio.sleep(0.01)
        at = int(self.world.now / LIST_S) % len(self.workers)
        return [*self.workers[:at], drained(self.workers[at]), *self.workers[at + 1 :]]


class HollowCaches:
    """Caches that report one part now and then."""

    def __init__(self, rng):
        self.rng, self.number = rng, 0

    def follower(self, addr):
        """Itself."""
        return self

    async def reports(self, since, wait_ms):
        """One part that was kept or dropped."""
        wait_s = self.rng.expovariate(1 / REPORT_S) if since else self.rng.uniform(0, REPORT_S)
        await asyncio.sleep(wait_s)
        self.number += 1
        kept = Kept(since, "1", PROMPT[0][0], PROMPT[0][1], self.number % 2 == 0)
        return Reports(1, since + 1, False, [kept])

    def close(self):
        """Nothing to close."""


class HollowRouter(Node):
    """The control of a router: it asks for places as callers would have it do."""

    def __init__(self, settings, rng, lists, caches, calls_s):
        super().__init__(settings, "router", rng)
        self.meter, self.calls_s = MeshMeter(self.mesh), calls_s
        self.cluster_map = ClusterMap(self.mesh, self.membership, self.news)
        self.worker_registry, self.kept = WorkerRegistry(), KeptTable()
        self.lease = ConfigLease(
            self.me, self.mesh, self.membership, self.cluster_map, self.board, settings.renewMs
        )
        self.broadcast = Broadcast(self.me, self.mesh, self.membership, self.board)
        self.admission = Admission(
            self.me,
            self.mesh,
            self.membership,
            self.worker_registry,
            self.board,
            lambda worker: WORKER_TOKENS,
            self.broadcast,
        )
        self.following = Following(self.admission, self.broadcast, self.kept, caches, self.board)
        self.admission.on_read = self.following.will_keep
        self.listing = Listing(
            self.me,
            self.mesh,
            self.membership,
            lists,
            self.worker_registry,
            self.board,
            settings.listMs,
        )

    async def start(self, load_s):
        """Join, and place calls after some seconds."""
        await self.start_node()
        for part in (self.cluster_map, self.lease, self.admission, self.listing):
            part.start()
        await asyncio.sleep(load_s)
        self.following.start()
        while True:
            await asyncio.sleep(self.random.expovariate(self.calls_s))
            asyncio.ensure_future(self._call())

    async def _call(self):
        if not self.worker_registry.workers:
            return
        call = f"{self.me.name}/{self.random.getrandbits(60):x}"
        worker = self.random.choice(list(self.worker_registry.workers))
        tokens = sum(tokens for _, tokens in PROMPT)
        until_s = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        wish = Wish(call, call, "tenant1", worker, tokens, until_s, MISSING_TOKENS)
        await self.admission.ask(wish, PLACE_WAIT_MS, long_request(), "1")
        await asyncio.sleep(HOLD_S)
        self.admission.ended(wish)


def hollow_router(routers=0, workers=0):
    """A hollow router that knows some others and some workers, and is not started."""
    settings = Settings(name="here", inner="10.0.0.1:7000", http="10.0.0.1:8080")
    node = HollowRouter(settings, random.Random(1), None, HollowCaches(random.Random(1)), 1.0)
    for part in (node.membership, node.admission, node.listing, node.lease):
        part.loop = asyncio.get_running_loop()
    for each in members(routers):
        node.membership.learn(each)
    node.worker_registry.take(workers_listed(workers))
    return node
