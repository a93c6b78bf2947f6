"""Tests of `bench/cache.py`."""

import unittest

from swiftdeck.bench.cache import Entry, PrefixCache


class PrefixCacheTest(unittest.TestCase):
    def test_the_least_recently_used_leaf_goes_first(self):
        cache, entry = PrefixCache(30), Entry(10, "t", "w")
        cache.keep([b"a", b"b"], [entry] * 2)
        cache.keep([b"a", b"c"], [entry] * 2)
        cache.keep([b"a", b"d"], [entry] * 2)
        self.assertEqual(
            (cache.depth([b"a", b"b"]), cache.depth([b"a", b"c"]), cache.depth([b"a", b"d"])),
            (1, 2, 2),
        )
