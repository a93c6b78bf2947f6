"""Tests of `traffic/ring.py`."""

import unittest

from swiftdeck.traffic.ring import Ring


class RingTest(unittest.TestCase):
    def test_removing_a_worker_moves_only_its_own_keys(self):
        names = [f"w{number}" for number in range(9)]
        keys = [b"%d" % number for number in range(2000)]
        before, after = Ring(names), Ring(names[:-1])
        moved = [(next(before.walk(key)), next(after.walk(key))) for key in keys]
        self.assertTrue(all(old == "w8" for old, new in moved if old != new))
        self.assertTrue(0.05 < sum(old != new for old, new in moved) / len(keys) < 0.18)
        self.assertEqual(sorted(before.walk(b"k")), names)
