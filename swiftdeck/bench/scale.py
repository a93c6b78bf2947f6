"""What each role spends as the fleet grows: hollow nodes with the real parts in one process, and the parts timed one by one."""

import asyncio
import gc
import random
import resource
import time
import tracemalloc
from collections import Counter

import msgspec

from swiftdeck.bench.measure import spread
from swiftdeck.board.board import Board
from swiftdeck.chain.chain import Chain, Durable, Holder
from swiftdeck.chain.cluster_map import ClusterMap
from swiftdeck.config.configuration import Configuration
from swiftdeck.config.document import key_digest
from swiftdeck.config.settings import Settings
from swiftdeck.control.core import Core
from swiftdeck.control.node import Node
from swiftdeck.gateway.admission import Admission
from swiftdeck.gateway.following import Following
from swiftdeck.gateway.health import Judge
from swiftdeck.gateway.interfaces import Kept, Listed, Part, Reports, Request
from swiftdeck.gateway.kept import KeptTable
from swiftdeck.gateway.listing import Listing
from swiftdeck.gateway.places import Wish
from swiftdeck.gateway.placing import Placing
from swiftdeck.gateway.routes import RouteTable
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.member.membership import GONE
from swiftdeck.sim.folder import SimFolder
from swiftdeck.sim.world import World
from swiftdeck.traffic.lease import ConfigLease
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import (
    KeptNews,
    LeaseAsk,
    ListNews,
    LoadNews,
    Member,
    MemberList,
    PlaceAsk,
    SwapNews,
    View,
    Write,
)

WORKERS_EACH, CALLS_EACH_S, REPORT_S, LIST_S, CHANGE_S = 7.5, 0.2, 10.0, 2.0, 2.0
HOLD_S, WORKER_TOKENS, PROMPT = 0.5, 143_828, (("book", 13_300), ("own", 3_720))


def listed(count):
    """Workers of one service, as the list has them."""
    return [
        Listed(
            f"i-lm-pool-{at:06}",
            f"10.{64 + at // 62500}.{at // 250 % 250}.{at % 250 + 1}:8080",
            "lm-pool",
            f"zone{at % 21}",
            12,
            False,
            {"m": 1},
        )
        for at in range(count)
    ]


def document(tenants):
    """A configuration with a path for each tenant."""
    return {
        "models": {"m": {"weights": "1"}},
        "services": {
            "lm-pool": {
                "models": ["m"],
                "slots": 12,
                "cacheTokens": WORKER_TOKENS,
                "connectionsMost": 550,
            }
        },
        "tenants": {
            f"tenant{at}": {"keys": [key_digest(f"key{at}")], "urgency": 1} for at in range(tenants)
        },
        "paths": {
            f"path{at}": {
                "host": "h.example",
                "prefix": f"/t{at}/",
                "services": [{"service": "lm-pool", "share": 1.0}],
                "timeoutMs": 6000,
                "tries": 2,
                "streaming": True,
            }
            for at in range(tenants)
        },
    }


def request(number=0):
    """A long request."""
    parts = [Part(*each) for each in PROMPT]
    return Request(
        f"r{number}",
        b"POST",
        b"/t1/",
        "h.example",
        "/t1/1",
        [],
        b"{}",
        "key1",
        "m",
        parts,
        sum(part.tokens for part in parts),
        6000.0,
    )


def short_request():
    """A short one."""
    return Request(
        "s",
        b"POST",
        b"/t1/",
        "h.example",
        "/t1/1",
        [],
        b"{}",
        "key1",
        "m",
        [Part("hello", 92), Part("s", 291)],
        383,
        3000.0,
    )


class CountedWorld(World):
    """A world that adds up the processor time of each simulated process."""

    def __init__(self, seed):
        super().__init__(seed)
        self.used_s = Counter()

    def _within(self, loop, action):
        start_s = time.process_time()
        super()._within(loop, action)
        self.used_s[loop.name] += time.process_time() - start_s


