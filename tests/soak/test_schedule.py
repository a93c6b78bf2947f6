"""Tests of the schedule of troubles."""

import unittest

from swiftdeck.soak.schedule import MACHINE, REPLACED_S, Draw, Kind, draw
from swiftdeck.soak.site import Site

SEEDS = range(1, 41)


class FixedBlock:
    def ip(self, host):
        return f"127.1.1.{host}"


def schedule(seed, seconds=60.0):
    return draw(seed, seconds, Site(FixedBlock()))


class ScheduleTest(unittest.TestCase):
    def test_one_seed_gives_one_schedule(self):
        for seed in SEEDS:
            self.assertEqual(schedule(seed).lines(), schedule(seed).lines())
        self.assertNotEqual(schedule(1).lines(), schedule(2).lines())

    def test_troubles_overlap_most_of_the_time(self):
        for seed in SEEDS:
            self.assertGreater(schedule(seed).overlap(), 0.6, seed)

    def test_all_kinds_come_up_over_some_seeds(self):
        kinds = {each.kind for seed in SEEDS for each in schedule(seed).troubles}
        self.assertEqual(kinds, set(Kind))

    def test_one_core_is_away_at_a_time(self):
        for seed in SEEDS:
            away = [
                each
                for each in schedule(seed).troubles
                if each.target.startswith("core") and each.kind in (*MACHINE, Kind.TERMINATE)
            ]
            for one in away:
                for other in away:
                    if one.target != other.target:
                        self.assertFalse(
                            one.at_s < other.end_s and other.at_s < one.end_s, (seed, one, other)
                        )

    def test_machines_fail_in_rough_stretches_only(self):
        for seed in SEEDS:
            made = Draw(seed, 60.0, Site(FixedBlock()))
            for each in made.troubles:
                if each.kind in MACHINE:
                    self.assertTrue(any(a <= each.at_s < b for a, b in made.rough), (seed, each))

    def test_machines_of_a_role_are_replaced_one_after_the_other(self):
        for seed in SEEDS:
            for role in REPLACED_S:
                times = [
                    each
                    for each in schedule(seed).troubles
                    if each.kind is Kind.TERMINATE and each.target.startswith(role)
                ]
                self.assertGreaterEqual(len(times), 3)
                for one, other in zip(times, times[1:], strict=False):
                    self.assertLessEqual(one.end_s, other.at_s)


if __name__ == "__main__":
    unittest.main()
