"""Disables each safety mechanism of the control plane and checks that the model detects it."""

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
    """Return a schedule with these strikes, by default for three cores."""
    return Schedule(cores, seed, orders, tuple(parse_fault_point(each) for each in strikes))


def broken(candidate):
    """Return the consistency rules and invariants that a run of the schedule breaks."""
    outcome = play(candidate)
    return {
        fault.clause if isinstance(fault, Violation) else fault.invariant
        for fault in outcome.faults
    }


class RemovalTest(unittest.TestCase):
    """Each schedule passes with the mechanism and fails without it."""

    def assert_caught(self, removal, candidate, *expected):
        """Check that the schedule passes, and breaks one of `expected` with the removal."""
        self.assertEqual(broken(candidate), set(), candidate.command())
        with removal:
            self.assertTrue(broken(candidate) & set(expected), candidate.command())

    def test_an_acknowledgement_before_the_sync(self):
        """Entries count as synced at once, then all cores lose power."""

        async def unsynced(self):
            self._mark_synced(self.serial)
            return True

        self.assert_caught(
            mock.patch.object(Chain, "_sync", unsynced),
            schedule("9:blackout:core2:0.3"),
            Invariant.COPIES,
        )

    def test_an_acknowledgement_before_the_sync_and_a_closing_fault(self):
        """Two of five cores lose their disks; all cores and the router lose power."""

        async def unsynced(self):
            self._mark_synced(self.serial)
            return True

        candidates = [schedule(f"{point}:closing:core2:0.3", cores=5) for point in (20, 30, 40)]
        for candidate in candidates:
            self.assertEqual(broken(candidate), set(), candidate.command())
        with mock.patch.object(Chain, "_sync", unsynced):
            caught = set().union(*map(broken, candidates))
        self.assertIn(ConsistencyRule.LOST, caught)

    def test_an_acknowledgement_before_the_tails_own_sync(self):
        """Two members are left and no router, whose confirmation would come after the sync."""
        candidate = attrs.evolve(
            schedule("0:power:core2:9", "128:stall:core3:0.8", orders=(5.0,)), has_router=False
        )
        self.assert_caught(
            mock.patch.object(Chain, "is_synced", lambda self, serial: True),
            candidate,
            Invariant.COPIES,
        )

    def test_a_promise_before_the_sync(self):
        """A voter grants a promise that its disk doesn't have yet."""

        async def unsynced(self, record):
            self.journal.append(record)

        self.assert_caught(
            mock.patch.object(Agreement, "_persist", unsynced), schedule(), Invariant.ONLY_RISES
        )

    def test_serving_without_a_view_lease(self):
        """A head that is cut off, or a tail that is resumed, serves beside its successor."""
        for strike in ("5:cut:core1:2.5", "10:freeze:core3:2.5"):
            self.assert_caught(
                mock.patch.object(Agreement, "may_serve", lambda self: self.decided.number > 0),
                schedule(strike),
                Invariant.ONE_SERVES,
            )

    def test_serving_without_a_view_lease_in_the_smaller_half(self):
        """Three and five cores are split; the smaller half has the tail."""
        removal = mock.patch.object(Agreement, "may_serve", lambda self: self.decided.number > 0)
        for cores, strike in ((3, "5:split:core3:8"), (5, "5:split:core3:8")):
            candidate = schedule(strike, orders=(0.0, 2.5), cores=cores)
            self.assert_caught(removal, candidate, Invariant.ONE_SERVES)
            self.assert_caught(
                removal, candidate, ConsistencyRule.STALE_READ, ConsistencyRule.STALE_LEASE
            )

    def test_a_new_view_that_does_not_wait_out_the_old_lease(self):
        """The tail's disk stalls, so that it learns of the next view late."""
        self.assert_caught(
            mock.patch.object(Agreement, "_extend_wait", lambda self, wait_ms=None: None),
            schedule("10:stall:core3:2.5", orders=(0.0, 0.3, 1.0)),
            Invariant.ONE_SERVES,
        )

    def test_dropping_the_last_copies_at_once(self):
        """A view of one member is formed while the others are down, and it loses its disk."""
        strikes = ("24:kill:core1:1.6", "64:kill:core2:1.6", "99:wipe:core3:0.05")
        candidate = Schedule(
            strikes=tuple(parse_fault_point(each) for each in strikes),
            orders=ONE_ORDER,
            is_cold=True,
            has_router=False,
        )
        removal = mock.patch.object(ViewManager, "_may_drop", lambda self, *_: True)
        self.assert_caught(removal, candidate, Invariant.RECOVERS)

    def test_joining_without_a_copy(self):
        """A core with a wiped disk adopts the number of entries, but not the entries."""

        async def uninstalled(self, copy):
            self.chain.serial = self.chain.synced = copy.serial
            self.chain.fault, self.chain.needs_copy = None, False
            return copy

        self.assert_caught(
            mock.patch.object(StateTransfer, "_install", uninstalled),
            schedule("5:wipe:core1:0.3"),
            Invariant.COPIES,
            ConsistencyRule.LOST,
        )

    def test_proposing_without_a_majority(self):
        """Both sides of a cut decide on a next view."""
        run_phase = Agreement._run_phase

        async def alone(self, voters, ask, least):
            return await run_phase(self, voters, ask, 1)

        self.assert_caught(
            mock.patch.object(Agreement, "_run_phase", alone),
            schedule("5:cut:core1:9"),
            Invariant.ONE_VIEW,
        )
