"""A site under load that is judged at its end."""

import unittest

from tests.gateway.platform_cluster import PlatformCluster


class SiteCase(unittest.TestCase):
    """A site under load that is judged at its end."""

    def cluster(self, seed=1, rate=8.0, **more):
        cluster = PlatformCluster(seed, **more).start()
        cluster.drive(rate)
        cluster.world.run(1)
        return cluster

    def assert_kept(self, cluster, share=1.0):
        """No rule is broken, no process failed, and at least such a share of the requests was served."""
        self.assertEqual(cluster.breaches(), {})
        self.assertEqual(cluster.world.faults, [])
        served, count = cluster.served()
        self.assertGreaterEqual(served, share * count)

    def assert_falls_without(self, patch, case, *rules):
        """With a mechanism taken out, a run of a cluster is caught: by these rules, or else by what the case asserts."""
        with patch:
            cluster = case()
            found = cluster.breaches()
        self.assertTrue(set(rules) <= set(found), found)
