"""Tests of how long a silent worker is waited for."""

import unittest
from unittest import mock

from swiftdeck.gateway import patience
from swiftdeck.gateway.patience import (
    AIM_SHARE,
    HUNG_LEAST_S,
    HUNG_SLACK,
    LEAST_S,
    silence_limit_s,
)
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import PlatformCluster


class PatienceTest(unittest.TestCase):
    def test_a_short_prompt_is_waited_for_by_its_aim(self):
        self.assertEqual(silence_limit_s(0.6, 0), AIM_SHARE * 0.6)
        self.assertEqual(silence_limit_s(0.2, 8), LEAST_S)

    def test_without_a_chance_elsewhere_only_a_worker_that_hangs_is_given_up(self):
        self.assertEqual(silence_limit_s(0.6, 150), AIM_SHARE * 0.6)
        self.assertEqual(silence_limit_s(0.6, 250), HUNG_LEAST_S)
        self.assertEqual(silence_limit_s(0.6, 900), HUNG_SLACK * 0.9)

    def test_a_long_prompt_has_the_time_that_its_reading_takes(self):
        for reading_ms in (425, 1000):
            self.assertGreater(silence_limit_s(0.6, reading_ms), 1.5 * reading_ms / 1000)


class ColdPromptTest(SiteCase):
    """A site where routers send a long prompt now and then, so that they hear little of a worker."""

    def cold(self):
        """A prompt that takes 0.65 s to read, while another worker answers short calls."""
        cluster = PlatformCluster(3, routers=1).start()
        parts = [("rules", 37_000), ("own", 3_000)]
        cluster.beside(lambda: cluster._asking("r-resume", "1", parts=parts), "clients")
        for at in range(8):
            cluster.ask("r-resume", f"s{at}", parts=[("hello", 90), (f"s{at}", 300)], out=2)
            cluster.world.run(0.05)
        cluster.world.run(3)
        return cluster

    def readings(self, cluster):
        """How often a worker read the long prompt, whole or in part."""
        return len(
            [item for item in cluster.records if item["kind"] == "read" and item["new"] > 5000]
        )

    def test_a_cold_prompt_is_read_by_one_worker(self):
        cluster = self.cold()
        self.assert_kept(cluster)
        self.assertEqual(self.readings(cluster), 1)

    def test_without_time_for_its_reading_it_is_read_twice(self):
        removed = {"READING_SLACK": 0.0, "HUNG_LEAST_S": 0.0, "HUNG_SLACK": 0.0}
        with mock.patch.multiple(patience, **removed):
            cluster = self.cold()
        self.assertEqual(self.readings(cluster), 2)
