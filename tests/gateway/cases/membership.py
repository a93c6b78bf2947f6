"""Cases of cores that leave, are replaced, lose their disks or start again, and of the loss that follows."""

import unittest
from unittest import mock

from swiftdeck.chain.departure import Departure
from tests.gateway.core_cluster import CoreCluster

PLACES = {3: (0, 1, 2), 5: (0, 2, 4)}
"""Places in the chain: the head, one between, the tail."""
ACK_S = 4.0


async def stays(self, limit_s):
    """Ends without a word to the other cores."""
    return False


WITHOUT_DEPARTURE = mock.patch.object(Departure, "leave", stays)


class MembershipCase(unittest.TestCase):
    def cluster(self, seed, cores=3):
        cluster = CoreCluster(seed, cores).start()
        self.assertLess(cluster.change(), ACK_S)
        return cluster

    def assert_well(self, cluster, ack_s=ACK_S):
        """Changes are acknowledged in time, and what was acknowledged reads back."""
        took_s = [cluster.change(), cluster.change()]
        self.assertLess(max(took_s), ack_s, cluster.told())
        self.assertEqual(cluster.breaches(), {})
        self.assertEqual(cluster.world.faults, [])

    def assert_fails_without(self, patch, day):
        """With a mechanism taken out, a day isn't survived: no change is acknowledged any more, or one is lost."""
        with patch:
            cluster = day()
            self.assertTrue(
                cluster.change() > ACK_S or cluster.breaches(), "the mechanism does nothing"
            )

    def replaced(self, cores, seed, place, delay_s):
        """A core makes room for a new one as planned; some time later as many as may be are lost."""
        cluster = self.cluster(seed, cores)
        cluster.replace_planned(cluster.member_names()[place])
        cluster.world.run(delay_s)
        cluster.lose_some(cluster.tolerate, wiped=seed % 2 == 0)
        return cluster

    def replaced_and_voters_lost(self, cores):
        """As above, and those that are lost at once are voters of old."""
        cluster = self.cluster(1, cores)
        old, *others = cluster.member_names()
        cluster.replace_planned(old)
        for name in others[: cluster.tolerate]:
            cluster.lose(name)
        return cluster

    def test_a_planned_replacement_is_followed_by_any_loss_that_may_come(self):
        for cores, places in PLACES.items():
            for seed, place in enumerate(places, 1):
                with self.subTest(cores=cores, place=place):
                    delay_s = (0.0, 0.3, 2.0)[(seed + cores) % 3]
                    self.assert_well(self.replaced(cores, seed, place, delay_s))
        for cores in PLACES:
            self.assert_well(self.replaced_and_voters_lost(cores))
            self.assert_fails_without(
                WITHOUT_DEPARTURE, lambda: self.replaced_and_voters_lost(cores)
            )

    def test_two_of_five_are_replaced_at_once_and_two_are_lost_after_it(self):
        for seed, is_planned in ((1, True), (2, True), (3, False), (4, False)):
            with self.subTest(seed=seed):
                cluster = self.cluster(seed, 5)
                old = cluster.world.random.sample(cluster.cores(), 2)
                if is_planned:
                    cluster.replace_planned(*old)
                else:
                    cluster.replace_lost(*old)
                    cluster.world.run(cluster.catch_up_s)
                cluster.lose_some(2, wiped=True)
                self.assert_well(cluster, 5.0)

    def test_a_core_gone_for_good_has_a_successor_and_then_the_next_is_lost(self):
        for seed, delay_s in enumerate((0.0, 0.4, 1.0, 5.0), 1):
            with self.subTest(seed=seed):
                cluster = self.cluster(seed)
                cluster.replace_lost(cluster.member_names()[seed % 3])
                cluster.world.run(cluster.catch_up_s + delay_s)
                cluster.lose_some(1, wiped=True)
                self.assert_well(cluster)

    def only_copy(self, seed=1):
        """A core that is told to stop while all others are lost or have not yet copied what it has."""
        cluster = self.cluster(seed)
        wiped, leaver, other = cluster.world.random.sample(cluster.cores(), 3)
        cluster.lose(wiped, wiped=True)
        cluster.world.run(2.5)
        cluster.start_core(wiped)
        cluster.world.run(until=lambda: cluster.up[wiped].chain.is_partial, limit_s=5)
        cluster.world.run(until=lambda: cluster.up[wiped].agreement.position() >= 0, limit_s=5)
        cluster.lose(other, wiped=True)
        cluster.world.call_after(1.0, lambda: cluster.start_core(other))
        cluster.terminate(leaver)
        cluster.remove(leaver)
        cluster.world.run(1.0)
        cluster.add_core()
        cluster.world.run(cluster.catch_up_s)
        return cluster

    def test_a_leaver_with_the_only_copy_goes_when_others_have_it(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.assert_well(self.only_copy(seed))
        self.assert_fails_without(WITHOUT_DEPARTURE, self.only_copy)

    def test_a_rolling_restart_keeps_all_votes_and_holds_up_no_change(self):
        for cores in (3, 5):
            cluster, longest_s = self.cluster(1, cores), 0.0
            voters = {core.agreement.core_id for core in map(cluster.up.get, cluster.cores())}
            for name in cluster.cores():
                self.assertLess(cluster.terminate(name, back_s=1.0), 1.0)
                longest_s = max(longest_s, cluster.change())
                cluster.world.run(cluster.catch_up_s)
                self.assertEqual(
                    {ref.core_id for ref in cluster.up[name].agreement.decided.voters}, voters
                )
                self.assertTrue(cluster.is_settled(), cluster.told())
            self.assertLess(longest_s, 1.5)
            cluster.lose_some(cluster.tolerate, wiped=True)
            self.assert_well(cluster)

    def test_the_seeds_are_exchanged_while_a_seed_machine_is_replaced(self):
        for seed, is_before in ((1, True), (2, False), (3, True)):
            with self.subTest(seed=seed):
                cluster = self.cluster(seed)
                old = cluster.world.random.choice(cluster.cores())
                cluster.add_core()
                if is_before:
                    cluster.exchange_seeds()
                cluster.world.run(cluster.catch_up_s)
                cluster.terminate(old)
                cluster.remove(old)
                cluster.exchange_seeds()
                cluster.lose_some(1, wiped=True)
                self.assert_well(cluster)

    def test_a_disk_is_lost_right_after_its_core_has_joined(self):
        for seed, after_s in enumerate((0.3, 0.6, 1.2), 1):
            with self.subTest(seed=seed):
                cluster = self.cluster(seed)
                (name,) = cluster.replace_lost(cluster.world.random.choice(cluster.cores()))
                cluster.world.run(after_s)
                cluster.lose(name, wiped=True)
                cluster.world.run(0.5)
                cluster.start_core(name)
                cluster.world.run(cluster.catch_up_s)
                cluster.lose_some(1, wiped=True)
                self.assert_well(cluster)

    def test_all_cores_end_at_once_right_after_an_acknowledgement_or_in_the_middle_of_leaving(self):
        for seed, cores in ((1, 3), (2, 5), (3, 3), (4, 5)):
            with self.subTest(seed=seed):
                cluster = self.cluster(seed, cores)
                wiped = cluster.world.random.sample(cluster.cores(), cluster.tolerate)
                cluster.replace_planned(wiped.pop())
                self.assertLess(cluster.change(), ACK_S)
                cluster.world.run(cluster.world.random.uniform(0, 0.004))
                cluster.all_at_once(wiped, has_power=False)
                self.assert_well(cluster)
                leaver = cluster.world.random.choice(cluster.cores())
                cluster.beside(cluster.up[leaver].stop, leaver)
                cluster.world.run(cluster.world.random.uniform(0, 0.1))
                cluster.all_at_once(has_power=seed % 2 == 0)
                self.assert_well(cluster)
