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
        addrs = {each: f"10.0.0.{each[-1]}:7000" for each in NAMES}

        async def main():
            mesh = Mesh(addrs[name])
            await mesh.start()
            incarnation = self.world.random.getrandbits(62) + 1
            me = Member(addr=addrs[name], name=name, role=name[:-1], incarnation=incarnation)
            seeds = [addrs[each] for each in NAMES[:3]]
            membership = Membership(me, mesh, seeds, self.world.random)
            membership.start()
            self.watches[name] = CoreWatch(me, membership)
            self.watches[name].start()

        self.world.start(name, f"10.0.0.{name[-1]}", main)

    def calm_ms(self, seconds):
        """For how long each process finds the core calm after a while."""
        self.world.run(seconds)
        return {name: watch.calm_ms() for name, watch in self.watches.items()}

    def test_a_calm_core_stays_calm(self):
        self.assertTrue(all(each > 10_000 for each in self.calm_ms(0).values()))

    def test_a_core_that_goes_and_one_that_comes_are_changes(self):
        self.world.kill("core2", silent=True)
        calm = self.calm_ms(6)
        self.assertTrue(all(calm[name] < 6000 for name in NAMES if name != "core2"), calm)
        self.world.run(20)
        self.start("core2")
        self.assertTrue(all(each < 3000 for each in self.calm_ms(3).values()))

    def test_a_core_that_goes_for_good_counts_from_soon_after_that(self):
        """By the rules the core is settled again so long after that, and times count from then."""
        for trouble in (self.kill_for_good, self.world.freeze):
            with self.subTest(trouble.__name__):
                self.setUp()
                trouble("core2")
                calm = self.calm_ms(10)
                late = {name: 10_000 - calm[name] for name in NAMES if name != "core2"}
                self.assertTrue(all(each <= CONTACT_MS for each in late.values()), late)

    def kill_for_good(self, name):
        self.world.kill(name, silent=True)

    def test_a_core_that_was_cut_off_is_a_change_when_it_goes_and_when_it_is_back(self):
        self.world.net.cut(["10.0.0.2"], [f"10.0.0.{at}" for at in (1, 3, 4, 5)])
        self.assertLess(self.calm_ms(6)["core1"], 6000)
        self.world.run(20)
        self.world.net.heal()
        self.assertLess(self.calm_ms(6)["core1"], 6000)

    def test_what_befalls_others_is_no_change_of_the_core(self):
        self.world.kill("router5", silent=True)
        calm = self.calm_ms(10)
        self.assertTrue(all(calm[name] > 20_000 for name in NAMES[:4]), calm)
