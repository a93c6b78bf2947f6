"""Names of prefixes: a chain of digests over weights, isolation group and prompt parts."""
import hashlib
import unittest

SHARED_GROUP = "shared"


def groupOf(tenant: str, isApart: bool) -> str:
    """The isolation group of a tenant: its own if it is kept apart, otherwise the shared one."""
    return f"apart/{tenant}" if isApart else SHARED_GROUP


def chainOf(weights: str, group: str, parts) -> list[bytes]:
    """One digest for each part; equal only when weights, group and all parts so far are equal."""
    link = hashlib.blake2b(f"{len(weights)}:{weights}{group}".encode(), digest_size=16).digest()
    chain = []
    for part in parts:
        link = hashlib.blake2b(link + part.encode("utf-8", "surrogatepass"), digest_size=16).digest()
        chain.append(link)
    return chain


class PrefixTest(unittest.TestCase):
    def testNamesDifferByWeightsGroupAndCutBetweenParts(self):
        base = chainOf("w1", groupOf("a", False), ["book", "x"])
        self.assertEqual(base, chainOf("w1", groupOf("b", False), ["book", "x"]))
        others = [chainOf("w2", "shared", ["book", "x"]), chainOf("w1", groupOf("a", True), ["book", "x"]),
                  chainOf("w1", groupOf("b", True), ["book", "x"]), chainOf("w1", "shared", ["boo", "kx"])]
        self.assertFalse(set(base) & {link for chain in others for link in chain})
        self.assertEqual(base[0], chainOf("w1", "shared", ["book", "y"])[0])