class Meter:
    """Counts what a mesh sends and takes, by kind."""

    def __init__(self, mesh):
        self.sent, self.sent_bytes, self.taken, self.taken_bytes, self.taken_s = (
            Counter(),
            Counter(),
            Counter(),
            Counter(),
            Counter(),
        )
        self.envelope, self.take = mesh._envelope, mesh.take
        mesh._envelope, mesh.take = self._envelope, self._take

    def _envelope(self, message, *more):
        data = self.envelope(message, *more)
        name = type(message).__name__
        self.sent[name] += 1
        self.sent_bytes[name] += len(data)
        return data

    def _take(self, frame, link):
        number, start_s = int.from_bytes(frame[:2], "big"), time.process_time()
        good = self.take(frame, link)
        self.taken_s[number] += time.process_time() - start_s
        self.taken[number] += 1
        self.taken_bytes[number] += len(frame)
        return good

    def reset(self):
        """Begin anew."""
        for each in (self.sent, self.sent_bytes, self.taken, self.taken_bytes, self.taken_s):
            each.clear()


class HollowList:
    """A list of workers of which one drains, and another one a while later."""

    def __init__(self, world, count):
        self.world, self.workers = world, listed(count)

    async def read(self):
        """All workers."""
        await asyncio.sleep(0.01)
        at = int(self.world.now / LIST_S) % len(self.workers)
        return [*self.workers[:at], drained(self.workers[at]), *self.workers[at + 1 :]]


def drained(worker):
    """A worker that the list shows as draining."""
    return Listed(
        worker.name, worker.addr, worker.service, worker.zone, worker.slots, True, worker.weights
    )


class HollowCaches:
    """Caches that report one part now and then."""

    def __init__(self, rng):
        self.rng, self.number = rng, 0

    def follower(self, addr):
        """Itself."""
        return self

    async def reports(self, since, wait_ms):
        """One part that is kept."""
        await asyncio.sleep(
            self.rng.expovariate(1 / REPORT_S) if since else self.rng.uniform(0, REPORT_S)
        )
        self.number += 1
        return Reports(
            1,
            since + 1,
            False,
            [Kept(since, "1", PROMPT[0][0], PROMPT[0][1], self.number % 2 == 0)],
        )

    def close(self):
        """Nothing to close."""


class HollowRouter(Node):
    """The control of a router without its callers' door: it asks for places as callers would have it do."""

    def __init__(self, settings, rng, lists, caches, calls_s):
        super().__init__(settings, "router", rng)
        self.meter, self.calls_s = Meter(self.mesh), calls_s
        self.cluster_map = ClusterMap(self.mesh, self.membership, self.news)
        self.lease = ConfigLease(
            self.me, self.mesh, self.membership, self.cluster_map, self.board, settings.renewMs
        )
        self.worker_registry, self.kept = WorkerRegistry(), KeptTable()
        self.admission = Admission(
            self.me,
            self.mesh,
            self.membership,
            self.worker_registry,
            self.board,
            lambda worker: WORKER_TOKENS,
        )
        self.following = Following(
            self.admission, self.mesh, self.membership, self.kept, caches, self.board
        )
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
        """Join, and place calls after a while."""
        await self.start_node()
        for part in (self.cluster_map, self.lease, self.admission, self.listing):
            part.start()
        await asyncio.sleep(load_s)
        self.following.start()
        while True:
            await asyncio.sleep(self.random.expovariate(self.calls_s))
            asyncio.ensure_future(self._call())

    async def _call(self):
        if self.worker_registry.workers:
            call, worker = (
                f"{self.me.name}/{self.random.getrandbits(60):x}",
                self.random.choice(list(self.worker_registry.workers)),
            )
            wish = Wish(
                call,
                call,
                "tenant1",
                worker,
                sum(tokens for _, tokens in PROMPT),
                asyncio.get_running_loop().time() + 6,
                3720,
            )
            await self.admission.ask(wish, 500, request(), "1")
            await asyncio.sleep(HOLD_S)
            self.admission.ended(wish)


