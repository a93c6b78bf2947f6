"""Tests of `traffic/worker_slots.py`."""

import unittest

from swiftdeck.traffic.worker_slots import Conversation, WorkerSlots


class WorkerSlotsTest(unittest.TestCase):
    def test_paused_and_idle_conversations_are_returned_only_when_due(self):
        slots = WorkerSlots("w", 2)
        first, second = (Conversation(name, "t", "shared", "w", "w1") for name in "ab")
        for conversation in (first, second):
            slots.entry(conversation)
        self.assertFalse(slots.has_room())
        first.running["c"], second.idle_since_s = 1, 10.0
        self.assertIsNone(slots.longest_paused(12.0, 3000))
        self.assertIs(slots.longest_paused(14.0, 3000), second)
        self.assertEqual((slots.ended(14.0, 7500), slots.ended(18.0, 7500)), ([], [second]))

    def test_the_cap_follows_prefix_survival(self):
        from swiftdeck.config.document import Model

        model, slots = Model(weights="w", adapts=True, cap=16), WorkerSlots("w", 16)
        slots.returns, slots.hits = 10, 5
        slots.update_cap(model)
        self.assertEqual(slots.cap, 12)
        slots.queue.add(type("W", (), {"tenant": "t"})())
        slots.returns, slots.hits = 10, 10
        slots.update_cap(model)
        self.assertEqual(slots.cap, 13)
