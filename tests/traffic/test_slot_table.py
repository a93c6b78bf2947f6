"""Tests of `traffic/slot_table.py`."""

import unittest

from swiftdeck.traffic.slot_table import SlotTable
from swiftdeck.traffic.worker_slots import Conversation
from swiftdeck.wire.messages import AttemptEnd, GrantAsk


class SlotTableTest(unittest.TestCase):
    def test_nothing_is_remembered_of_a_closed_conversation(self):
        from swiftdeck.runtime.telemetry import Telemetry
        from swiftdeck.sim.world import World
        from swiftdeck.traffic.decisions import Decisions

        world, results = World(), []

        class CoordinatorWithoutConfig:
            def config(self):
                return None

        async def main():
            slot_table = SlotTable(CoordinatorWithoutConfig(), Telemetry(), Decisions(lambda: 0.0))
            conversation = Conversation("c", "t", "shared", "w", "w1")
            slot_table.open(conversation)
            for turn in range(20):
                slot_table.add_prompt_digest(conversation, b"%d" % turn)
            results.append(len(slot_table.names_by_digest))
            slot_table.close(conversation, "idle")
            results.append(
                (
                    slot_table.names_by_digest,
                    slot_table.conversations,
                    slot_table.slots_of("w").open,
                )
            )

        world.start("a", "10.0.0.1", main)
        world.run(1)
        self.assertEqual(results, [4, ({}, {}, {})])

    def test_a_late_end_of_an_earlier_attempt_leaves_the_current_one_running(self):
        from swiftdeck.runtime.telemetry import Telemetry
        from swiftdeck.sim.world import World
        from swiftdeck.traffic.decisions import Decisions

        world, results = World(), []

        class CoordinatorWithoutConfig:
            def config(self):
                return None

        def grant_ask(attempt):
            return GrantAsk(call="a", attempt=attempt, talk=[b"x"], chain=[b"x"], weights="w1")

        def attempt_end(attempt):
            return AttemptEnd(call="a", attempt=attempt, conversation="c", never_sent=True)

        async def main():
            slot_table = SlotTable(CoordinatorWithoutConfig(), Telemetry(), Decisions(lambda: 0.0))
            conversation = Conversation("c", "t", "shared", "w", "w1")
            slot_table.open(conversation)
            for attempt in (1, 2):
                slot_table.record_grant(conversation, grant_ask(attempt), "10.2.0.1:7000")
            for attempt in (1, 2):
                slot_table.record_attempt_end(conversation, attempt_end(attempt))
                results.append((sorted(conversation.running), sorted(slot_table.conversations)))

        world.start("a", "10.0.0.1", main)
        world.run(1)
        self.assertEqual(results, [(["a"], ["c"]), ([], [])])
