"""Tests of `bench/thrash.py`."""

import unittest
from collections import defaultdict

from swiftdeck.bench.thrash import Thrash


class ThrashTest(unittest.TestCase):
    def asked(self, seed, delays_seed):
        """What each agent asked, in order, while messages are delayed by another seed."""
        thrash, asked = Thrash(3, seed, agents=3, seconds=25.0), defaultdict(list)
        start = thrash.cluster.start

        def start_otherwise(**model):
            thrash.cluster.world.random.seed(delays_seed)
            start(**model)
            call = thrash.cluster.caller.call

            def noted(tenant, route, parts, **more):
                asked[tenant].append(
                    (
                        tenant,
                        [part.partition(" [[")[0] for part in parts],
                        more["door"],
                        more["is_last"],
                    )
                )
                return call(tenant, route, parts, **more)

            thrash.cluster.caller.call = noted

        thrash.cluster.start = start_otherwise
        thrash.run()
        return asked

    def test_the_same_seed_is_the_same_workload_however_messages_are_delayed(self):
        one, other = self.asked(1, 7), self.asked(1, 8)
        self.assertEqual(set(one), set(other))
        for tenant in one:
            count = min(len(one[tenant]), len(other[tenant]))
            self.assertGreater(count, 3)
            self.assertEqual(one[tenant][:count], other[tenant][:count])
        self.assertNotEqual(one, self.asked(2, 7))

    def test_a_cap_keeps_prefixes_where_none_thrashes(self):
        capped, other, free = (
            Thrash(cap, seed, agents=10, seconds=200.0, room=400000).run()
            for cap, seed in ((3, 1), (3, 2), (1000, 1))
        )
        self.assertGreater(capped["hits"], 0.95)
        self.assertGreater(other["hits"], 0.95)
        self.assertLess(free["hits"], 0.6)
        self.assertGreater(capped["requestsPerS"], 1.3 * free["requestsPerS"])
