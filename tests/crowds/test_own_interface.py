"""Crowds at the routers of the project's own interface."""

import asyncio
import random
import tempfile
import unittest

import attrs

from swiftdeck.bench.caller import Caller
from swiftdeck.bench.fleet import Fleet
from swiftdeck.programs.loop import BootLoop
from swiftdeck.soak import payloads
from swiftdeck.soak.crowd import Crowd, CrowdSize
from swiftdeck.soak.resources import ResourceWatch
from tests.crowds.case import MEBIBYTE, PATIENCE_S

BODY_BYTES = 4 * MEBIBYTE
"""The default of `bodyBytes`."""
MEMORY_MB, DESCRIPTORS = 300, 4100
"""What a machine has by default."""
BASE_PORT, ROUTE = 23400, "/v1/calls"
MANY = CrowdSize(128)
STATUS_MS = 1000


@attrs.frozen
class FleetMachine:
    """The name and the IP of a process of the fleet; all have the same IP."""

    name: str
    ip: str = ""


@attrs.frozen
class FleetProcess:
    """A process of the fleet as the watch of resources sees it."""

    machine: FleetMachine
    child: object

    def is_running(self):
        """Return whether the process exists."""
        return self.child.poll() is None


class OwnInterfaceTest(unittest.TestCase):
    def crowd(self, payload, size=MANY, reads=True):
        """Run one crowd at a router; check the fleet while its connections are open."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        fleet = Fleet(folder, base_port=BASE_PORT, routers=1, workers=2)
        try:
            with asyncio.Runner(loop_factory=BootLoop) as runner:
                runner.run(self._run(fleet, payload, size, reads))
        finally:
            fleet.stop_all()

    async def _run(self, fleet, payload, size, reads):
        fleet.start_all()
        self.assertIsNotNone(await fleet.configure(PATIENCE_S))
        await self._check_ordinary_call(fleet)
        names = [node["name"] for node in [*fleet.site.cores, *fleet.site.routers]]
        processes = [FleetProcess(FleetMachine(name), fleet.processes[name]) for name in names]
        watch = ResourceWatch(processes)
        watch.start()
        crowd = Crowd(fleet.site.routers[0]["http"], payload, size, reads)
        crowd.start()
        try:
            await crowd.wait_sent(PATIENCE_S)
            await self._check_ordinary_call(fleet)
            watch.sample()
            for process in processes:
                name = process.machine.name
                self.assertTrue(process.is_running(), f"{name} ended")
                usage = watch.usage[name]
                self.assertLessEqual(usage.memory_bytes / MEBIBYTE, MEMORY_MB, name)
                self.assertLessEqual(usage.descriptors, DESCRIPTORS, name)
        finally:
            await crowd.close()

    async def _check_ordinary_call(self, fleet):
        """Check that an ordinary call is served."""
        doors = [node["http"] for node in fleet.site.routers]
        caller = Caller(
            "ordinary", doors, lambda *_, **__: None, random.Random(1), fleet.site.keys, scale=0.5
        )
        loop = asyncio.get_running_loop()
        end_s, result = loop.time() + PATIENCE_S, {}
        while not result.get("whole") and loop.time() < end_s:
            result = await caller.call(next(iter(fleet.site.keys)), "tag", ["a short question"])
        self.assertTrue(result.get("whole"), result)

    def test_large_bodies_that_are_whole(self):
        self.crowd(lambda: payloads.whole_body(ROUTE, BODY_BYTES))

    def test_large_bodies_that_stop_short_of_their_end(self):
        self.crowd(lambda: payloads.body_short_of_its_end(ROUTE, BODY_BYTES))

    def test_bodies_that_grow_far_over_the_limit(self):
        self.crowd(lambda: payloads.endless_chunks(ROUTE))

    def test_requests_ahead_for_heads(self):
        request = payloads.request_head(ROUTE, method="HEAD")
        self.crowd(lambda: payloads.requests_ahead(request, 100000), reads=False)

    def test_streams_of_decisions_that_stay_open(self):
        request = payloads.request_head("/v1/decisions", method="GET")
        self.crowd(lambda: [request], CrowdSize(400, rounds=1))


if __name__ == "__main__":
    unittest.main()
