"""Tests of `traffic/slot_table.py`."""

import unittest

from swiftdeck.traffic.slot_table import SlotTable
from swiftdeck.traffic.worker_slots import Conversation
from swiftdeck.wire.messages import AttemptEnd, GrantAsk


class BooksTest(unittest.TestCase):
    def test_nothing_is_remembered_of_a_conversation_that_is_over(self):
        from swiftdeck.runtime.telemetry import Telemetry
        from swiftdeck.sim.world import World
        from swiftdeck.traffic.decisions import Decisions

        world, seen = World(), []

        class Alone:
            def config(self):
                return None

        async def main():
            slot_table = SlotTable(Alone(), Telemetry(), Decisions(lambda: 0.0))
            conversation = Conversation("c", "t", "shared", "w", "w1")
            slot_table.open(conversation)
            for turn in range(20):
                slot_table.remember(conversation, b"%d" % turn)
            seen.append(len(slot_table.by_last))
            slot_table.close(conversation, "idle")
            seen.append((slot_table.by_last, slot_table.conversations, slot_table.of("w").open))

        world.start("a", "10.0.0.1", main)
        world.run(1)
        self.assertEqual(seen, [4, ({}, {}, {})])

    def test_a_late_end_of_an_earlier_attempt_leaves_the_present_one_running(self):
        from swiftdeck.runtime.telemetry import Telemetry
        from swiftdeck.sim.world import World
        from swiftdeck.traffic.decisions import Decisions

        world, seen = World(), []

        class Alone:
            def config(self):
                return None

        def asked(attempt):
            return GrantAsk(call="a", attempt=attempt, talk=[b"x"], chain=[b"x"], weights="w1")

        def ended(attempt):
            return AttemptEnd(call="a", attempt=attempt, conversation="c", never_sent=True)

        async def main():
            slot_table = SlotTable(Alone(), Telemetry(), Decisions(lambda: 0.0))
            conversation = Conversation("c", "t", "shared", "w", "w1")
            slot_table.open(conversation)
            for attempt in (1, 2):
                slot_table.attempt_granted(conversation, asked(attempt), "10.2.0.1:7000")
            for attempt in (1, 2):
                slot_table.attempt_ended(conversation, ended(attempt))
                seen.append((sorted(conversation.running), sorted(slot_table.conversations)))

        world.start("a", "10.0.0.1", main)
        world.run(1)
        self.assertEqual(seen, [(["a"], ["c"]), ([], [])])
