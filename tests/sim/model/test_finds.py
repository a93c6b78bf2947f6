"""Regression tests: schedules that broke something before."""

import unittest

from swiftdeck.sim.model.run import play
from swiftdeck.sim.model.schedule import Schedule, parse_fault_point


class FindsTest(unittest.TestCase):
    """One test for each failure that the model found."""

    def assert_passes(self, *strikes, **options):
        """Check that a schedule breaks nothing; by default it has two competing orders."""
        schedule = Schedule(strikes=tuple(parse_fault_point(each) for each in strikes), **options)
        self.assertEqual(play(schedule).describe_faults(), [], schedule.command())

    def test_a_refusal_rests_on_an_order_in_force(self):
        """The head refused an order in favor of one that reads did not return yet."""
        for strike in ("0:kill:core2:0.3", "10:kill:core2:0.3", "10:cut:core2:2.5"):
            self.assert_passes(strike)

    def test_a_run_ends(self):
        """Data for a client that wasn't connected yet stopped the simulated clock."""
        self.assert_passes("3:kill:core1:0.3")

    def test_a_chain_without_entries_recovers(self):
        """All members of a second view without entries mistook their empty logs for lost files."""
        founding = {"orders": (0.0,), "is_cold": True, "has_router": False}
        for point in (104, 116):
            self.assert_passes(f"{point}:outage:core1:0.3", cores=5, **founding)
        self.assert_passes("32:blackout:core1:0.05", "70:blackout:core1:0.05", **founding)

    def test_a_disk_lost_by_the_only_member_of_a_view_leaves_the_copies_of_the_others(self):
        """Two cores are killed; the last member loses its disk before one of them has joined."""
        founding = {"orders": (0.0,), "is_cold": True, "has_router": False}
        for first, second, third in ((28, 60, 79), (24, 64, 99), (35, 71, 94), (40, 74, 107)):
            strikes = (
                f"{first}:kill:core1:1.6",
                f"{second}:kill:core2:1.6",
                f"{third}:wipe:core3:0.05",
            )
            self.assert_passes(*strikes, **founding)
