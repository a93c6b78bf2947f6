"""Tests of `traffic/prefix.py`."""

import unittest

from swiftdeck.traffic.prefix import chain_of, group_of


class PrefixTest(unittest.TestCase):
    def test_digests_differ_by_weights_group_and_boundaries_of_parts(self):
        base = chain_of("w1", group_of("a", False), ["book", "x"])
        self.assertEqual(base, chain_of("w1", group_of("b", False), ["book", "x"]))
        others = [
            chain_of("w2", "shared", ["book", "x"]),
            chain_of("w1", group_of("a", True), ["book", "x"]),
            chain_of("w1", group_of("b", True), ["book", "x"]),
            chain_of("w1", "shared", ["boo", "kx"]),
        ]
        self.assertFalse(set(base) & {digest for chain in others for digest in chain})
        self.assertEqual(base[0], chain_of("w1", "shared", ["book", "y"])[0])
