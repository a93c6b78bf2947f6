"""Tests of the configuration that a router takes before it has a lease."""

import asyncio
import unittest
import zlib
from types import SimpleNamespace

import msgspec

from swiftdeck.config.configuration import Configuration
from swiftdeck.fault import NOT_TAIL, PEER_TIMEOUT
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.sim.world import World
from swiftdeck.traffic.lease import PEEK_AGAIN_S, ConfigLease
from swiftdeck.wire.messages import DurableConfigAsk, DurableConfigReturn

CORES = [f"10.0.0.{at}:7000" for at in (1, 2, 3)]


class PeekTest(unittest.TestCase):
    """Renewals hang, as on machines that are still down; cores answer as a test sets."""

    def setUp(self):
        self.world, self.answers = World(1), {}
        self.world.start("here", "10.0.0.9", lambda: asyncio.sleep(0))
        config = Configuration.empty()
        self.whole = {"document": config.bytes(), "digest": config.digest()}

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

    def started(self):
        async def main():
            lease = self.lease()
            lease.start()
            return lease

        return self.world.run_task("here", main)

    def told(self, version, view):
        return DurableConfigReturn(version=version, view=view, **self.whole)

    def test_a_configuration_is_taken_while_a_renewal_hangs(self):
        self.answers = {CORES[1]: self.told(4, 9), CORES[2]: NOT_TAIL}
        lease = self.started()
        self.world.run(PEEK_AGAIN_S + 0.1)
        self.assertEqual((lease.held.version, lease.is_held()), (4, False))

    def test_a_packed_configuration_is_taken_and_a_damaged_one_is_not(self):
        config = Configuration.empty()
        packed = zlib.compress(msgspec.msgpack.encode([config.bytes()]))
        for told, version in ((packed, 4), (packed[:-5], None)):
            with self.subTest(version):
                self.setUp()
                answer = DurableConfigReturn(version=4, view=9, digest=config.digest(), packed=told)
                self.answers = {CORES[1]: answer}
                lease = self.started()
                self.world.run(PEEK_AGAIN_S + 0.1)
                self.assertEqual(lease.held and lease.held.version, version)

    def test_of_two_tails_the_one_of_the_newer_view_counts(self):
        self.answers = {CORES[0]: self.told(4, 9), CORES[1]: self.told(5, 10)}
        lease = self.started()
        self.world.run(PEEK_AGAIN_S + 0.1)
        self.assertEqual(lease.held.version, 5)

    def test_it_is_looked_for_again_until_a_tail_answers(self):
        lease = self.started()
        self.world.run(2.0)
        self.assertIsNone(lease.held)
        self.answers = {CORES[2]: self.told(4, 9)}
        self.world.run(1.0)
        self.assertEqual(lease.held.version, 4)
