"""Tests of `bench/thrash.py`."""
import unittest

from swiftdeck.bench.thrash import Thrash


class ThrashTest(unittest.TestCase):
    def testACapKeepsPrefixesWhereNoneThrashes(self):
        capped, free = (Thrash(cap, 1, agents=10, seconds=200.0, room=400000).run() for cap in (3, 1000))
        self.assertGreater(capped["hits"], 0.95)
        self.assertLess(free["hits"], 0.6)
        self.assertGreater(capped["requestsPerS"], 1.3 * free["requestsPerS"])
