"""Tests of `member/membership.py`."""

import unittest

from swiftdeck.member.membership import Membership
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import Member, MemberList, Probe


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

    def check_late_word(self, forgets):
        """A probe of an earlier life reaches a neighbour that knows the present one."""
        world, found, process = self.build(4)
        world.run(4)
        old, one = found[3].me, found[0]
        world.kill("n3", silent=True)
        world.run(1)
        world.start("n3", "10.0.0.4", process(3))
        world.run(3)
        new, seen = found[3].me, []
        if forgets:
            one.known.pop(old.incarnation)
        one.watchers.append(seen.append)
        late = Probe(sender=old, target=one.me.addr, serial=1)
        world.run_in("n0", lambda: one.on_probe(late, old.addr))
        self.assertEqual(one.known[new.incarnation].member.state, 0)
        world.run(6)
        self.assertEqual([each for each in seen if each.addr == new.addr and each.state], [])
        self.assertEqual([len(each.alive()) for each in found.values()], [3] * 4)

    def test_a_late_word_of_an_earlier_life_does_not_end_the_present_one(self):
        self.check_late_word(forgets=False)

    def test_nor_does_it_where_the_earlier_life_was_forgotten(self):
        self.check_late_word(forgets=True)

    def test_a_late_list_does_not_bring_back_who_is_gone(self):
        world, found, _ = self.build(4)
        world.run(4)
        one, old = found[0], found[3].me
        late = MemberList(members=[found[2].me, old], is_told=True)
        world.kill("n3")
        world.run(6)
        world.run_in("n0", lambda: one.on_member_list(late, found[2].me.addr))
        self.assertNotIn(old.addr, one.addresses("router"))

    def test_a_late_word_against_a_process_is_refuted(self):
        world, found, _ = self.build(4)
        world.run(4)
        gone = Member().parse(bytes(found[3].me))
        gone.state = 2
        late = MemberList(members=[gone], is_told=True)
        world.run_in("n0", lambda: found[0].on_member_list(late, ""))
        self.assertNotIn(gone.addr, found[0].addresses("router"))
        world.run(3)
        self.assertIn(gone.addr, found[0].addresses("router"))

    def test_numbers_of_probes_differ_between_lives(self):
        world, found, process = self.build(3)
        world.run(2)
        before = found[2].serial
        world.kill("n2")
        world.start("n2", "10.0.0.3", process(2))
        world.run(2)
        self.assertGreater(abs(found[2].serial - before), 1000)

    def test_seeds_that_come_back_after_a_process_started_are_found_at_once(self):
        world, found, process = self.build(5)
        world.run(4)
        for number in range(5):
            world.kill(f"n{number}", True)
        world.start("n4", "10.0.0.5", process(4))
        world.run(0.5)
        for number in range(4):
            world.start(f"n{number}", f"10.0.0.{number + 1}", process(number))
        world.run(0.6)
        self.assertEqual([len(each.alive()) for each in found.values()], [4] * 5)

    def exchanged(self, world, found, seconds):
        """Bytes of neighbours exchanged by all within some seconds."""
        before = sum(each.mesh.sent_bytes["MemberList"] for each in found.values())
        world.run(seconds)
        return sum(each.mesh.sent_bytes["MemberList"] for each in found.values()) - before

    def test_all_that_is_known_is_exchanged_only_where_it_differs(self):
        per_node = {}
        for count in (8, 32):
            world, found, _ = self.build(count)
            world.run(12)
            self.assertEqual(len({each.digest() for each in found.values()}), 1)
            per_node[count] = self.exchanged(world, found, 12) / count
        self.assertGreater(per_node[8], 0)
        self.assertLess(per_node[32], 1.2 * per_node[8])

    def test_who_missed_something_learns_it_from_an_exchange(self):
        world, found, _ = self.build(4)
        world.run(6)
        stranger = Member(addr="10.0.9.9:7000", name="s", role="router", incarnation=99)
        one = found[0]
        one.learn(stranger)
        for each in one.known.values():
            each.tells = 0
        self.assertNotEqual(one.digest(), found[1].digest())
        self.compare(world, found[1], one)
        self.assertIn(99, found[1].known)
        one.known.pop(99)
        one.version += 1
        self.compare(world, found[1], one)
        self.assertIn(99, one.known)

    def compare(self, world, asker, other):
        """Let one process compare with another."""

        async def main():
            asker.some = lambda count, role=None: [other.me]
            asker.compare()

        world.run_task("n1", main)
        world.run(0.1)

    def test_what_is_remembered_of_the_table_follows_it(self):
        world, found, _ = self.build(5)
        world.run(5)
        one = found[1]
        self.assertEqual(one.addresses("router"), [f"10.0.0.{n}:7000" for n in range(1, 6)])
        self.assertIs(one.addresses("router"), one.addresses("router"))
        world.kill("n0", silent=True)
        world.run(1.9)
        self.assertNotIn("10.0.0.1:7000", one.ranked("router"))
        self.assertNotIn("10.0.0.1:7000", one.reachable())
        world.run(8)
        self.assertNotIn("10.0.0.1:7000", one.addresses("router"))
