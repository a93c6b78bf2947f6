"""Tests of the generated schedule of troubles."""

import unittest

from swiftdeck.soak.crowd_kinds import KINDS_BY_ROLE
from swiftdeck.soak.run import SHORT
from swiftdeck.soak.schedule import (
    MACHINE_KINDS,
    REPLACEMENT_S,
    Kind,
    Phase,
    ScheduleGenerator,
    draw_schedule,
)
from swiftdeck.soak.site import Site

SEEDS = range(1, 41)


class FixedBlock:
    def ip(self, host):
        return f"127.1.1.{host}"


def schedule(seed, seconds=60.0):
    return draw_schedule(seed, seconds, Site(FixedBlock()))


class ScheduleTest(unittest.TestCase):
    def test_a_seed_determines_the_schedule(self):
        for seed in SEEDS:
            self.assertEqual(schedule(seed).lines(), schedule(seed).lines())
        self.assertNotEqual(schedule(1).lines(), schedule(2).lines())

    def test_troubles_overlap_most_of_the_time(self):
        for seed in SEEDS:
            self.assertGreater(schedule(seed).overlap(), 0.6, seed)

    def test_all_kinds_occur_over_the_seeds(self):
        kinds = {trouble.kind for seed in SEEDS for trouble in schedule(seed).troubles}
        self.assertEqual(kinds, set(Kind) - {Kind.CROWD})

    def test_crowds_of_all_kinds_come_to_each_role_and_change_nothing_else(self):
        site, seen = Site(FixedBlock()), {role: set() for role in KINDS_BY_ROLE}
        for seed in SEEDS:
            troubles = draw_schedule(seed, 60.0, site, has_crowds=True).troubles
            crowds = [trouble for trouble in troubles if trouble.kind is Kind.CROWD]
            others = [trouble for trouble in troubles if trouble.kind is not Kind.CROWD]
            self.assertEqual(others, draw_schedule(seed, 60.0, site).troubles)
            for crowd in crowds:
                seen[site.machines[crowd.target].role].add(crowd.how)
        self.assertEqual(seen, {role: set(kinds) for role, kinds in KINDS_BY_ROLE.items()})

    def test_at_most_one_core_is_down_at_a_time(self):
        for seed in SEEDS:
            outages = [
                trouble
                for trouble in schedule(seed).troubles
                if trouble.target.startswith("core")
                and trouble.kind in (*MACHINE_KINDS, Kind.TERMINATE)
            ]
            for one in outages:
                for other in outages:
                    if one.target != other.target:
                        self.assertFalse(
                            one.at_s < other.end_s and other.at_s < one.end_s, (seed, one, other)
                        )

    def test_no_core_is_disturbed_in_the_settled_phase(self):
        for seed in SEEDS:
            generator = ScheduleGenerator(seed, 90.0, Site(FixedBlock()))
            settled = [
                interval for interval in generator.intervals if interval.phase is Phase.CORE_SETTLED
            ]
            self.assertTrue(settled)
            for trouble in generator.troubles:
                is_of_core = trouble.target.startswith("core") or trouble.kind is Kind.KILL_CORES
                if is_of_core or trouble.kind is Kind.CUT:
                    self.assertFalse(
                        any(
                            interval.begin_s <= trouble.at_s < interval.end_s
                            for interval in settled
                        ),
                        (seed, trouble),
                    )

    def test_a_short_run_has_all_phases(self):
        for seed in SEEDS:
            generator = ScheduleGenerator(seed, SHORT.seconds, Site(FixedBlock()))
            self.assertEqual({interval.phase for interval in generator.intervals}, set(Phase))

    def test_machines_of_a_role_are_restarted_one_after_another(self):
        for seed in SEEDS:
            for role in REPLACEMENT_S:
                restarts = [
                    trouble
                    for trouble in schedule(seed).troubles
                    if trouble.kind is Kind.TERMINATE and trouble.target.startswith(role)
                ]
                self.assertGreaterEqual(len(restarts), 1 if role == "core" else 3)
                for one, other in zip(restarts, restarts[1:], strict=False):
                    self.assertLessEqual(one.end_s, other.at_s)


if __name__ == "__main__":
    unittest.main()
