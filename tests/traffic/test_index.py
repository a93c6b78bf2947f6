"""Tests of `traffic/index.py`."""

import unittest

from swiftdeck.traffic.index import ReportedCache


class ReportedCacheTest(unittest.TestCase):
    def test_gaps_and_malformed_reports_are_refused_and_repeated_ones_are_not(self):
        cache = ReportedCache()
        self.assertTrue(cache.apply_snapshot({"n": 4, "weights": "w1", "kept": ["aa"]}))
        self.assertTrue(cache.apply_event({"n": 5, "kind": "kept", "prefix": "bb"}))
        self.assertTrue(cache.apply_event({"n": 4, "kind": "dropped", "prefix": "aa"}))
        self.assertEqual(cache.prefixes, {b"\xaa", b"\xbb"})
        self.assertFalse(cache.apply_event({"n": 7, "kind": "kept", "prefix": "cc"}))
        self.assertFalse(cache.apply_event({"n": 6, "kind": "kept", "prefix": "not hex"}))
        self.assertFalse(cache.apply_event([]))
        self.assertTrue(cache.apply_event({"n": 6, "kind": "weights", "weights": "w2"}))
        self.assertEqual((cache.weights, cache.prefixes), ("w2", set()))
