"""What each role sends, takes and uses in a fleet of cores and hollow routers, in virtual time."""

import gc
import random
import resource
from collections import Counter

import msgspec

from swiftdeck.bench.measures.figures import spread
from swiftdeck.bench.scale.hollow import HollowCaches, HollowList, HollowRouter
from swiftdeck.bench.scale.meter import MeshMeter, MeteredWorld, mean_per_second, sent_by_kind
from swiftdeck.bench.scale.samples import document
from swiftdeck.config.settings import Settings
from swiftdeck.control.core import Core
from swiftdeck.member.membership import GONE
from swiftdeck.sim.folder import SimFolder
from swiftdeck.wire.messages import Write

WORKERS_EACH = 7.5
CALLS_EACH_S = 0.2
CHANGE_S = 2.0
LOAD_S = 8.0
FOUNDING_LIMIT_S, CHANGE_LIMIT_S, GONE_LIMIT_S = 30, 20, 60


class HollowFleet:
    """Cores with their chain and hollow routers on simulated machines."""

    def __init__(
        self,
        seed,
        routers,
        cores=3,
        tenants=50,
        calls_s=CALLS_EACH_S,
        workers_each=WORKERS_EACH,
        zones=1,
    ):
        self.world, self.up, self.meters = MeteredWorld(seed), {}, {}
        self.lists = HollowList(self.world, max(1, int(routers * workers_each)))
        self.caches = HollowCaches(random.Random(seed))
        self.tenants, self.calls_s, self.zones = tenants, calls_s, zones
        self.routers = {f"router{at}": f"10.2.{at // 250}.{at % 250 + 1}" for at in range(routers)}
        self.cores = {f"core{at}": f"10.1.0.{at + 1}" for at in range(cores)}
        self.seeds = [f"{ip}:7000" for ip in self.cores.values()]

    def _zone(self, name):
        return f"zone{[*self.cores, *self.routers].index(name) % self.zones}"

    def _settings(self, name, ip):
        return Settings(
            name=name,
            inner=f"{ip}:7000",
            http=f"{ip}:8080",
            seeds=self.seeds,
            zone=self._zone(name),
            cores=len(self.cores),
            ackWaitMs=4000,
            lossesBorne=min(1, len(self.cores) - 1),
            archive=False,
        )

    def _start(self, name, ip):
        rng, settings = random.Random(self.world.random.random()), self._settings(name, ip)

        async def start_core():
            node = self.up[name] = Core(settings, SimFolder(), rng)
            self.meters[name] = MeshMeter(node.mesh)
            return await node.start()

        async def start_router():
            node = HollowRouter(settings, rng, self.lists, self.caches, self.calls_s)
            self.up[name], self.meters[name] = node, node.meter
            return await node.start(LOAD_S)

        self.world.start(name, ip, start_core if name in self.cores else start_router)

    def _is_head(self, name):
        core = self.up.get(name)
        return (
            core is not None
            and core.agreement.position() == 0
            and core.agreement.mayServe()
            and core.chain.is_whole()
        )

    def head(self):
        """The core where changes enter, if there is one."""
        return next((name for name in self.cores if self._is_head(name)), None)

    def change(self, number, op, value):
        """Send a change to the head; returns the simulated ms until all routers hold it."""
        name = self.head()
        chain, start_s = self.up[name].chain, self.world.now
        base, change_id = chain.state.stored.version, f"c{number}"
        change = {"t": "config", "id": change_id, "base": base, "op": op, "document": value}
        body = msgspec.msgpack.encode(change | {"author": ""})
        self.world.do(name, lambda: chain.on_write(Write(changeId=change_id, body=body), ""))
        leases = [self.up[each].lease for each in self.routers]
        self.world.run(
            until=lambda: all(lease.held and lease.held.version > base for lease in leases),
            limit_s=CHANGE_LIMIT_S,
        )
        return (self.world.now - start_s) * 1000

    def start(self):
        """Start all of it and put the first configuration."""
        for name, ip in [*self.cores.items(), *self.routers.items()]:
            self._start(name, ip)
        assert self.world.run(until=self.head, limit_s=FOUNDING_LIMIT_S), "no chain"
        self.change(0, "put", document(self.tenants))
        self.world.run(LOAD_S + 3)
        return self

    def measure(self, seconds):
        """A row for each role: what it sent, took and used in some simulated seconds."""
        for meter in self.meters.values():
            meter.reset()
        used_before_s, start_s = Counter(self.world.used_s), self.world.now
        wakes_before = Counter(self.world.wakes)
        change_ms = self._run_changes(start_s, seconds)
        took_s = self.world.now - start_s
        used_s = {
            name: (used - used_before_s[name]) / took_s for name, used in self.world.used_s.items()
        }
        wakes = self.world.wakes - wakes_before
        for role, names in self._roles().items():
            row = self._row(role, names, used_s, took_s)
            row["wakesS"] = round(sum(wakes[name] for name in names) / len(names) / took_s, 1)
            if role == "head":
                row["changeMs"] = spread(change_ms)
            yield row

    def _run_changes(self, start_s, seconds):
        """Send a change every CHANGE_S; returns the ms that each took."""
        took_ms = []
        while self.world.now < start_s + seconds:
            number = len(took_ms) + 1
            value = {"tenants": {"tenant1": {"urgency": number % 5}}}
            took_ms.append(self.change(number, "patch", value))
            next_s = min(start_s + number * CHANGE_S, start_s + seconds)
            self.world.run(max(0.0, next_s - self.world.now) + 1e-6)
        return took_ms

    def lose(self):
        """Kill a router silently; simulated ms until half, and all, of the others hold it gone."""
        name, *others = self.routers
        number, start_s = self.up[name].me.incarnation, self.world.now
        self.world.kill(name, silent=True)

        def knowing():
            known = [self.up[each].membership.known.get(number) for each in others]
            return sum(each is None or each.member.state == GONE for each in known)

        told_ms = []
        for share in (0.5, 1.0):
            while knowing() < share * len(others) and self.world.now < start_s + GONE_LIMIT_S:
                self.world.run(0.1)
            told_ms.append(round((self.world.now - start_s) * 1000))
        return told_ms

    def _roles(self):
        positions = {name: self.up[name].agreement.position() for name in self.cores}
        reader = min(self.routers, key=lambda name: self.up[name].me.addr)
        return {
            "head": [name for name, at in positions.items() if at == 0],
            "tail": [name for name, at in positions.items() if at == len(self.cores) - 1],
            "reader": [reader],
            "router": [name for name in self.routers if name != reader],
        }

    def _row(self, role, names, used_s, took_s):
        meters = [self.meters[name] for name in names]
        return {
            "role": role,
            "routers": len(self.routers),
            "workers": len(self.lists.workers),
            "cores": len(self.cores),
            "sentS": round(mean_per_second(meters, "sent", took_s), 1),
            "takenS": round(mean_per_second(meters, "taken", took_s), 1),
            "sentBytesS": round(mean_per_second(meters, "sent_bytes", took_s)),
            "takenBytesS": round(mean_per_second(meters, "taken_bytes", took_s)),
            "cpuMsS": spread([used_s[name] * 1000 for name in names]),
            "sentByKind": sent_by_kind(meters, took_s),
        }


class FleetSize(msgspec.Struct, frozen=True):
    """The size of a fleet to measure, and for how many simulated seconds."""

    seed: int
    routers: int
    cores: int
    workers_each: float
    seconds: float


def fleet_rows(size):
    """Rows of one fleet, with the time to notice a lost router and the memory of each process."""
    gc.collect()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet = HollowFleet(size.seed, size.routers, size.cores, workers_each=size.workers_each)
    rows, gone_ms = list(fleet.start().measure(size.seconds)), fleet.lose()
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    each = round(grown / (size.routers + size.cores))
    return [row | {"goneMs": gone_ms, "maxRssKBEach": each} for row in rows]
