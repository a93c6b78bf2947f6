"""Tests of `member/membership.py`."""

import unittest

from swiftdeck.member.membership import Membership
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import Member, MemberList, Probe


class MembershipTest(unittest.TestCase):
    def build(self, count):
        world, memberships = World(3), {}
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
                memberships[number] = Membership(me, mesh, addrs[:3], world.random)
                memberships[number].start()

            return main

        for number in range(count):
            world.start(f"n{number}", f"10.0.0.{number + 1}", process(number))
        return world, memberships, process

    def test_all_processes_find_each_other_and_detect_a_crash(self):
        world, memberships, _ = self.build(6)
        world.run(5)
        self.assertEqual([len(membership.alive()) for membership in memberships.values()], [5] * 6)
        world.kill("n5")
        world.run(8)
        self.assertEqual([len(memberships[number].alive()) for number in range(5)], [4] * 5)

    def test_members_rejoin_after_a_cut_and_a_restart_replaces_the_old_incarnation(self):
        world, memberships, process = self.build(5)
        world.run(4)
        far, near = (
            [f"10.0.0.{number}" for number in (4, 5)],
            [f"10.0.0.{number}" for number in (1, 2, 3)],
        )
        world.net.cut(far, near)
        world.run(12)
        self.assertEqual((len(memberships[0].alive()), len(memberships[4].alive())), (2, 1))
        world.net.heal()
        world.run(12)
        self.assertEqual([len(membership.alive()) for membership in memberships.values()], [4] * 5)
        world.kill("n4")
        world.start("n4", "10.0.0.5", process(4))
        world.run(8)
        self.assertEqual([len(membership.alive()) for membership in memberships.values()], [4] * 5)

    def check_late_probe(self, forgets_old):
        """Deliver a probe of an earlier incarnation to a process that knows the current one."""
        world, memberships, process = self.build(4)
        world.run(4)
        old, observer = memberships[3].me, memberships[0]
        world.kill("n3", silent=True)
        world.run(1)
        world.start("n3", "10.0.0.4", process(3))
        world.run(3)
        new, changes = memberships[3].me, []
        if forgets_old:
            observer.known.pop(old.incarnation)
        observer.watchers.append(changes.append)
        late = Probe(sender=old, target=observer.me.addr, serial=1)
        world.run_in("n0", lambda: observer.on_probe(late, old.addr))
        self.assertEqual(observer.known[new.incarnation].member.state, 0)
        world.run(6)
        self.assertEqual(
            [change for change in changes if change.addr == new.addr and change.state], []
        )
        self.assertEqual([len(membership.alive()) for membership in memberships.values()], [3] * 4)

    def test_a_late_probe_of_an_earlier_incarnation_does_not_end_the_current_one(self):
        self.check_late_probe(forgets_old=False)

    def test_a_late_probe_of_a_forgotten_incarnation_does_not_end_the_current_one(self):
        self.check_late_probe(forgets_old=True)

    def test_a_late_list_does_not_revive_a_member_that_is_gone(self):
        world, memberships, _ = self.build(4)
        world.run(4)
        observer, old = memberships[0], memberships[3].me
        late = MemberList(members=[memberships[2].me, old], is_told=True)
        world.kill("n3")
        world.run(6)
        world.run_in("n0", lambda: observer.on_member_list(late, memberships[2].me.addr))
        self.assertNotIn(old.addr, observer.addresses("router"))

    def test_a_late_report_that_a_process_is_gone_is_refuted(self):
        world, memberships, _ = self.build(4)
        world.run(4)
        gone = Member().parse(bytes(memberships[3].me))
        gone.state = 2
        late = MemberList(members=[gone], is_told=True)
        world.run_in("n0", lambda: memberships[0].on_member_list(late, ""))
        self.assertNotIn(gone.addr, memberships[0].addresses("router"))
        world.run(3)
        self.assertIn(gone.addr, memberships[0].addresses("router"))

    def test_probe_serials_differ_between_incarnations(self):
        world, memberships, process = self.build(3)
        world.run(2)
        before = memberships[2].serial
        world.kill("n2")
        world.start("n2", "10.0.0.3", process(2))
        world.run(2)
        self.assertGreater(abs(memberships[2].serial - before), 1000)

    def test_seeds_that_start_after_a_process_are_found_within_a_second(self):
        world, memberships, process = self.build(5)
        world.run(4)
        for number in range(5):
            world.kill(f"n{number}", True)
        world.start("n4", "10.0.0.5", process(4))
        world.run(0.5)
        for number in range(4):
            world.start(f"n{number}", f"10.0.0.{number + 1}", process(number))
        world.run(0.6)
        self.assertEqual([len(membership.alive()) for membership in memberships.values()], [4] * 5)

    def exchanged_bytes(self, world, memberships, seconds):
        """Run for some seconds and return the bytes of member lists that were sent."""
        before = sum(
            membership.mesh.sent_bytes["MemberList"] for membership in memberships.values()
        )
        world.run(seconds)
        return (
            sum(membership.mesh.sent_bytes["MemberList"] for membership in memberships.values())
            - before
        )

    def test_whole_tables_are_exchanged_only_where_digests_differ(self):
        bytes_per_node = {}
        for count in (8, 32):
            world, memberships, _ = self.build(count)
            world.run(12)
            self.assertEqual(len({membership.digest() for membership in memberships.values()}), 1)
            bytes_per_node[count] = self.exchanged_bytes(world, memberships, 12) / count
        self.assertGreater(bytes_per_node[8], 0)
        self.assertLess(bytes_per_node[32], 1.2 * bytes_per_node[8])

    def test_a_process_that_missed_a_change_learns_it_from_a_comparison(self):
        world, memberships, _ = self.build(4)
        world.run(6)
        stranger = Member(addr="10.0.9.9:7000", name="s", role="router", incarnation=99)
        observer = memberships[0]
        observer.learn(stranger)
        for known in observer.known.values():
            known.sends_left = 0
        self.assertNotEqual(observer.digest(), memberships[1].digest())
        self.compare_digests(world, memberships[1], observer)
        self.assertIn(99, memberships[1].known)
        observer.known.pop(99)
        observer.version += 1
        self.compare_digests(world, memberships[1], observer)
        self.assertIn(99, observer.known)

    def compare_digests(self, world, sender, receiver):
        """Make one process send its digest to another."""

        async def main():
            sender.some = lambda count, role=None: [receiver.me]
            sender.compare_digests()

        world.run_task("n1", main)
        world.run(0.1)

    def test_cached_results_follow_changes_of_the_table(self):
        world, memberships, _ = self.build(5)
        world.run(5)
        observer = memberships[1]
        self.assertEqual(
            observer.addresses("router"), [f"10.0.0.{number}:7000" for number in range(1, 6)]
        )
        self.assertIs(observer.addresses("router"), observer.addresses("router"))
        world.kill("n0", silent=True)
        world.run(1.9)
        self.assertNotIn("10.0.0.1:7000", observer.ranked("router"))
        self.assertNotIn("10.0.0.1:7000", observer.reachable())
        world.run(8)
        self.assertNotIn("10.0.0.1:7000", observer.addresses("router"))
