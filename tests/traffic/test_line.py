"""Tests of `traffic/line.py`."""

import unittest

from swiftdeck.traffic.line import Line, Waiting


class LineTest(unittest.TestCase):
    def testALargeTenantDoesNotStarveASmallOne(self):
        line = Line()
        for number in range(50):
            line.add(Waiting("large", number, None, 0))
        line.add(Waiting("small", "s", None, 0))
        self.assertEqual([line.take().ask for _ in range(4)], [0, "s", 1, 2])

    def testWhoHasWaitedLongerElsewhereStandsBefore(self):
        line = Line()
        for sinceS in (5, 7, 3):
            line.add(Waiting("t", sinceS, None, sinceS))
        self.assertEqual([line.first().ask, *(line.take().ask for _ in range(3))], [3, 3, 5, 7])
