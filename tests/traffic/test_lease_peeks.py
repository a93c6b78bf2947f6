"""Tests of the configuration that a router takes from a core's disk before it has a lease."""

import asyncio
import unittest
import zlib
from types import SimpleNamespace

import msgspec

from swiftdeck.config.configuration import Configuration
from swiftdeck.fault import NOT_TAIL, PEER_TIMEOUT
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.sim.world import World
from swiftdeck.traffic.lease import PEEK_PERIOD_S, ConfigLease
from swiftdeck.wire.messages import DurableConfigAsk, DurableConfigReturn

CORES = [f"10.0.0.{number}:7000" for number in (1, 2, 3)]


class PeekTest(unittest.TestCase):
    """Renewals time out as on machines that are down; cores answer as set in `answers`."""

    def setUp(self):
        self.world, self.answers = World(1), {}
        self.world.start("here", "10.0.0.9", lambda: asyncio.sleep(0))
        config = Configuration.empty()
        self.whole_config = {"document": config.bytes(), "digest": config.digest()}

    async def request(self, addr, message, *_):
        if isinstance(message, DurableConfigAsk) and addr in self.answers:
            return self.answers[addr]
        await asyncio.sleep(0.5 if isinstance(message, DurableConfigAsk) else 3.0)
        return PEER_TIMEOUT

    def lease(self):
        mesh = SimpleNamespace(request=self.request, register=lambda *_: None)
        cores = [SimpleNamespace(addr=addr) for addr in CORES]
        membership = SimpleNamespace(alive=lambda role: cores, some=lambda count, role: [])
        view = SimpleNamespace(members=[])
        cluster_map = SimpleNamespace(tail=lambda: CORES[0], view=view, refresh=lambda: None)
        me = SimpleNamespace(name="r1", incarnation=7, addr="10.0.0.9:7000")
        lease = ConfigLease(me, mesh, membership, cluster_map, Telemetry())
        lease.peeks = True
        return lease

    def start_lease(self):
        async def main():
            lease = self.lease()
            lease.start()
            return lease

        return self.world.run_task("here", main)

    def durable_config(self, version, view):
        return DurableConfigReturn(version=version, view=view, **self.whole_config)

    def test_a_configuration_is_taken_while_a_renewal_hangs(self):
        self.answers = {CORES[1]: self.durable_config(4, 9), CORES[2]: NOT_TAIL}
        lease = self.start_lease()
        self.world.run(PEEK_PERIOD_S + 0.1)
        self.assertEqual((lease.held.version, lease.is_held()), (4, False))

    def test_a_packed_configuration_is_taken_and_a_corrupt_one_is_not(self):
        config = Configuration.empty()
        packed = zlib.compress(msgspec.msgpack.encode([config.bytes()]))
        for packed_bytes, version in ((packed, 4), (packed[:-5], None)):
            with self.subTest(version):
                self.setUp()
                response = DurableConfigReturn(
                    version=4, view=9, digest=config.digest(), packed=packed_bytes
                )
                self.answers = {CORES[1]: response}
                lease = self.start_lease()
                self.world.run(PEEK_PERIOD_S + 0.1)
                self.assertEqual(lease.held and lease.held.version, version)

    def test_of_two_tails_the_one_of_the_newer_view_is_used(self):
        self.answers = {CORES[0]: self.durable_config(4, 9), CORES[1]: self.durable_config(5, 10)}
        lease = self.start_lease()
        self.world.run(PEEK_PERIOD_S + 0.1)
        self.assertEqual(lease.held.version, 5)

    def test_the_cores_are_asked_again_until_a_tail_answers(self):
        lease = self.start_lease()
        self.world.run(2.0)
        self.assertIsNone(lease.held)
        self.answers = {CORES[2]: self.durable_config(4, 9)}
        self.world.run(1.0)
        self.assertEqual(lease.held.version, 4)
