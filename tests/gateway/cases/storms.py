"""Cases of random troubles; `python -m tests.gateway.storm` runs more of them."""

import unittest

from tests.gateway.storm import LateStorm, RollingStorm, Storm


class StormsCase(unittest.TestCase):
    def test_after_a_storm_no_rule_was_broken_and_all_is_well(self):
        for seed in (1, 104):
            with self.subTest(seed):
                storm = Storm(seed, 12.0)
                self.assertEqual(storm.calm_down(), [], storm.log)
                served, count = storm.cluster.served()
                self.assertGreater(served, 0.85 * count)

    def test_after_a_storm_in_which_routers_stop_again_and_again(self):
        for seed in (3, 7):
            with self.subTest(seed):
                storm = RollingStorm(seed, 12.0)
                self.assertEqual(storm.calm_down(), [], storm.log)
                served, count = storm.cluster.served()
                self.assertGreater(served, 0.8 * count)

    def test_after_a_storm_in_which_messages_come_late(self):
        for seed in (2, 6):
            with self.subTest(seed):
                storm = LateStorm(seed, 12.0)
                self.assertEqual(storm.calm_down(), [], storm.log)
                served, count = storm.cluster.served()
                self.assertGreater(served, 0.85 * count)
                self.assertGreater(storm.cluster.late.count.total(), 50)