class HollowFleet:
    """Cores with their chain and hollow routers on simulated machines."""

    def __init__(
        self, seed, routers, cores=3, tenants=50, calls_s=CALLS_EACH_S, workers_each=WORKERS_EACH
    ):
        self.world, self.up, self.meters, self.load_s = CountedWorld(seed), {}, {}, 8.0
        self.lists = HollowList(self.world, max(1, int(routers * workers_each)))
        self.tenants, self.caches, self.calls_s = (
            tenants,
            HollowCaches(random.Random(seed)),
            calls_s,
        )
        self.routers = {f"router{at}": f"10.2.{at // 250}.{at % 250 + 1}" for at in range(routers)}
        self.cores = {f"core{at}": f"10.1.0.{at + 1}" for at in range(cores)}
        self.seeds = [f"{ip}:7000" for ip in self.cores.values()]

    def _settings(self, name, ip):
        return Settings(
            name=name,
            inner=f"{ip}:7000",
            http=f"{ip}:8080",
            seeds=self.seeds,
            cores=len(self.cores),
            ackWaitMs=4000,
            lossesBorne=min(1, len(self.cores) - 1),
            archive=False,
        )

    def _start(self, name, ip):
        rng = random.Random(self.world.random.random())

        async def main():
            if name in self.cores:
                node = self.up[name] = Core(self._settings(name, ip), SimFolder(), rng)
                self.meters[name] = Meter(node.mesh)
                return await node.start()
            node = self.up[name] = HollowRouter(
                self._settings(name, ip), rng, self.lists, self.caches, self.calls_s
            )
            self.meters[name] = node.meter
            return await node.start(self.load_s)

        self.world.start(name, ip, main)

    def head(self):
        """The core where changes enter, if there is one."""
        return next(
            (
                name
                for name in self.cores
                if name in self.up
                and self.up[name].agreement.position() == 0
                and self.up[name].agreement.mayServe()
                and self.up[name].chain.is_whole()
            ),
            None,
        )

    def change(self, number, op, value):
        """Bring a change in; gives the simulated ms until all routers hold it."""
        name, base = self.head(), self.up[self.head()].chain.state.stored.version
        body = msgspec.msgpack.encode(
            {
                "t": "config",
                "id": f"c{number}",
                "base": base,
                "op": op,
                "document": value,
                "author": "",
            }
        )
        start_s = self.world.now
        self.world.do(
            name, lambda: self.up[name].chain.on_write(Write(changeId=f"c{number}", body=body), "")
        )
        routers = [self.up[each] for each in self.routers]
        self.world.run(
            until=lambda: all(
                each.lease.held and each.lease.held.version > base for each in routers
            ),
            limit_s=20,
        )
        return (self.world.now - start_s) * 1000

    def start(self):
        """Start all of it and put the first configuration."""
        for name, ip in [*self.cores.items(), *self.routers.items()]:
            self._start(name, ip)
        assert self.world.run(until=self.head, limit_s=30), "no chain"
        self.change(0, "put", document(self.tenants))
        self.world.run(self.load_s + 3)
        return self

    def measure(self, seconds):
        """What each role sent, took and used in such a time, with a change now and then."""
        for meter in self.meters.values():
            meter.reset()
        used_s, start_s, took_ms, number = Counter(self.world.used_s), self.world.now, [], 1
        while self.world.now < start_s + seconds:
            took_ms.append(
                self.change(number, "patch", {"tenants": {"tenant1": {"urgency": number % 5}}})
            )
            self.world.run(
                max(0.0, min(start_s + number * CHANGE_S, start_s + seconds) - self.world.now)
                + 1e-6
            )
            number += 1
        took_s = self.world.now - start_s
        used_s = {name: (used - used_s[name]) / took_s for name, used in self.world.used_s.items()}
        for role, names in self._roles().items():
            yield self._row(role, names, used_s, took_s) | (
                {"changeMs": spread(took_ms)} if role == "head" else {}
            )

    def lose(self):
        """Simulated ms from a router's vanishing until half of the others, and until all of them, hold it for gone."""
        name, *others = self.routers
        number, start_s = self.up[name].me.incarnation, self.world.now
        self.world.kill(name, silent=True)

        def knowing():
            known = [self.up[each].membership.known.get(number) for each in others]
            return sum(each is None or each.member.state == GONE for each in known)

        told_ms = []
        for share in (0.5, 1.0):
            while knowing() < share * len(others) and self.world.now < start_s + 60:
                self.world.run(0.1)
            told_ms.append(round((self.world.now - start_s) * 1000))
        return told_ms

    def _roles(self):
        cores = {name: self.up[name].agreement.position() for name in self.cores}
        roles = {
            "head": [name for name, at in cores.items() if at == 0],
            "tail": [name for name, at in cores.items() if at == len(cores) - 1],
        }
        reader = min(self.routers, key=lambda name: self.up[name].me.addr)
        return roles | {
            "reader": [reader],
            "router": [name for name in self.routers if name != reader],
        }

    def _row(self, role, names, used_s, took_s):
        meters = [self.meters[name] for name in names]

        def mean(field):
            return (
                sum(sum(getattr(meter, field).values()) for meter in meters) / len(meters) / took_s
            )

        kinds = Counter()
        kinds_bytes = Counter()
        for meter in meters:
            kinds.update(meter.sent)
            kinds_bytes.update(meter.sent_bytes)
        return {
            "role": role,
            "routers": len(self.routers),
            "workers": len(self.lists.workers),
            "cores": len(self.cores),
            "sentS": round(mean("sent"), 1),
            "takenS": round(mean("taken"), 1),
            "sentBytesS": round(mean("sent_bytes")),
            "takenBytesS": round(mean("taken_bytes")),
            "cpuMsS": spread([used_s[name] * 1000 for name in names]),
            "sentByKind": {
                kind: [
                    round(count / len(names) / took_s, 2),
                    round(kinds_bytes[kind] / len(names) / took_s),
                ]
                for kind, count in kinds.most_common()
            },
        }


