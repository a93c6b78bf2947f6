"""A whole site in one process: cores, routers and stand-ins for the rest on simulated machines."""

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
"""Time limit for the cores to serve, and again for a router to become the coordinator."""


class SimCluster:
    """Starts the processes of a site in virtual time and collects the records of its stand-ins.

    `up` has the process started last under each name, `all` every core and router that ever ran.
    `settings` go to the cores and routers; `version` is the newest configuration version that an
    operator of this site knows. `folders` has the disks of the cores, which outlive them.
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
        self.late = LateMessages(self.world, random.Random(f"late {seed}"), duplicate_share=1.0)
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
        """Return the IP address of a machine; a new machine gets the next free one."""
        return self.ips.setdefault(
            machine, f"10.0.{len(self.ips) // 200}.{len(self.ips) % 200 + 1}"
        )

    def record(self, name):
        """Return the recorder of one stand-in, whose entries go to `records`."""
        return ListRecord(self.records, name, lambda: self.world.now)

    def _settings(self, node):
        founder_settings = (
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
            **founder_settings,
            **self.settings,
        )

    def start_core(self, name):
        """Start a core on the contents of its disk."""
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
        """Start a worker stand-in with an empty cache; `more` are further options of `Worker`."""
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
        """Start the prefix store, empty."""

        async def main():
            self.up["store"] = Store(self.site.store, self.record("store"))
            await self.up["store"].start()

        self.world.start("store", self.site.store.rpartition(":")[0], main)

    def start_platform(self):
        """Start the stand-in for the platform, with the list of workers."""

        async def main():
            self.up["platform"] = Platform(
                self.site.platform, self.record("platform"), self.site.workers
            )
            await self.up["platform"].start()

        self.world.start("platform", self.site.platform.rpartition(":")[0], main)

    def start(self, **model):
        """Start all processes and send the first configuration, with these fields in its models."""
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
        response = self.change("PUT", self.site.document(**model))
        assert response[0] == 200, response
        self.is_first_start = False
        self.world.run(until=lambda: self.coordinator() is not None, limit_s=START_LIMIT_S)
        self.world.run(0.5)
        return self

    def _start_clients(self):
        """Start the processes of operators and callers, which idle until they are given a task."""
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
        """Return whether some core may answer reads for the chain."""
        return any(self.up[name].chain.may_tell() for name in self.core_names() if name in self.up)

    def core_names(self):
        """Return the names of the running cores."""
        return [node["name"] for node in self.site.cores if node["name"] in self.world.loops]

    def router_names(self):
        """Return the names of the running routers."""
        return [node["name"] for node in self.site.routers if node["name"] in self.world.loops]

    def coordinator(self):
        """Return the first running router that is ready as coordinator and not frozen, or None."""
        for name in self.router_names():
            for coordinator in self.up[name].coordinators.values():
                if coordinator.is_ready() and not self.world.loops[name].frozen:
                    return name
        return None

    def coordinator_names(self):
        """Return the running routers that hold the coordinator duty of some model."""
        return {
            name
            for name in self.router_names()
            for coordinator in self.up[name].coordinators.values()
            if coordinator.duty.is_held()
        }

    def counters(self):
        """Return the summed counters of all cores and routers that ever ran.

        They include those of the HTTP servers, as `http.*`, and of late messages, as `late.*`.
        """
        return sum(
            (
                Counter(node.counters())
                + Counter({f"http.{name}": count for name, count in node.http.count.items()})
                for node in self.all.values()
            ),
            Counter({f"late.{kind}": count for kind, count in self.late.count.items()}),
        )

    def slot_table(self):
        """Return the slots of each worker, as the current coordinator has them."""
        return next(iter(self.up[self.coordinator()].coordinators.values())).slot_table.table

    def ask(self, method, path, body=None, name=None, headers=(), timeout_ms=15000):
        """Send an operator's HTTP request to a process, by default the first running core."""
        name = name or self.core_names()[0]
        return self.world.run_task(
            "operator",
            lambda: fetch_json(
                self.addresses[name]["http"], method, path, body, headers, timeout_ms
            ),
        )

    def change(self, method, document, base=None, name=None, change_id=None):
        """Send an operator's change, based on the newest known version or on `base`, and record it.

        Returns the response of `ask`.
        """
        name = name or self.core_names()[0]
        base = self.version if base is None else base
        headers = [("change-id", change_id)] if change_id else []
        asked_ms = int(self.world.now * 1000)
        response = self.ask(method, f"/v1/config?base={base}", document, name, headers)
        if response and response[0] == 200:
            self.version = max(self.version, response[1]["version"])
        self.record("operator")(
            "change",
            method=method,
            base=base,
            document=document,
            status=response[0] if response else 0,
            answer=response[1] if response else {},
            askedMs=asked_ms,
        )
        return response

    def call(self, tenant, route, parts, **more):
        """Make one call and return its result once it has ended."""
        return self.world.run_task(
            "callers", lambda: self.caller.call(tenant, route, parts, **more), limit_s=200
        )

    def spawn(self, make):
        """Start a coroutine in the callers' process; return a list that will get its result."""
        results = []

        async def main():
            results.append(await make())

        loop = self.world.loops["callers"]
        self.world.run_in("callers", lambda: loop.create_task(main()))
        return results
