"""Tests of `member/membership.py`."""

import unittest

from swiftdeck.member.membership import Membership
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import Member


class MembershipTest(unittest.TestCase):
    def build(self, count):
        world, found = World(3), {}
        addrs = [f"10.0.0.{number + 1}:7000" for number in range(count)]

        def process(number):
            async def main():
                mesh = Mesh(addrs[number])
                await mesh.start()
                me = Member(
                    addr=addrs[number],
                    name=f"n{number}",
                    role="router",
                    incarnation=world.random.getrandbits(62) + 1,
                )
                found[number] = Membership(me, mesh, addrs[:3], world.random)
                found[number].start()

            return main

        for number in range(count):
            world.start(f"n{number}", f"10.0.0.{number + 1}", process(number))
        return world, found, process

    def test_all_find_each_other_and_a_crash_is_seen_by_all(self):
        world, found, _ = self.build(6)
        world.run(5)
        self.assertEqual([len(each.alive()) for each in found.values()], [5] * 6)
        world.kill("n5")
        world.run(8)
        self.assertEqual([len(found[number].alive()) for number in range(5)], [4] * 5)

    def test_a_healed_cut_is_found_again_and_a_new_start_takes_the_old_place(self):
        world, found, process = self.build(5)
        world.run(4)
        far, near = [f"10.0.0.{n}" for n in (4, 5)], [f"10.0.0.{n}" for n in (1, 2, 3)]
        world.net.cut(far, near)
        world.run(12)
        self.assertEqual((len(found[0].alive()), len(found[4].alive())), (2, 1))
        world.net.heal()
        world.run(12)
        self.assertEqual([len(each.alive()) for each in found.values()], [4] * 5)
        world.kill("n4")
        world.start("n4", "10.0.0.5", process(4))
        world.run(8)
        self.assertEqual([len(each.alive()) for each in found.values()], [4] * 5)
