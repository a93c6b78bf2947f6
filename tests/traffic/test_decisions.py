"""Tests of `traffic/decisions.py`."""

import unittest

from swiftdeck.traffic.decisions import Decisions


class DecisionsTest(unittest.TestCase):
    def test_a_resumed_reader_learns_how_many_were_dropped(self):
        decisions = Decisions(lambda: 0.0, limit=3)
        for number in range(5):
            decisions.add("start", call=str(number))
        dropped, items = decisions.since(1)
        self.assertEqual((dropped, [item["n"] for item in items]), (1, [3, 4, 5]))
        self.assertEqual(decisions.since(4)[1][0]["n"], 5)
        self.assertEqual(decisions.since(9), (0, []))

    def test_all_decisions_about_a_call_and_its_conversation(self):
        decisions = Decisions(lambda: 0.0)
        decisions.add("wait", call="c1")
        decisions.add("start", call="c1", conversation="t1")
        decisions.add("start", call="c2", conversation="t2")
        decisions.add("move", conversation="t1")
        self.assertEqual(
            [item["kind"] for item in decisions.about("c1")], ["wait", "start", "move"]
        )
