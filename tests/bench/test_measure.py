"""Tests of `bench/measure.py`."""

import unittest

from swiftdeck.bench.measure import fetch


class MeasureTest(unittest.TestCase):
    def testFetchingBeatsComputingAnewAndASlowPeerCostsItsBound(self):
        rows = {row["from"]: row for row in fetch(1)}
        self.assertTrue(all(row["whole"] for row in rows.values()))
        self.assertLess(rows["peer"]["turnMs"] * 2, rows["recompute"]["turnMs"])
        self.assertLess(rows["store"]["turnMs"] * 2, rows["recompute"]["turnMs"])
        self.assertLess(rows["slow peer"]["turnMs"], rows["recompute"]["turnMs"] + 1500 + 500)
