"""Tests of `bench/measure.py`."""

import unittest

from swiftdeck.bench.measures.faults import fetch


class MeasureTest(unittest.TestCase):
    def test_fetching_beats_computing_anew_and_a_slow_peer_costs_its_bound(self):
        rows = {row["from"]: row for row in fetch(1)}
        self.assertTrue(all(row["whole"] for row in rows.values()))
        self.assertLess(rows["peer"]["turnMs"] * 2, rows["recompute"]["turnMs"])
        self.assertLess(rows["store"]["turnMs"] * 2, rows["recompute"]["turnMs"])
        self.assertLess(rows["slow peer"]["turnMs"], rows["recompute"]["turnMs"] + 1500 + 500)
