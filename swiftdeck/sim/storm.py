"""Faults drawn from a seed, injected into a whole site in virtual time, judged by the records."""

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
from swiftdeck.sim.town import Town

FAULT_GROUPS = (ProcessFaults, NetworkFaults, DiskFaults, WorkerFaults, OperatorFaults)
TRAFFIC_AFTER_FAULTS_S = 55
READ_EVERY_S = 5
QUIET_MS = 6000


class Storm:
    """One run of a scenario under one seed."""

    def __init__(self, scenario, seed, seconds=60.0, site=None, routers=9, speed=0.1, **settings):
        self.scenario, self.seed, self.seconds = scenario, seed, seconds
        self.town = Town(
            seed,
            site or ("hinokuni" if seed % 2 else "serraria"),
            routers=routers,
            workers=None,
            speed=speed,
            models=2 if seed % 3 == 0 else 1,
            **settings,
        )
        self.random = self.town.world.random
        self.injector = FaultInjector(self.town)
        self.operator = SimOperator(self.injector)
        self.groups = [group(self.injector, self.operator) for group in FAULT_GROUPS]

    @property
    def trace(self):
        """The faults so far, as simulated seconds and text."""
        return self.injector.trace

    def fault(self, name):
        """The function that injects the fault of such a name."""
        group = next(group for group in self.groups if hasattr(group, name))
        return getattr(group, name)

    def run(self) -> dict:
        """Traffic while faults come, then a closing fault; returns breaches and sums."""
        clock = time.time
        with mock.patch("time.time", lambda: clock() + self.injector.wall_offset_s):
            self._run()
        return self._result()

    def _run(self):
        town, world = self.town, self.town.world
        town.start(cap=self.random.choice([2, 4, 8]))
        self.traffic()
        self.quiet()
        self._inject_faults()
        self.injector.end_all()
        town.record("operator")("closing")
        self.ask_steadily()
        world.run(14)
        self.closing()
        self.ask_steadily()
        world.run(16)
        self.operator.read()
        town.caller.stopping = True
        self.injector.end_all()
        world.run(30)
        self.operator.read_back()

    def _inject_faults(self):
        world = self.town.world
        end_s, next_read_s = world.now + self.seconds, world.now
        while world.now < end_s:
            world.run(self.random.uniform(1.0, 5.0))
            self.fault(self.random.choice(SCENARIOS[self.scenario]))()
            if world.now > next_read_s:
                next_read_s = world.now + READ_EVERY_S
                self.operator.read()

    def _result(self):
        town = self.town
        returns = [item for item in town.records if item["kind"] == "return"]
        return {
            "seed": self.seed,
            "breaches": self._breaches(),
            "faults": len(self.trace),
            "returns": len(returns),
            "served": sum(item["whole"] for item in returns),
            "codes": dict(Counter(item["code"] for item in returns)),
            "runs": sum(item["kind"] == "run" for item in town.records),
            "version": town.version,
            "steps": town.world.steps,
            "acts": dict(town.counters()),
        }

    def _breaches(self):
        town = self.town
        breaches = check(town.records, {town.site.apart})
        if town.world.faults:
            breaches["noTraceback"] = [
                f"{name}: {context.get('message')} {context.get('exception')!r}"
                for name, context in town.world.faults[:5]
            ]
        counters = town.counters()
        failed = counters["faults.404"] + counters["http.faults.404"]
        if failed:
            breaches["noHandlerFails"] = [f"{failed} messages or exchanges met an internal fault"]
        return breaches

    def traffic(self):
        """Start agents with long conversations and short calls, either crowded or mostly short."""
        town = self.town
        town.caller.returns = 3
        is_crowded = self.seed // 2 % 2
        agents = {
            name: int(1 + (at < 2) if is_crowded else at < 3)
            for at, name in enumerate(town.site.keys)
        }
        short_rate = 1.5 if is_crowded else 1.0
        seconds = self.seconds + TRAFFIC_AFTER_FAULTS_S
        town.spawn(lambda: town.caller.run(seconds, agents, short_rate))

    def quiet(self):
        """Some seconds in which nothing fails and changes are made."""
        world = self.town.world
        self.town.record("operator")("quiet", untilMs=int(world.now * 1000) + QUIET_MS)
        for _ in range(4):
            self.fault(self.random.choice(["patch", "rekey", "race", "route"]))()
            world.run(1.5)

    def closing(self):
        """Inject the last fault of the run."""
        ClosingFaults(self.injector, self.operator).inject()
        self.town.record("operator")("closing")

    def ask_steadily(self, seconds=12):
        """Call each route once a second, for all agents may be waiting out an outage."""
        town = self.town
        for at in range(seconds):
            for route in sorted(town.caller.book):
                town.world.at(at, lambda route=route: self._ask(route))

    def _ask(self, route):
        caller, tenant = self.town.caller, self.injector.pick(self.town.site.keys)
        parts = [caller.book[route], "again"]
        self.town.spawn(
            lambda: caller.call(tenant, route, parts, max_tokens=16, is_last=True, timeout_s=10)
        )
