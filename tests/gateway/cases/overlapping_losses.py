"""Cases of losses that overlap beyond what may be lost at once, with no more disks lost than that."""

import asyncio
import unittest
from unittest import mock

from swiftdeck.chain import log_records
from swiftdeck.chain.chain import Chain
from swiftdeck.chain.state_transfer import StateTransfer
from swiftdeck.chain.view_manager import ViewManager
from swiftdeck.fault import NO_VIEW
from swiftdeck.gateway.swap import SwapScheduler
from tests.gateway.loss_cluster import RECOVERY_S, LossCluster
from tests.gateway.loss_storm import LossStorm
from tests.gateway.orders import TAKEN

PAUSE_S = 2.0


def slow_join_up(taking=StateTransfer.catch_up):
    """A core that stands still for a moment between its copy and its wish to join."""

    async def join_up(self, *args):
        fault = await taking(self, *args)
        await asyncio.sleep(PAUSE_S)
        return fault

    return mock.patch.object(StateTransfer, "catch_up", join_up)


class PartialMember:
    """An emptied core has joined with an old copy, starts again before it is whole, and the others are away."""

    def __init__(self, seed, freeze_s):
        cluster = self.cluster = LossCluster(seed).start()
        head, emptied, tail = (cluster.member(at) for at in range(3))
        cluster.lose(emptied, wiped=True)
        cluster.world.run(2.5)
        with slow_join_up():
            cluster.back(emptied)
            cluster.world.run(0.01)
            chain = cluster.up[emptied].chain
            cluster.world.run(until=lambda: chain.transfer.has_tail_copy, limit_s=5)
            self.acknowledged = cluster.change()
            agreement = cluster.up[emptied].agreement
            cluster.world.run(until=lambda: agreement.position() >= 0, limit_s=5)
        self.was_partial = chain.is_partial and chain.serial < cluster.up[tail].chain.serial
        cluster.lose(head)
        cluster.lose(emptied)
        cluster.back(emptied)
        cluster.world.run(0.5)
        cluster.freeze(tail, freeze_s)
        cluster.world.run(freeze_s + 4)

    def found(self):
        """What is wrong when all is back."""
        return self.cluster.found()


class TwoPartialMembers:
    """Two of five cores join one after the other with copies of one time, and those before them are lost."""

    def __init__(self, seed):
        cluster = self.cluster = LossCluster(seed, 5).start()
        head, emptied, restarted, between, tail = (cluster.member(at) for at in range(5))
        cluster.lose(emptied, wiped=True)
        cluster.lose(restarted)
        cluster.world.run(4)
        with slow_join_up():
            cluster.back(emptied)
            cluster.world.run(0.7)
            cluster.back(restarted)
            cluster.world.run(0.8)
            self.acknowledged = cluster.change()
            cluster.world.net.cut(
                [cluster.machines[between]], [cluster.machines[emptied]], both=False
            )
            joined = cluster.up[restarted].agreement
            self.has_joined = cluster.world.run(until=lambda: joined.position() >= 0, limit_s=3)
        cluster.world.net.cut([cluster.machines[restarted]], [cluster.machines[tail]])
        cluster.lose(head)
        cluster.lose(between)
        rival = cluster.patch(9, 3)
        cluster.beside(lambda: cluster.insisting(rival, 20))
        cluster.world.run(6)


class ClosingFault:
    """Some cores are back a moment; right after an acknowledgement disks are lost, and the power of all other machines.

    `wiped` are places of the chain as it is at that moment; a return with `full` disks is one of the troubles just before.
    """

    def __init__(self, seed, cores, back_for_s, wiped, is_full=False):
        cluster = self.cluster = LossCluster(seed, cores, routers=2).start()
        away = [cluster.member(at) for at in range(1, 1 + cluster.tolerate)]
        for name in away:
            cluster.lose(name)
        cluster.world.run(3.5)
        self.acknowledged = [cluster.change()]
        cluster.back(*away)
        for name in away:
            cluster.folders[name].full = is_full
        cluster.world.run(back_for_s)
        self.acknowledged.append(cluster.change())
        self._close([cluster.member(at) for at in wiped])
        cluster.world.run(1.0)
        cluster.back(*cluster.machines)
        cluster.world.run(until=lambda: cluster.head() is not None, limit_s=12)
        self.acknowledged.append(cluster.change())

    def _close(self, wiped):
        cluster = self.cluster
        for name in [*cluster.cores(), *cluster.routers()]:
            cluster.lose(name, wiped=name in wiped, torn=cluster.order_rng.choice((0, 3, 200)))
            if name in cluster.folders:
                cluster.folders[name].full = False


