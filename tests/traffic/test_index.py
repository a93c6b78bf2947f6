"""Tests of `traffic/index.py`."""

import unittest

from swiftdeck.traffic.index import Kept


class KeptTest(unittest.TestCase):
    def test_a_gap_or_nonsense_asks_for_a_snapshot_and_doubles_do_not(self):
        kept = Kept()
        self.assertTrue(kept.snapshot({"n": 4, "weights": "w1", "kept": ["aa"]}))
        self.assertTrue(kept.event({"n": 5, "kind": "kept", "prefix": "bb"}))
        self.assertTrue(kept.event({"n": 4, "kind": "dropped", "prefix": "aa"}))
        self.assertEqual(kept.prefixes, {b"\xaa", b"\xbb"})
        self.assertFalse(kept.event({"n": 7, "kind": "kept", "prefix": "cc"}))
        self.assertFalse(kept.event({"n": 6, "kind": "kept", "prefix": "not hex"}))
        self.assertFalse(kept.event([]))
        self.assertTrue(kept.event({"n": 6, "kind": "weights", "weights": "w2"}))
        self.assertEqual((kept.weights, kept.prefixes), ("w2", set()))
