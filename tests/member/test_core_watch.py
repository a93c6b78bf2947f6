"""Tests of `member/core_watch.py`."""

import unittest

from swiftdeck.member.core_watch import CoreWatch
from swiftdeck.member.membership import Membership
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import Member

CONTACT_MS = 3000
NAMES = ("core1", "core2", "core3", "router4", "router5")


class CoreWatchTest(unittest.TestCase):
    def setUp(self):
        self.world, self.watches = World(3), {}
        for name in NAMES:
            self.start(name)
        self.world.run(20)

    def start(self, name):
        addrs = {node: f"10.0.0.{node[-1]}:7000" for node in NAMES}

        async def main():
            mesh = Mesh(addrs[name])
            await mesh.start()
            incarnation = self.world.random.getrandbits(62) + 1
            me = Member(addr=addrs[name], name=name, role=name[:-1], incarnation=incarnation)
            seeds = [addrs[core] for core in NAMES[:3]]
            membership = Membership(me, mesh, seeds, self.world.random)
            membership.start()
            self.watches[name] = CoreWatch(me, membership)
            self.watches[name].start()

        self.world.start(name, f"10.0.0.{name[-1]}", main)

    def calm_ms(self, seconds):
        """Run on and return the milliseconds since the last change, by process."""
        self.world.run(seconds)
        return {name: watch.calm_ms() for name, watch in self.watches.items()}

    def test_an_unchanged_core_stays_calm(self):
        self.assertTrue(all(calm_ms > 10_000 for calm_ms in self.calm_ms(0).values()))

    def test_a_killed_core_and_a_started_core_are_changes(self):
        self.world.kill("core2", silent=True)
        calm = self.calm_ms(6)
        self.assertTrue(all(calm[name] < 6000 for name in NAMES if name != "core2"), calm)
        self.world.run(20)
        self.start("core2")
        self.assertTrue(all(calm_ms < 3000 for calm_ms in self.calm_ms(3).values()))

    def test_the_loss_of_a_core_is_dated_soon_after_it_happened(self):
        """The rules regard a core as settled CONTACT_MS after a loss and count times from then."""
        for inject_fault in (self.kill_silently, self.world.freeze):
            with self.subTest(inject_fault.__name__):
                self.setUp()
                inject_fault("core2")
                calm = self.calm_ms(10)
                delay_ms = {name: 10_000 - calm[name] for name in NAMES if name != "core2"}
                self.assertTrue(all(delay <= CONTACT_MS for delay in delay_ms.values()), delay_ms)

    def kill_silently(self, name):
        self.world.kill(name, silent=True)

    def test_a_cut_off_core_is_a_change_at_the_cut_and_at_the_return(self):
        self.world.net.cut(["10.0.0.2"], [f"10.0.0.{number}" for number in (1, 3, 4, 5)])
        self.assertLess(self.calm_ms(6)["core1"], 6000)
        self.world.run(20)
        self.world.net.heal()
        self.assertLess(self.calm_ms(6)["core1"], 6000)

    def test_the_loss_of_a_router_is_no_change_of_the_core(self):
        self.world.kill("router5", silent=True)
        calm = self.calm_ms(10)
        self.assertTrue(all(calm[name] > 20_000 for name in NAMES[:4]), calm)