class MinorityBehind:
    """A minority is cut off and misses changes; what befalls the others then, and when the cut heals, is told by `then`."""

    def __init__(self, seed, cores, then):
        cluster = self.cluster = LossCluster(seed, cores).start()
        names = cluster.order_rng.sample(cluster.cores(), cores)
        self.behind, self.others = names[: cluster.tolerate], names[cluster.tolerate :]
        pairs = cluster.split(self.behind)
        cluster.world.run(4)
        self.acknowledged = [cluster.change(), cluster.change()]
        getattr(self, f"_{then}")(pairs)
        cluster.world.run(until=lambda: cluster.head() is not None, limit_s=12)
        self.acknowledged.append(cluster.change())

    def _disk_lost(self, pairs):
        """One of the others loses its disk, the rest are dark for a while, and the cut heals meanwhile."""
        emptied, *dark = self.others
        self.cluster.lose(emptied, wiped=True)
        for name in dark:
            self.cluster.lose(name)
        self.cluster.world.net.heal(pairs)
        self.cluster.world.run(0.5)
        self.cluster.back(emptied)
        self.cluster.world.run(4)
        self.cluster.back(*dark)

    def _both_restarted(self, pairs):
        """Those that are cut off start again, then the others, and the cut heals."""
        for side in (self.behind, self.others):
            for name in side:
                self.cluster.lose(name)
            self.cluster.world.run(0.5)
            self.cluster.back(*side)
        self.cluster.world.run(2)
        self.cluster.world.net.heal(pairs)

    def _killed_after_heal(self, pairs):
        """Just after the cut has healed the others are killed, and come back later."""
        self.cluster.world.net.heal(pairs)
        self.cluster.world.run(self.cluster.order_rng.uniform(0.0, 1.5))
        for name in self.others:
            self.cluster.kill(name)
        self.cluster.world.run(4)
        self.cluster.back(*self.others)

    def _other_halves(self, pairs):
        """The cut heals, and at once another one leaves the former minority in the larger half."""
        self.cluster.world.net.heal(pairs)
        self.cluster.world.run(self.cluster.order_rng.uniform(0.0, 1.0))
        pairs = self.cluster.split(self.others[: self.cluster.tolerate])
        self.cluster.world.run(6)
        self.cluster.world.net.heal(pairs)


class JoinedTheLastMember:
    """One of three is away, then another; the first one is back, joins the last member and goes before it was whole.

    The last member loses its disk: one disk is lost, and the second core has all that was acknowledged.
    """

    def __init__(self, seed):
        cluster = self.cluster = LossCluster(seed).start()
        last, second, first = (cluster.member(at) for at in range(3))
        cluster.lose(first)
        cluster.world.run(4)
        self.acknowledged = cluster.change()
        cluster.lose(second)
        cluster.world.run(1.0)
        cluster.back(first)
        alone = cluster.up[last].agreement
        cluster.world.run(until=lambda: len(alone.decided.members) == 1, limit_s=10)
        joined = cluster.up[first].agreement
        self.has_joined = cluster.world.run(until=lambda: joined.position() >= 0, limit_s=10)
        self.was_whole = cluster.up[first].chain.is_whole()
        cluster.lose(first)
        cluster.lose(last, wiped=True)
        cluster.world.run(2.0)
        cluster.back(*cluster.machines)
        self.has_head = cluster.world.run(
            until=lambda: cluster.head() is not None, limit_s=RECOVERY_S
        )


class RefusedJoins:
    """While it holds, no core lets those in whose identities are here; the views that they ask to join are noted."""

    def __init__(self):
        self.core_ids, self.asked = set(), []

    def patch(self, joining=ViewManager.on_join):
        """What has to be in force as the cores start."""

        async def on_join(manager, ask, sender):
            if ask.core_id not in self.core_ids:
                return await joining(manager, ask, sender)
            self.asked.append(ask.view)
            return NO_VIEW

        return mock.patch.object(ViewManager, "on_join", on_join)


class JoinedTooLate:
    """A core's wish to join the last member fails, and another core joins in its place, which makes acknowledgements again.

    The core joins the view of both by its log, and starts again before it was whole.
    """

    def __init__(self, seed):
        refused = RefusedJoins()
        with refused.patch():
            self._play(LossCluster(seed).start(), refused)

    def _play(self, cluster, refused):
        self.cluster = cluster
        last, second, first = (cluster.member(at) for at in range(3))
        alone = cluster.up[last].agreement
        cluster.lose(first)
        cluster.world.run(4)
        cluster.lose(second)
        cluster.world.run(until=lambda: len(alone.decided.members) == 1, limit_s=10)
        cluster.back(first)
        cluster.world.run(0.01)
        late = cluster.up[first]
        refused.core_ids.add(late.agreement.core_id)
        cluster.world.run(until=lambda: refused.asked, limit_s=10)
        self.expects = late.chain.complete_in - refused.asked[0]
        cluster.back(second)
        cluster.world.run(until=lambda: len(alone.decided.members) == 2, limit_s=10)
        self.acknowledged = cluster.change()
        refused.core_ids.clear()
        cluster.world.run(until=lambda: late.agreement.position() >= 0, limit_s=10)
        self.has_joined, self.was_whole = late.agreement.position() >= 0, late.chain.is_whole()
        self.copies = late.chain.telemetry.count["copies"]
        for name in (first, last, second):
            cluster.lose(name)
        cluster.back(first)
        cluster.world.run(3)
        self.is_partial = cluster.up[first].chain.is_partial


