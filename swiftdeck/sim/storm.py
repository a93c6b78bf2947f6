"""Injects random faults into a whole site in virtual time and checks the records of the run."""

import time
from collections import Counter
from unittest import mock

from swiftdeck.bench.checker import check
from swiftdeck.sim.faults.closing import ClosingFaults
from swiftdeck.sim.faults.disks import DiskFaults
from swiftdeck.sim.faults.injector import FaultInjector
from swiftdeck.sim.faults.network import NetworkFaults
from swiftdeck.sim.faults.operator import OperatorFaults, SimOperator
from swiftdeck.sim.faults.processes import ProcessFaults
from swiftdeck.sim.faults.scenarios import SCENARIOS
from swiftdeck.sim.faults.workers import WorkerFaults
from swiftdeck.sim.sim_cluster import SimCluster

FAULT_GROUPS = (ProcessFaults, NetworkFaults, DiskFaults, WorkerFaults, OperatorFaults)
TRAFFIC_AFTER_FAULTS_S = 55
READ_EVERY_S = 5
QUIET_PERIOD_MS = 6000


class Storm:
    """One run of a scenario with one seed.

    `seconds` is how long faults are injected; the seed also decides the site and its models.
    """

    def __init__(self, scenario, seed, seconds=60.0, site=None, routers=9, speed=0.1, **settings):
        self.scenario, self.seed, self.seconds = scenario, seed, seconds
        self.cluster = SimCluster(
            seed,
            site or ("hinokuni" if seed % 2 else "serraria"),
            routers=routers,
            workers=None,
            speed=speed,
            models=2 if seed % 3 == 0 else 1,
            **settings,
        )
        self.random = self.cluster.world.random
        self.injector = FaultInjector(self.cluster)
        self.operator = SimOperator(self.injector)
        self.groups = [group(self.injector, self.operator) for group in FAULT_GROUPS]

    @property
    def trace(self):
        """Return the faults so far, as pairs of simulated seconds and text."""
        return self.injector.trace

    def fault(self, name):
        """Return the method that injects the fault of this name."""
        group = next(group for group in self.groups if hasattr(group, name))
        return getattr(group, name)

    def run(self) -> dict:
        """Run traffic under faults, then a closing fault; return the breaches and totals."""
        real_time = time.time
        with mock.patch("time.time", lambda: real_time() + self.injector.wall_offset_s):
            self._run()
        return self._result()

    def _run(self):
        cluster, world = self.cluster, self.cluster.world
        cluster.start(cap=self.random.choice([2, 4, 8]))
        self.traffic()
        self.run_quiet_period()
        self._inject_faults()
        self.injector.end_all()
        cluster.record("operator")("closing")
        self.call_routes_steadily()
        world.run(14)
        self.closing()
        self.call_routes_steadily()
        world.run(16)
        self.operator.read()
        cluster.caller.stopping = True
        self.injector.end_all()
        world.run(30)
        self.operator.read_back()

    def _inject_faults(self):
        world = self.cluster.world
        end_s, next_read_s = world.now + self.seconds, world.now
        while world.now < end_s:
            world.run(self.random.uniform(1.0, 5.0))
            self.fault(self.random.choice(SCENARIOS[self.scenario]))()
            if world.now > next_read_s:
                next_read_s = world.now + READ_EVERY_S
                self.operator.read()

    def _result(self):
        cluster = self.cluster
        returns = [item for item in cluster.records if item["kind"] == "return"]
        return {
            "seed": self.seed,
            "breaches": self._breaches(),
            "faults": len(self.trace),
            "returns": len(returns),
            "served": sum(item["whole"] for item in returns),
            "codes": dict(Counter(item["code"] for item in returns)),
            "runs": sum(item["kind"] == "run" for item in cluster.records),
            "version": cluster.version,
            "steps": cluster.world.steps,
            "acts": dict(cluster.counters()),
        }

    def _breaches(self):
        cluster = self.cluster
        breaches = check(cluster.records, {cluster.site.apart})
        if cluster.world.faults:
            breaches["noTraceback"] = [
                f"{name}: {context.get('message')} {context.get('exception')!r}"
                for name, context in cluster.world.faults[:5]
            ]
        counters = cluster.counters()
        failed = counters["faults.404"] + counters["http.faults.404"]
        if failed:
            breaches["noHandlerFails"] = [f"{failed} messages or exchanges met an internal fault"]
        return breaches

    def traffic(self):
        """Start agents with long conversations along with short calls.

        Depending on the seed, every tenant has agents, or only the first three do.
        """
        cluster = self.cluster
        cluster.caller.returns = 3
        is_crowded = self.seed // 2 % 2
        agents = {
            name: int(1 + (index < 2) if is_crowded else index < 3)
            for index, name in enumerate(cluster.site.keys)
        }
        short_rate = 1.5 if is_crowded else 1.0
        seconds = self.seconds + TRAFFIC_AFTER_FAULTS_S
        cluster.spawn(lambda: cluster.caller.run(seconds, agents, short_rate))

    def run_quiet_period(self):
        """Run six seconds with four changes and without faults."""
        world = self.cluster.world
        self.cluster.record("operator")("quiet", untilMs=int(world.now * 1000) + QUIET_PERIOD_MS)
        for _ in range(4):
            self.fault(self.random.choice(["patch", "rekey", "race", "route"]))()
            world.run(1.5)

    def closing(self):
        """Inject the last fault of the run and record its time."""
        ClosingFaults(self.injector, self.operator).inject()
        self.cluster.record("operator")("closing")

    def call_routes_steadily(self, seconds=12):
        """Call each route every second from now on, as all agents may be waiting out an outage."""
        cluster = self.cluster
        for delay_s in range(seconds):
            for route in sorted(cluster.caller.book):
                cluster.world.call_after(delay_s, lambda route=route: self._call_route(route))

    def _call_route(self, route):
        caller, tenant = self.cluster.caller, self.injector.pick(self.cluster.site.keys)
        parts = [caller.book[route], "again"]
        self.cluster.spawn(
            lambda: caller.call(tenant, route, parts, max_tokens=16, is_last=True, timeout_s=10)
        )
