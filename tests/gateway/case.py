"""A site under load that is judged at its end."""

import unittest

from tests.gateway.town import PlatformTown


class SiteCase(unittest.TestCase):
    """A site under load that is judged at its end."""

    def town(self, seed=1, rate=8.0, **more):
        town = PlatformTown(seed, **more).start()
        town.drive(rate)
        town.world.run(1)
        return town

    def assert_kept(self, town, share=1.0):
        """No rule is broken, no process failed, and at least such a share of the requests was served."""
        self.assertEqual(town.breaches(), {})
        self.assertEqual(town.world.faults, [])
        served, count = town.served()
        self.assertGreaterEqual(served, share * count)

    def assert_falls_without(self, patch, case, *rules):
        """With a mechanism taken out, a run of a town is caught: by these rules, or else by what the case asserts."""
        with patch:
            town = case()
            found = town.breaches()
        self.assertTrue(set(rules) <= set(found), found)
