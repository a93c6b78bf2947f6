"""Each mechanism that the control side rests on is taken out, and the model finds the schedule."""

import unittest
from unittest import mock

import attrs

from swiftdeck.bench.history import ConsistencyRule, Violation
from swiftdeck.chain.agreement import Agreement
from swiftdeck.chain.chain import Chain
from swiftdeck.chain.state_transfer import StateTransfer
from swiftdeck.chain.view_manager import ViewManager
from swiftdeck.sim.model.invariants import Invariant
from swiftdeck.sim.model.run import play
from swiftdeck.sim.model.schedule import Schedule, parse_fault_point

ONE_ORDER = (0.0,)


def schedule(*strikes, orders=ONE_ORDER, seed=1, cores=3):
    """A schedule, for three cores if no other count is told."""
    return Schedule(cores, seed, orders, tuple(parse_fault_point(each) for each in strikes))


def broken(found):
    """The clauses and invariants that a run broke."""
    outcome = play(found)
    return {
        each.clause if isinstance(each, Violation) else each.invariant for each in outcome.faults
    }


class RemovalTest(unittest.TestCase):
    """A removal breaks a schedule that stands with the mechanism."""

    def assert_caught(self, removal, found, *expected):
        """The schedule stands without the removal, and breaks one of the expected with it."""
        self.assertEqual(broken(found), set(), found.command())
        with removal:
            self.assertTrue(broken(found) & set(expected), found.command())

    def test_an_acknowledgement_before_the_sync(self):
        """Entries count as synced at once, and all cores lose power."""

        async def unsynced(self):
            self._mark_synced(self.serial)
            return True

        self.assert_caught(
            mock.patch.object(Chain, "_sync", unsynced),
            schedule("9:blackout:core2:0.3"),
            Invariant.COPIES,
        )

    def test_an_acknowledgement_before_the_sync_and_a_closing_fault(self):
        """Two of five cores lose their disks, all others and the router their power."""

        async def unsynced(self):
            self._mark_synced(self.serial)
            return True

        found = [schedule(f"{at}:closing:core2:0.3", cores=5) for at in (20, 30, 40)]
        for each in found:
            self.assertEqual(broken(each), set(), each.command())
        with mock.patch.object(Chain, "_sync", unsynced):
            caught = set().union(*map(broken, found))
        self.assertIn(ConsistencyRule.LOST, caught)

    def test_an_acknowledgement_before_the_tails_own_sync(self):
        """With two members left and no router, whose confirmation would come after the sync."""
        found = attrs.evolve(
            schedule("0:power:core2:9", "128:stall:core3:0.8", orders=(5.0,)), has_router=False
        )
        self.assert_caught(
            mock.patch.object(Chain, "is_synced", lambda self, serial: True),
            found,
            Invariant.COPIES,
        )

    def test_a_promise_before_the_sync(self):
        """A voter grants what its disk does not have yet."""

        async def unsynced(self, record):
            self.journal.append(record)

        self.assert_caught(
            mock.patch.object(Agreement, "_persist", unsynced), schedule(), Invariant.ONLY_RISES
        )

    def test_serving_without_a_view_lease(self):
        """A head that is cut off serves on beside the next one; a tail that wakes as well."""
        for strike in ("5:cut:core1:2.5", "10:freeze:core3:2.5"):
            self.assert_caught(
                mock.patch.object(Agreement, "may_serve", lambda self: self.decided.number > 0),
                schedule(strike),
                Invariant.ONE_SERVES,
            )

    def test_serving_without_a_view_lease_in_the_smaller_half(self):
        """Three and five cores are cut into halves; the smaller one holds the tail."""
        removal = mock.patch.object(Agreement, "may_serve", lambda self: self.decided.number > 0)
        for cores, strike in ((3, "5:split:core3:8"), (5, "5:split:core3:8")):
            found = schedule(strike, orders=(0.0, 2.5), cores=cores)
            self.assert_caught(removal, found, Invariant.ONE_SERVES)
            self.assert_caught(
                removal, found, ConsistencyRule.STALE_READ, ConsistencyRule.STALE_LEASE
            )

    def test_a_new_view_that_does_not_wait_out_the_old_lease(self):
        """The tail's disk hangs, so that it hears of the next view late."""
        self.assert_caught(
            mock.patch.object(Agreement, "_extend_wait", lambda self, wait_ms=None: None),
            schedule("10:stall:core3:2.5", orders=(0.0, 0.3, 1.0)),
            Invariant.ONE_SERVES,
        )

    def test_dropping_the_last_copies_at_once(self):
        """A view of one member is formed while the others are silent; it loses its disk."""
        strikes = ("24:kill:core1:1.6", "64:kill:core2:1.6", "99:wipe:core3:0.05")
        found = Schedule(
            strikes=tuple(parse_fault_point(each) for each in strikes),
            orders=ONE_ORDER,
            is_cold=True,
            has_router=False,
        )
        removal = mock.patch.object(ViewManager, "_may_drop", lambda self, *_: True)
        self.assert_caught(removal, found, Invariant.RECOVERS)

    def test_joining_without_a_copy(self):
        """An emptied core takes the number of entries over, and not the entries."""

        async def uninstalled(self, got):
            self.chain.serial = self.chain.synced = got.serial
            self.chain.fault, self.chain.needs_copy = None, False
            return got

        self.assert_caught(
            mock.patch.object(StateTransfer, "_install", uninstalled),
            schedule("5:wipe:core1:0.3"),
            Invariant.COPIES,
            ConsistencyRule.LOST,
        )

    def test_proposing_without_a_majority(self):
        """Both sides of a cut agree on a next view."""
        whole = Agreement._run_phase

        async def alone(self, voters, ask, least):
            return await whole(self, voters, ask, 1)

        self.assert_caught(
            mock.patch.object(Agreement, "_run_phase", alone),
            schedule("5:cut:core1:9"),
            Invariant.ONE_VIEW,
        )
