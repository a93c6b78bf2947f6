"""Each mechanism that the control side rests on is taken out, and the model finds the schedule."""

import unittest
from unittest import mock

from swiftdeck.bench.history import Clause, Violation
from swiftdeck.chain.chain import Chain
from swiftdeck.sim.model.invariants import Invariant
from swiftdeck.sim.model.run import play
from swiftdeck.sim.model.schedule import Schedule, read_strike

ONE_ORDER = (0.0,)


def schedule(*strikes, orders=ONE_ORDER, seed=1):
    """A schedule for three cores."""
    return Schedule(seed=seed, orders=orders, strikes=tuple(read_strike(each) for each in strikes))


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
            Clause.LOST,
        )
