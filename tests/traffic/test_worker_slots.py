"""Tests of `traffic/worker_slots.py`."""

import unittest

from swiftdeck.traffic.worker_slots import Conversation, WorkerSlots


class BookTest(unittest.TestCase):
    def test_slots_come_back_from_the_paused_only_when_due(self):
        book = WorkerSlots("w", 2)
        first, second = (Conversation(name, "t", "shared", "w", "w1") for name in "ab")
        for each in (first, second):
            book.entry(each)
        self.assertFalse(book.has_room())
        first.running["c"], second.idle_since_s = 1, 10.0
        self.assertIsNone(book.longest_paused(12.0, 3000))
        self.assertIs(book.longest_paused(14.0, 3000), second)
        self.assertEqual((book.ended(14.0, 7500), book.ended(18.0, 7500)), ([], [second]))

    def test_the_cap_follows_survival(self):
        from swiftdeck.config.document import Model

        model, book = Model(weights="w", adapts=True, cap=16), WorkerSlots("w", 16)
        book.returns, book.hits = 10, 5
        book.adapt(model)
        self.assertEqual(book.cap, 12)
        book.queue.add(type("W", (), {"tenant": "t"})())
        book.returns, book.hits = 10, 10
        book.adapt(model)
        self.assertEqual(book.cap, 13)
