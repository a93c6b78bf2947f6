"""A site of real processes under crowds, and what must hold of it whatever a crowd does."""

import asyncio
import random
import tempfile
import unittest

from swiftdeck.bench.platform_api.client import Client
from swiftdeck.bench.platform_api.site_forms import MachineLimits
from swiftdeck.http.client import fetch_json
from swiftdeck.programs.loop import BootLoop
from swiftdeck.runtime.memory_pool import MEBIBYTE
from swiftdeck.soak.addresses import LoopbackBlock
from swiftdeck.soak.operators import Operators
from swiftdeck.soak.processes import SiteProcesses
from swiftdeck.soak.resources import ResourceWatch
from swiftdeck.soak.site import HOST, Site, generated_route
from swiftdeck.soak.stand_ins import StandIns

ROUTER_LIMITS = MachineLimits(memory_mb=160, file_handles=400)
CORE_LIMITS = MachineLimits(memory_mb=296, file_handles=400)
PATIENCE_S = 60.0
"""How long a test waits for what must come about; no check depends on how long it takes."""
READY_POLL_S, STOP_TIMEOUT_S = 0.1, 0.0
MANY_ROUTES = 2000


def with_many_routes(document):
    """Return a configuration with many more routes."""
    routes = [generated_route(100000 + number).outward() for number in range(MANY_ROUTES)]
    return document | {"routes": [*document["routes"], *routes]}


class CrowdCase(unittest.TestCase):
    """Runs crowds against a site of three cores and one router.

    After each crowd, while its connections are still open: every process runs, each stayed within
    the memory and the descriptors of its machine, and an ordinary request is served. `crowd_wait_s`
    is how long a crowd may take to send all it has.
    """

    crowd_wait_s = PATIENCE_S

    def run_crowds(self, crowds, document=None):
        """Start a site, let the crowds come one after another, and check the site after each.

        `crowds` takes the site and returns a list of crowds.
        """
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        with asyncio.Runner(loop_factory=BootLoop) as runner:
            runner.run(self._run(crowds, document))

    def _record(self, source):
        return lambda *_, **__: None

    async def _run(self, crowds, document):
        site = Site(
            LoopbackBlock(), routers=1, limits={"router": ROUTER_LIMITS, "core": CORE_LIMITS}
        )
        self.site, self.processes = site, SiteProcesses(site, self.folder)
        self.stand_ins = StandIns(site, self._record, 1)
        self.operators = Operators(site, self._record, 1, self.stand_ins.named)
        self.client = Client(
            "ordinary", self._record(""), random.Random(1), self.stand_ins.balancer.doors
        )
        try:
            await self._start_site(document)
            for crowd in crowds(site):
                await self._meet(crowd)
        finally:
            self.processes.stop_all(STOP_TIMEOUT_S)
            self.stand_ins.stop()
            site.block.release()

    async def _start_site(self, document):
        self.processes.start_all()
        await self.stand_ins.start()
        self.assertEqual(await self.operators.configure(), 200)
        if document is not None:
            operator = self.operators.configuration_operators[0]
            status = await operator.put(document(operator.document), next(operator.versions))
            self.assertEqual(status, 200)
        await self._until(self.stand_ins.balancer.ready, "no router is ready")
        self.watch = ResourceWatch(self.processes.by_name.values())
        self.watch.start()

    async def _until(self, condition, what):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + PATIENCE_S
        while not condition():
            self.assertLess(loop.time(), end_s, what)
            await asyncio.sleep(READY_POLL_S)

    async def _meet(self, crowd):
        """Let a crowd send all it has, and check the site while the crowd stays."""
        crowd.start()
        try:
            await crowd.wait_sent(self.crowd_wait_s)
            self.watch.sample()
            self.check_processes()
            await self.check_ordinary_request()
            await self.check_ordinary_change()
            self.check_processes()
            self.assertGreaterEqual(crowd.opened, 1, "the crowd never came")
        finally:
            await crowd.close()

    def check_processes(self):
        """Check that all processes run, within their memory and descriptors."""
        for process in self.processes.by_name.values():
            name = process.machine.name
            self.assertTrue(process.is_running(), f"{name} ended: {self.last_lines(process)}")
            limits, usage = self.site.limits[process.machine.role], self.watch.usage[name]
            memory_mb = usage.memory_bytes / MEBIBYTE
            self.assertLessEqual(memory_mb, limits.memory_mb, f"memory of {name} in MB")
            self.assertLessEqual(usage.descriptors, limits.file_handles, f"descriptors of {name}")

    @staticmethod
    def last_lines(process):
        """Return the end of a process's log."""
        return process.log_path.read_text()[-2000:]

    async def check_ordinary_request(self):
        """Check that an ordinary request is served."""
        loop = asyncio.get_running_loop()
        end_s, router = loop.time() + PATIENCE_S, self.site.routers[0]
        status = None
        while status != 200 and loop.time() < end_s:
            result = await self.client.ask(
                HOST, "/safe/1", key="key-a1", door=(router.name, router.http), keeps=False
            )
            status = result["status"] if result["complete"] else None
        self.assertEqual(status, 200, "no ordinary request is served")

    async def check_ordinary_change(self):
        """Check that an operator's change is acknowledged by the cores."""
        operator = self.operators.configuration_operators[0]
        version = next(operator.versions)
        status = await operator.patch(version, put={"routes": [generated_route(version).outward()]})
        self.assertEqual(status, 200, "no change of the configuration is acknowledged")
        for core in self.site.cores:
            self.assertTrue(await self._shows_configuration(core), f"{core.name} answers no read")

    @staticmethod
    async def _shows_configuration(core):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + PATIENCE_S
        while loop.time() < end_s:
            response = await fetch_json(core.http, "GET", "/swiftdeck/config")
            if response and response[0] == 200:
                return True
            await asyncio.sleep(READY_POLL_S)
        return False
