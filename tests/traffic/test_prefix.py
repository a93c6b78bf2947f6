"""Tests of `traffic/prefix.py`."""

import unittest

from swiftdeck.traffic.prefix import chainOf, groupOf


class PrefixTest(unittest.TestCase):
    def testNamesDifferByWeightsGroupAndCutBetweenParts(self):
        base = chainOf("w1", groupOf("a", False), ["book", "x"])
        self.assertEqual(base, chainOf("w1", groupOf("b", False), ["book", "x"]))
        others = [
            chainOf("w2", "shared", ["book", "x"]),
            chainOf("w1", groupOf("a", True), ["book", "x"]),
            chainOf("w1", groupOf("b", True), ["book", "x"]),
            chainOf("w1", "shared", ["boo", "kx"]),
        ]
        self.assertFalse(set(base) & {link for chain in others for link in chain})
        self.assertEqual(base[0], chainOf("w1", "shared", ["book", "y"])[0])
