"""A whole site in one process: cores, routers and stand-ins on simulated machines."""

import asyncio
import random
from collections import Counter

from swiftdeck.bench.caller import Caller
from swiftdeck.bench.platform import Platform
from swiftdeck.bench.record import ListRecord
from swiftdeck.bench.site import plan_site
from swiftdeck.bench.store import Store
from swiftdeck.bench.worker import Worker
from swiftdeck.config.settings import Settings
from swiftdeck.control.core import Core
from swiftdeck.http.client import fetch_json
from swiftdeck.sim.folder import SimFolder
from swiftdeck.sim.late import LateMessages
from swiftdeck.sim.world import World
from swiftdeck.traffic.router import Router

START_LIMIT_S = 30
"""How long the cores may take to serve, and a router to coordinate."""


class SimCluster:
    """Starts the processes of a site in virtual time, and collects the records.

    `up` has the newest process of each name, `all` every one that ever ran. `settings` go to the
    cores and routers; `version` is the newest one that an operator of this site knows.
    """

    def __init__(
        self,
        seed=1,
        site="hinokuni",
        routers=3,
        workers=2,
        speed=0.2,
        models=1,
        cores=3,
        names_founders=False,
        **settings,
    ):
        self.world = World(seed)
        self.late = LateMessages(self.world, random.Random(f"late {seed}"), again_share=1.0)
        self.ips = {}
        self.site = plan_site(
            site, self.ip, routers=routers, workers=workers, models=models, cores=cores
        )
        self.settings, self.speed = settings, speed
        self.records, self.folders, self.up = [], {}, {}
        self.addresses = {node["name"]: node for node in [*self.site.cores, *self.site.routers]}
        self.seeds = self.site.seeds()
        self.names_founders, self.is_first_start = names_founders, True
        self.version, self.all = 0, {}

    def ip(self, machine):
        """The address of a machine."""
        return self.ips.setdefault(
            machine, f"10.0.{len(self.ips) // 200}.{len(self.ips) % 200 + 1}"
        )

    def record(self, who):
        """The sink that takes what one stand-in saw."""
        return ListRecord(self.records, who, lambda: self.world.now)

    def _settings(self, node):
        founding = (
            {"founders": self.seeds, "mayFound": self.is_first_start} if self.names_founders else {}
        )
        return Settings(
            name=node["name"],
            inner=node["inner"],
            http=node["http"],
            zone=node["zone"],
            seeds=self.seeds,
            platform=self.site.platform,
            store=self.site.store,
            **founding,
            **self.settings,
        )

    def start_core(self, name):
        """Start a core on what its disk has."""
        node = self.addresses[name]
        folder = self.folders.setdefault(name, SimFolder())

        async def main():
            self.up[name] = self.all[len(self.all)] = Core(
                self._settings(node), folder, random.Random(self.world.random.random())
            )
            self.late.install(name, self.up[name].mesh)
            await self.up[name].start()

        self.world.start(name, node["inner"].rpartition(":")[0], main)

    def start_router(self, name):
        """Start a router."""
        node = self.addresses[name]

        async def main():
            self.up[name] = self.all[len(self.all)] = Router(
                self._settings(node), random.Random(self.world.random.random())
            )
            self.late.install(name, self.up[name].mesh)
            await self.up[name].start()

        self.world.start(name, node["inner"].rpartition(":")[0], main)

    def start_worker(self, name, weights="w1", **more):
        """Start a worker stand-in with an empty cache."""
        plan = next(worker for worker in self.site.workers if worker["name"] == name)

        async def main():
            self.up[name] = Worker(
                name,
                plan["addr"],
                self.record(name),
                random.Random(self.world.random.random()),
                weights,
                self.site.store,
                **({"speed": self.speed} | more),
            )
            await self.up[name].start()

        self.world.start(name, plan["addr"].rpartition(":")[0], main)

    def start_store(self):
        """Start the store, empty."""

        async def main():
            self.up["store"] = Store(self.site.store, self.record("store"))
            await self.up["store"].start()

        self.world.start("store", self.site.store.rpartition(":")[0], main)

    def start_platform(self):
        """Start the platform."""

        async def main():
            self.up["platform"] = Platform(
                self.site.platform, self.record("platform"), self.site.workers
            )
            await self.up["platform"].start()

        self.world.start("platform", self.site.platform.rpartition(":")[0], main)

    def start(self, **model):
        """Start everything and put the first configuration, with these fields of its models."""
        for node in self.site.cores:
            self.start_core(node["name"])
        self.start_platform()
        self.start_store()
        for worker in self.site.workers:
            self.start_worker(worker["name"])
        for node in self.site.routers:
            self.start_router(node["name"])
        self._start_clients()
        self.world.run(until=self.cores_serve, limit_s=START_LIMIT_S)
        answer = self.change("PUT", self.site.document(**model))
        assert answer[0] == 200, answer
        self.is_first_start = False
        self.world.run(until=lambda: self.coordinator() is not None, limit_s=START_LIMIT_S)
        self.world.run(0.5)
        return self

    def _start_clients(self):
        """Start the machines of operators and callers, which do nothing by themselves."""
        for machine in ("operator", "callers"):
            self.world.start(machine, self.ip(machine), lambda: asyncio.sleep(0))
        names = {node["http"]: node["name"] for node in self.site.routers}
        self.caller = Caller(
            "c",
            list(names),
            self.record("caller"),
            random.Random(self.world.random.random()),
            self.site.keys,
            routers=names,
        )

    def cores_serve(self):
        """Whether some core may answer for the chain."""
        return any(self.up[name].chain.may_tell() for name in self.core_names() if name in self.up)

    def core_names(self):
        """Cores that run."""
        return [node["name"] for node in self.site.cores if node["name"] in self.world.loops]

    def router_names(self):
        """Routers that run."""
        return [node["name"] for node in self.site.routers if node["name"] in self.world.loops]

    def coordinator(self):
        """The name of the router that keeps the books, if one does."""
        for name in self.router_names():
            for coordinator in self.up[name].coordinators.values():
                if coordinator.is_ready() and not self.world.loops[name].frozen:
                    return name
        return None

    def coordinator_names(self):
        """The routers that keep the books of some model now."""
        return {
            name
            for name in self.router_names()
            for coordinator in self.up[name].coordinators.values()
            if coordinator.duty.is_held()
        }

    def counters(self):
        """All counters of all processes that ever ran, with those of their HTTP servers."""
        return sum(
            (
                Counter(node.counters())
                + Counter({f"http.{name}": count for name, count in node.http.count.items()})
                for node in self.all.values()
            ),
            Counter({f"late.{kind}": count for kind, count in self.late.count.items()}),
        )

    def slot_table(self):
        """The books of the present coordinator."""
        return next(iter(self.up[self.coordinator()].coordinators.values())).slot_table.table

    def ask(self, method, path, body=None, name=None, headers=(), timeout_ms=15000):
        """An operator's exchange with a process."""
        name = name or self.core_names()[0]
        return self.world.run_task(
            "operator",
            lambda: fetch_json(
                self.addresses[name]["http"], method, path, body, headers, timeout_ms
            ),
        )

    def change(self, method, document, base=None, name=None, change_id=None):
        """An operator's change on the newest version or on `base`, recorded with what came back."""
        name = name or self.core_names()[0]
        base = self.version if base is None else base
        headers = [("change-id", change_id)] if change_id else []
        asked_ms = int(self.world.now * 1000)
        got = self.ask(method, f"/v1/config?base={base}", document, name, headers)
        if got and got[0] == 200:
            self.version = max(self.version, got[1]["version"])
        self.record("operator")(
            "change",
            method=method,
            base=base,
            document=document,
            status=got[0] if got else 0,
            answer=got[1] if got else {},
            askedMs=asked_ms,
        )
        return got

    def call(self, tenant, route, parts, **more):
        """One call, to its return."""
        return self.world.run_task(
            "callers", lambda: self.caller.call(tenant, route, parts, **more), limit_s=200
        )

    def spawn(self, make):
        """Run a coroutine of the callers beside all else; its result will be in the list."""
        box = []

        async def main():
            box.append(await make())

        loop = self.world.loops["callers"]
        self.world.run_in("callers", lambda: loop.create_task(main()))
        return box