def fleet(work):
    """Rows of one fleet: (seed, routers, cores, workers for each router, seconds)."""
    seed, routers, cores, workers_each, seconds = work
    gc.collect()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    made = HollowFleet(seed, routers, cores, workers_each=workers_each).start()
    rows, gone_ms = list(made.measure(seconds)), made.lose()
    most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return [
        row | {"goneMs": gone_ms, "maxRssKBEach": round((most - before) / (routers + cores))}
        for row in rows
    ]


def timed(action, times, rounds=5):
    """Microseconds of processor time of an action: least, median and most of some rounds."""
    took = []
    for _ in range(rounds):
        start_s = time.process_time()
        for _ in range(times):
            action()
        took.append((time.process_time() - start_s) / times * 1e6)
    return spread(took)


def held_bytes(make, count):
    """Bytes that each of some things takes."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(size / count), made


def _within(make):
    world = World(1)
    world.start("here", "10.0.0.1", lambda: asyncio.sleep(0))

    async def main():
        return list(make())

    return world.do("here", main, limit_s=600)


def members(count):
    """Routers that a process knows of."""
    return [
        Member(
            addr=f"10.2.{at // 250}.{at % 250 + 1}:7000",
            name=f"router{at}",
            role="router",
            zone=f"zone{at % 21}",
            http_addr=f"10.2.{at // 250}.{at % 250 + 1}:8080",
            incarnation=(at + 1) << 32,
        )
        for at in range(count)
    ]


def hollow(routers=0, workers=0):
    """One hollow router that knows so many others and so many workers, and is not started."""
    settings = Settings(name="here", inner="10.0.0.1:7000", http="10.0.0.1:8080")
    node = HollowRouter(settings, random.Random(1), None, HollowCaches(random.Random(1)), 1.0)
    for part in (node.membership, node.admission, node.listing, node.lease):
        part.loop = asyncio.get_running_loop()
    for each in members(routers):
        node.membership.learn(each)
    node.worker_registry.take(listed(workers))
    return node


def frame(node, message):
    """What arrives at a node when a neighbour sends a message."""
    return Mesh("10.0.0.2:7000")._envelope(message)


def parts_by_routers():
    """What a router or a tail does for each message or tick, by the number of routers."""
    for count in (25, 100, 400, 1600):
        node = hollow(count, 12)
        whole = MemberList(members=[node.me, *node.membership.alive()])
        yield {
            "part": "roster exchange, one side",
            "routers": count,
            "bytes": len(bytes(whole)),
            "us": timed(
                lambda: bytes(node.membership.on_member_list(MemberList().parse(bytes(whole)), "")),
                max(1, 400 // count),
            ),
        }
        yield {
            "part": "owner of a worker's book, a look",
            "routers": count,
            "us": timed(lambda: node.admission.owner("i-lm-pool-000001"), 20),
        }
        yield {
            "part": "owner of a worker's book, routers given",
            "routers": count,
            "us": timed(
                lambda routers=node.admission.routers(): node.admission.owners.of(
                    "i-lm-pool-000001", routers
                ),
                200,
            ),
        }
        yield {
            "part": "ring of owners anew",
            "routers": count,
            "us": timed(
                lambda: (
                    setattr(node.admission.owners, "routers", []),
                    node.admission.owner("i-lm-pool-000001"),
                ),
                1,
            ),
        }
        node.mesh.cast = lambda addr, message: node.mesh._envelope(message)
        yield {
            "part": "load told to all",
            "routers": count,
            "us": timed(lambda: node.admission.tell_load("i-lm-pool-000001", 900, 1), 2),
        }
        yield {"part": "lease at the tail", "routers": count, "us": timed(_leases(count), 50)}


def _leases(count):
    chain = object.__new__(Chain)
    chain.loop, chain.lease_ms, chain.board, chain.may_tell, chain.isLast = (
        asyncio.get_running_loop(),
        4000,
        Board(),
        lambda: True,
        lambda: True,
    )
    chain.durable = Durable(7, Configuration.empty())
    chain.agreement = type("Agreement", (), {"decided": View(number=1)})()
    chain.committers, until_s = [], chain.loop.time() + 1e6
    chain.holders = {
        f"router{at}/1": Holder(f"10.2.0.{at}:7000", until_s, 7) for at in range(count)
    }
    data = bytes(
        LeaseAsk(
            router="router1/1", addr="10.2.0.1:7000", held=7, digest=chain.durable.config.digest()
        )
    )
    return lambda: bytes(chain.on_lease_ask(LeaseAsk().parse(data), ""))


def parts_by_workers():
    """What a router does by the number of workers that it knows."""
    for count in (75, 571, 1000, 12000):
        node = hollow(25, count)
        first, second = (
            msgspec.json.encode(
                [drained(each) if at == gone else each for at, each in enumerate(listed(count))]
            )
            for gone in (0, 1)
        )
        bodies = [frame(node, ListNews(digest=b"x" * 8, body=body)) for body in (first, second)]

        def take():
            node.listing.read_s = -1e9
            bodies.reverse()
            node.mesh.take(bodies[0], None)

        yield {
            "part": "list with one worker changed, taken",
            "workers": count,
            "bytes": len(first),
            "us": timed(take, 2),
        }
        board, table, zone = Board(), node.kept, "zone1"
        placing = Placing(zone, Judge(node.worker_registry, board), table, random.Random(1))
        for each in list(node.worker_registry.workers)[:3]:
            table.keep(each, "1", *PROMPT[0])
        workers, salts = (
            node.worker_registry.serving("lm-pool"),
            dict.fromkeys(node.worker_registry.workers, "1"),
        )
        long, short = request(), short_request()
        yield {
            "part": "a short request placed",
            "workers": count,
            "us": timed(lambda: placing.order(short, workers, salts, workers), 2),
        }
        yield {
            "part": "a long request placed",
            "workers": count,
            "us": timed(lambda: placing.order(long, workers, salts, workers), 2),
        }
    for routers, workers in ((25, 188), (100, 750), (400, 3000), (1600, 12000)):
        node = hollow(routers, workers)

        def minds():
            me = node.me.addr
            return [
                each
                for each in node.worker_registry.workers.values()
                if node.admission.owner(each.name) == me
            ]

        def ticks():
            known = node.admission.routers()
            return {
                name
                for name in node.worker_registry.workers
                if node.admission.owners.of(name, known) == node.me.addr
            }

        yield {
            "part": "followers minded, every 500 ms",
            "routers": routers,
            "workers": workers,
            "us": timed(minds, 1, 3),
        }
        yield {
            "part": "books ticked, every 250 ms",
            "routers": routers,
            "workers": workers,
            "us": timed(ticks, 1, 3),
        }


def parts_by_tenants():
    """What a change of the configuration costs a router, by the number of tenants, each with a path of its own."""
    for count in (100, 1000, 8000):
        size, config = held_bytes(
            lambda count=count: Configuration.read(msgspec.json.encode(document(count))), count
        )
        table_size, _ = held_bytes(lambda: RouteTable(config.document), count)
        delta = {"tenants": {"tenant1": {"keys": [key_digest("key1")], "urgency": 2}}}
        told = msgspec.msgpack.encode(delta)
        yield {
            "part": "a change applied",
            "tenants": count,
            "bytes": len(told),
            "us": timed(lambda: config.apply(msgspec.msgpack.decode(told)), 10),
        }
        yield {
            "part": "keys and routes compiled anew",
            "tenants": count,
            "us": timed(
                lambda: (
                    {
                        key: name
                        for name, tenant in config.document.tenants.items()
                        for key in tenant.keys
                    },
                    RouteTable(config.document),
                ),
                3,
            ),
        }
        yield {
            "part": "whole configuration",
            "tenants": count,
            "bytes": len(config.bytes()),
            "bytesHeldEach": size,
            "routesHeldEach": table_size,
            "us": timed(lambda: Configuration.read(config.bytes()), 1, 3),
        }
        routes = RouteTable(config.document)
        yield {
            "part": "route and tenant of a request",
            "tenants": count,
            "us": timed(lambda: (routes.find("h.example", "/t1/1"), key_digest("key1")), 500),
        }


def parts_of_messages():
    """One message taken from its frame to the end of its handler, and one made."""
    node = hollow(3, 12)
    for name, message in [
        ("load news", LoadNews(worker="i-lm-pool-000001", backlog=9000, running=2)),
        ("swap news", SwapNews(workers=["i-lm-pool-000001"], model="m", version=1, for_ms=600)),
        *(
            (
                f"kept news of {count}",
                KeptNews(
                    holder="i-lm-pool-000001",
                    salts=["1"] * count,
                    tokens=[13300] * count,
                    parts=[f"book{at:012}" for at in range(count)],
                ),
            )
            for count in (1, 10, 100)
        ),
    ]:
        if isinstance(message, SwapNews):
            node.mesh.on(SwapNews, lambda news, sender: None)
        data = frame(node, message)
        yield {
            "part": f"{name}, taken",
            "bytes": len(data),
            "us": timed(lambda: node.mesh.take(data, None), 200),
        }
        yield {"part": f"{name}, made", "us": timed(lambda: node.mesh._envelope(message), 200)}
    serial = iter(range(1 << 30))
    books = hollow(3, 12).admission
    books.start()
    books.books.on_load = lambda worker, backlog, running: None

    def place():
        ask = PlaceAsk(
            router="router1",
            call=f"c{next(serial)}",
            episode="e",
            tenant="t",
            worker="i-lm-pool-000001",
            tokens=17020,
            wait_ms=100,
            left_ms=6000,
            salt="1",
            shared=["book"],
            sizes=[13300],
            missing=3720,
        )
        got = PlaceAsk().parse(bytes(ask))
        with_books = books.books.ask(
            Wish(got.call, got.episode, got.tenant, got.worker, got.tokens, 1e9, got.missing), 100
        )
        try:
            with_books.send(None)
        except StopIteration:
            books.books.ended(got.call)

    yield {"part": "a place asked for, given and ended, without telling", "us": timed(place, 200)}


def parts_held():
    """Bytes that each thing known takes in a process."""
    for count in (400, 1600):
        yield {
            "part": "a neighbour known",
            "count": count,
            "bytesHeldEach": held_bytes(lambda count=count: hollow(count), count)[0],
        }
    for count in (1500, 12000):
        yield {
            "part": "a worker known",
            "count": count,
            "bytesHeldEach": held_bytes(lambda count=count: hollow(0, count), count)[0],
        }
    for count, holders in ((10_000, 1), (100_000, 1), (100_000, 4)):

        def keep(count=count, holders=holders):
            table = KeptTable()
            for at in range(count):
                for holder in range(holders):
                    table.keep(f"i-lm-pool-{(at + holder) % 8:06}", "1", f"{at:032x}", 16)
            return table

        yield {
            "part": "a part kept",
            "count": count,
            "holders": holders,
            "bytesHeldEach": held_bytes(keep, count * holders)[0],
        }


async def _over_loopback(times):
    here, there = Mesh("127.0.0.1:23811"), Mesh("127.0.0.1:23812")
    there.on(LoadNews, lambda news, sender: None)
    there.on(LeaseAsk, lambda ask, sender: None)
    news, ask = (
        LoadNews(worker="i-lm-pool-000001", backlog=9000, running=2),
        LeaseAsk(router="router1/1", addr="10.2.0.1:7000", held=7),
    )
    await here.start()
    await there.start()
    rows = {"datagram, sent and taken": [], "question and answer on a kept link": []}
    for _ in range(5):
        start_s = time.process_time()
        for at in range(times):
            here.cast(there.addr, news)
            if at % 50 == 49:
                await asyncio.sleep(0.002)
        rows["datagram, sent and taken"].append((time.process_time() - start_s) / times * 1e6)
        start_s = time.process_time()
        for _ in range(times):
            await here.ask(there.addr, ask)
        rows["question and answer on a kept link"].append(
            (time.process_time() - start_s) / times * 1e6
        )
    here.close()
    there.close()
    return [
        {"part": f"{name}, both sides, real sockets", "us": spread(took)}
        for name, took in rows.items()
    ]


def parts():
    """All parts timed or weighed one by one."""
    for make in (
        parts_of_messages,
        parts_by_tenants,
        parts_by_workers,
        parts_by_routers,
        parts_held,
    ):
        yield from _within(make)
    yield from asyncio.run(_over_loopback(1000))


def table(rows, columns):
    """Rows as lines of a table."""

    def cell(value):
        return (
            " / ".join(map(str, value))
            if isinstance(value, list)
            else ""
            if value is None
            else str(value)
        )

    return [
        "| " + " | ".join(columns) + " |",
        "|" + "---|" * len(columns),
        *("| " + " | ".join(cell(row.get(column)) for column in columns) + " |" for row in rows),
    ]


FLEET = (
    "role",
    "routers",
    "workers",
    "cores",
    "sentS",
    "takenS",
    "sentBytesS",
    "takenBytesS",
    "cpuMsS",
    "changeMs",
    "goneMs",
    "maxRssKBEach",
)
PARTS = (
    "part",
    "routers",
    "workers",
    "tenants",
    "count",
    "holders",
    "bytes",
    "us",
    "bytesHeldEach",
    "routesHeldEach",
)