class OverlappingLossesCase(unittest.TestCase):
    def test_a_core_that_joined_the_last_member_may_lead_when_that_one_is_lost(self):
        case = JoinedTheLastMember(1)
        self.assertEqual((case.acknowledged, case.has_joined, case.was_whole), (TAKEN, True, False))
        self.assertTrue(case.has_head, case.cluster.told())
        self.assertEqual(case.cluster.found(), [])

    def test_a_core_that_joined_a_later_view_than_it_asked_for_counts_as_partial(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                case = JoinedTooLate(seed)
                self.assertEqual((case.expects, case.acknowledged), (1, TAKEN))
                self.assertEqual((case.has_joined, case.was_whole, case.copies), (True, False, 1))
                self.assertTrue(case.is_partial)
                self.assertEqual(case.cluster.found(), [])

    def test_it_would_count_as_complete_if_any_later_view_counted(self):
        def on_view(self, view, taking=Chain.on_view):
            if 0 < self.complete_in < view.number:
                self.complete_in = view.number
            taking(self, view)

        with mock.patch.object(Chain, "on_view", on_view):
            self.assertFalse(JoinedTooLate(1).is_partial)

    def test_a_core_that_was_never_whole_takes_nothing_over_after_a_restart(self):
        soon = ((1, 2.41), (1, 2.62), (2, 2.41), (2, 2.69))
        after_the_others_are_left_out = ((1, 8.0), (1, 8.2), (1, 8.4), (2, 7.2), (2, 8.0))
        for seed, freeze_s in soon + after_the_others_are_left_out:
            with self.subTest(seed=seed, freeze_s=freeze_s):
                case = PartialMember(seed, freeze_s)
                self.assertEqual((case.acknowledged, case.was_partial), (TAKEN, True))
                self.assertEqual(case.found(), [])

    def test_without_the_mark_on_its_disk_it_would(self):
        def unmarked(self, serial, data):
            return log_records.State(serial, data)

        with mock.patch.object(Chain, "_state_record", unmarked):
            for seed, freeze_s in ((1, 8.0), (2, 8.0)):
                self.assertNotEqual(PartialMember(seed, freeze_s).found(), [])

    def test_a_core_joins_only_with_a_copy_of_the_view_that_it_joins(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                case = TwoPartialMembers(seed)
                self.assertEqual(case.acknowledged, TAKEN)
                self.assertEqual(case.cluster.found(), [])

    def test_what_was_acknowledged_outlives_a_closing_fault_while_cores_are_copying(self):
        for seed, (cores, back_for_s, wiped, is_full) in enumerate(
            (
                (3, 0.0, [0], False),
                (3, 0.4, [-1], False),
                (3, 0.8, [-1], True),
                (5, 0.4, [0, -1], False),
                (5, 0.9, [1, 2], False),
            )
        ):
            with self.subTest(cores=cores, back_for_s=back_for_s, wiped=wiped):
                case = ClosingFault(seed, cores, back_for_s, wiped, is_full)
                self.assertEqual(case.acknowledged, [TAKEN] * 3)
                self.assertEqual(case.cluster.found(), [])

    def test_a_minority_that_missed_changes_takes_nothing_over(self):
        for seed, then in enumerate(("disk_lost", "both_restarted", "killed_after_heal")):
            for cores in (3, 5):
                with self.subTest(then=then, cores=cores):
                    case = MinorityBehind(seed, cores, then)
                    self.assertEqual(case.acknowledged, [TAKEN] * 3)
                    self.assertEqual(case.cluster.found(), [])

    def test_one_pair_of_halves_after_the_other(self):
        for seed, cores in ((1, 3), (2, 5)):
            with self.subTest(cores=cores):
                case = MinorityBehind(seed, cores, "other_halves")
                self.assertEqual(case.acknowledged, [TAKEN] * 3)
                self.assertEqual(case.cluster.found(), [])

    def test_storms_of_losses_halves_and_closing_faults(self):
        for seed, cores in ((1, 3), (2, 5)):
            with self.subTest(seed=seed, cores=cores):
                storm = LossStorm(seed, cores)
                self.assertEqual(storm.found(), [], storm.log)
                self.assertGreater(storm.acknowledged, 10)
                self.assertGreater(len(storm.cluster.reads), 100)

    def test_a_storm_finds_acknowledgements_before_the_sync_and_a_fence_used_twice(self):
        async def unsynced(self):
            self._mark_synced(self.serial)
            return True

        def fence(self):
            return int(self.core.agreement.position() == 0)

        for seed, patch in (
            (4, mock.patch.object(Chain, "_sync", unsynced)),
            (7, mock.patch.object(SwapScheduler, "fence", fence)),
        ):
            with patch:
                self.assertNotEqual(LossStorm(seed).found(), [])
