"""Tests of `sim/storm.py`."""
import unittest

from swiftdeck.sim.storm import BITES, SCENARIOS, Storm, idle


class StormTest(unittest.TestCase):
    def testAScenarioThatDoesNotBiteIsFound(self):
        self.assertEqual(set(BITES), set(SCENARIOS))
        self.assertEqual(idle("routers", {"takeovers": 3, "legsReclaimed": 0}), ["legsReclaimed"])

    def testASeedGivesTheSameTraceEachTime(self):
        got = [Storm("mix", 5, 8.0, routers=3).run() for _ in range(2)]
        self.assertEqual(got[0], got[1])
