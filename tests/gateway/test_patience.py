"""Tests of the bound on a worker's silence."""

import unittest
from unittest import mock

from swiftdeck.gateway import patience
from swiftdeck.gateway.patience import (
    HUNG_MIN_LIMIT_S,
    HUNG_SLACK,
    MIN_LIMIT_S,
    TARGET_SHARE,
    silence_limit_s,
)
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import PlatformCluster


class PatienceTest(unittest.TestCase):
    def test_the_limit_for_a_short_prompt_is_a_share_of_its_target(self):
        self.assertEqual(silence_limit_s(0.6, 0), TARGET_SHARE * 0.6)
        self.assertEqual(silence_limit_s(0.2, 8), MIN_LIMIT_S)

    def test_if_no_other_worker_could_be_in_time_only_a_hung_one_is_given_up(self):
        self.assertEqual(silence_limit_s(0.6, 150), TARGET_SHARE * 0.6)
        self.assertEqual(silence_limit_s(0.6, 250), HUNG_MIN_LIMIT_S)
        self.assertEqual(silence_limit_s(0.6, 900), HUNG_SLACK * 0.9)

    def test_a_long_prompt_gets_the_time_to_read_it(self):
        for reading_ms in (425, 1000):
            self.assertGreater(silence_limit_s(0.6, reading_ms), 1.5 * reading_ms / 1000)


class ColdPromptTest(SiteCase):
    """Guards against reading a long prompt twice because a worker that reads it is silent.

    Routers send long prompts rarely here, so they know little of a worker's pace.
    """

    def run_cold_prompt(self):
        """Send a prompt that takes 0.65 s to read while another worker answers short calls."""
        cluster = PlatformCluster(3, routers=1).start()
        parts = [("rules", 37_000), ("own", 3_000)]
        cluster.beside(lambda: cluster._asking("r-resume", "1", parts=parts), "clients")
        for index in range(8):
            cluster.ask("r-resume", f"s{index}", parts=[("hello", 90), (f"s{index}", 300)], out=2)
            cluster.world.run(0.05)
        cluster.world.run(3)
        return cluster

    def readings(self, cluster):
        """Return how often a worker read the long prompt, whole or in part."""
        return len(
            [item for item in cluster.records if item["kind"] == "read" and item["new"] > 5000]
        )

    def test_a_cold_prompt_is_read_by_one_worker(self):
        cluster = self.run_cold_prompt()
        self.assert_kept(cluster)
        self.assertEqual(self.readings(cluster), 1)

    def test_without_the_slack_for_reading_it_is_read_twice(self):
        removed = {"READING_SLACK": 0.0, "HUNG_MIN_LIMIT_S": 0.0, "HUNG_SLACK": 0.0}
        with mock.patch.multiple(patience, **removed):
            cluster = self.run_cold_prompt()
        self.assertEqual(self.readings(cluster), 2)
