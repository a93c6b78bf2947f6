"""Tests of the model: runs are deterministic, and searches with fixed seeds find nothing."""

import unittest

from swiftdeck.sim.model.draw import search
from swiftdeck.sim.model.explore import explore
from swiftdeck.sim.model.run import play
from swiftdeck.sim.model.schedule import BadFaultPointError, Kind, Schedule, parse_fault_point

ONE_ORDER = (0.0,)


class ScheduleTest(unittest.TestCase):
    """Schedules as text."""

    def test_a_strike_is_read_as_it_is_written(self):
        """Parsing and formatting are inverse."""
        for text in ("17:wipe:core2:0.3", "0:cut:core1:2.5"):
            self.assertEqual(str(parse_fault_point(text)), text)

    def test_what_is_no_strike_is_refused(self):
        """The error names the expected format."""
        for text in ("", "x:wipe:core1:1", "1:burn:core1:1", "1:wipe:core1"):
            with self.assertRaisesRegex(BadFaultPointError, "POINT:KIND:CORE:SECONDS"):
                parse_fault_point(text)

    def test_the_command_names_the_whole_schedule(self):
        """One command line replays the schedule."""
        schedule = Schedule(5, 7, (0.0, 1.5), (parse_fault_point("4:kill:core3:0.3"),), True)
        self.assertEqual(
            schedule.command(),
            "swiftdeck-bench model play --cores 5 --seed 7 --order 0 --order 1.5 --cold"
            " --strike 4:kill:core3:0.3",
        )


class RunTest(unittest.TestCase):
    """Whole runs."""

    def test_the_same_schedule_gives_the_same_run(self):
        """The event labels and states are equal."""
        schedule = Schedule(strikes=(parse_fault_point("12:wipe:core3:0.3"),))
        one, two = play(schedule), play(schedule)
        self.assertEqual((one.labels, one.states), (two.labels, two.states))
        self.assertEqual(one.describe_faults(), [])

    def test_each_kind_of_fault_strikes(self):
        """No kind is skipped, and the cores recover from each."""
        for kind in Kind:
            outcome = play(Schedule(strikes=(parse_fault_point(f"10:{kind.value}:core2:0.6"),)))
            self.assertEqual((len(outcome.applied), outcome.describe_faults()), (1, []), kind)

    def test_two_disks_are_not_lost_at_once(self):
        """The second loss is skipped while the first core may still be copying."""
        strikes = tuple(
            parse_fault_point(text) for text in ("5:wipe:core1:0.3", "9:wipe:core2:0.3")
        )
        outcome = play(Schedule(orders=ONE_ORDER, strikes=strikes))
        self.assertEqual(len(outcome.skipped), 1)
        self.assertEqual(outcome.describe_faults(), [])


class SearchTest(unittest.TestCase):
    """Explorations and random searches with fixed seeds."""

    def assert_none_failed(self, results):
        """Check that no schedule failed."""
        failed = [result for result in results if result is not None]
        self.assertEqual([(result.schedule.command(), result.faults) for result in failed], [])

    def test_every_wipe_and_blackout_at_a_sample_of_points_of_two_rival_orders(self):
        """The seed decides the sample."""
        result = explore(Schedule(), 1, 24, (Kind.WIPE, Kind.BLACKOUT))
        self.assert_none_failed(result.failed())
        self.assertEqual(result.schedules(), 25)
        self.assertGreater(len(result.states), 500)

    def test_crash_cut_and_replacement_together(self):
        """Up to three strikes, sampled at each level."""
        result = explore(Schedule(seed=2), 3, 8, (Kind.POWER, Kind.CUT, Kind.REPLACE))
        self.assert_none_failed(result.failed())
        self.assertEqual(result.schedules(), 25)

    def test_schedules_drawn_for_three_and_five_cores(self):
        """Up to five strikes of any kind and up to four orders, also during the founding."""
        for cores, count in ((3, 12), (5, 4)):
            result = search(cores, 1, count)
            self.assert_none_failed([result.failed])
            self.assertEqual(result.schedules, count)
