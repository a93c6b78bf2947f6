"""Tests of the table of cached parts."""

import unittest

from swiftdeck.gateway.interfaces import Part
from swiftdeck.gateway.kept import KeptTable

PROMPT = [Part("a", 100), Part("b", 50), Part("c", 10)]


class KeptTest(unittest.TestCase):
    def setUp(self):
        self.kept = KeptTable()

    def test_tokens_count_up_to_the_first_missing_part(self):
        self.kept.keep("w1", "1", "a", 100)
        self.kept.keep("w1", "1", "c", 10)
        self.assertEqual(self.kept.tokens("w1", "1", PROMPT), 100)
        self.kept.keep("w1", "1", "b", 20)
        self.assertEqual(self.kept.tokens("w1", "1", PROMPT), 120)
        self.kept.keep("w1", "1", "b", 50)
        self.assertEqual(self.kept.tokens("w1", "1", PROMPT), 160)

    def test_nothing_is_found_under_another_salt_or_at_another_holder(self):
        self.kept.keep("w1", "1", "a", 100)
        self.assertEqual(
            [self.kept.tokens("w1", salt, PROMPT) for salt in ("2", "1/t", "")], [0, 0, 0]
        )
        self.assertEqual(self.kept.tokens("w2", "1", PROMPT), 0)
        self.assertEqual(self.kept.holders("2", PROMPT), [])

    def test_holders_are_ordered_by_the_leading_tokens_that_they_have(self):
        for holder, part in (("w1", "b"), ("w2", "a"), ("w3", "a"), ("w3", "b")):
            self.kept.keep(holder, "1", part, {"a": 100, "b": 50}[part])
        self.assertEqual(self.kept.holders("1", PROMPT), ["w3", "w2", "w1"])
        self.assertEqual(self.kept.holders("1", []), [])

    def test_dropped_and_forgotten_parts_leave_nothing_behind(self):
        for holder in ("w1", "w2"):
            self.kept.keep(holder, "1", "a", 100)
            self.kept.keep(holder, "1", "b", 50)
        self.kept.drop("w1", "1", "a")
        self.kept.drop("w1", "1", "never")
        self.kept.drop("w9", "1", "a")
        self.assertEqual(
            (self.kept.tokens("w1", "1", PROMPT), self.kept.tokens("w2", "1", PROMPT)), (0, 150)
        )
        self.kept.forget("w1")
        self.kept.forget("w2")
        self.kept.forget("w9")
        self.assertEqual((self.kept.parts, self.kept.by_holder), ({}, {}))
