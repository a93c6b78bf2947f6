"""Tests of `chain/outcomes.py`."""

import unittest
from unittest import mock

import msgspec

from swiftdeck.chain import outcomes
from swiftdeck.chain.state import ChainState
from swiftdeck.fault import (
    CHANGE_FORGOTTEN,
    CHANGE_ID_REUSED,
    INVALID_CONFIG,
    VERSION_CONFLICT,
    is_fault,
)


def edition_change(number, base, note=""):
    """Return an operator's change of edition `base` to edition `number`."""
    edition = {"operator": {"told": {"note": {note: [{"name": note}]}}}}
    return {
        "t": "config",
        "id": f"patch-{number}-{base}-{note}",
        "op": "items",
        "author": "patch",
        "document": {"edition": edition} if note else {},
        "edition": number,
        "onEdition": base,
    }


class OutcomesTest(unittest.TestCase):
    def propose(self, state, change):
        """Propose a change to a head; return its entry, None if it was made already, or a fault."""
        response = state.examine(change)
        if response is not None and not is_fault(response):
            state.apply(msgspec.msgpack.decode(msgspec.msgpack.encode(response)))
        return response

    def state_after(self, count):
        state = ChainState()
        for number in range(1, count + 1):
            self.propose(state, edition_change(2 * number, 2 * number - 2))
        return state

    def test_a_change_repeated_ten_thousand_changes_later_is_recognized(self):
        state = self.state_after(10001)
        copied = ChainState()
        copied.from_bytes(state.to_bytes())
        for replica in (state, copied):
            self.assertIsNone(self.propose(replica, edition_change(2, 0)))
            self.assertEqual(
                self.propose(replica, edition_change(3, 2)).code, VERSION_CONFLICT.code
            )
            self.assertEqual(replica.outcomes.find(edition_change(2, 0)["id"]).version, 1)
            reused = edition_change(2, 0) | {"document": {"edition": {"operator": {}}}}
            self.assertEqual(self.propose(replica, reused).code, CHANGE_ID_REUSED.code)
        self.assertEqual(copied.to_bytes(), state.to_bytes())
        with mock.patch.object(outcomes, "OLDER_KEPT", 0):
            self.assertEqual(
                self.propose(self.state_after(5001), edition_change(2, 0)).code,
                CHANGE_FORGOTTEN.code,
            )

    @mock.patch.object(outcomes, "CHANGES_KEPT", 5)
    @mock.patch.object(outcomes, "OLDER_KEPT", 10)
    def test_changes_that_may_be_forgotten_are_undecided_and_newer_ones_refused(self):
        state = self.state_after(30)
        self.assertEqual((len(state.stored.changes), len(state.stored.older)), (5, 10))
        self.assertEqual(state.outcomes.horizon(), outcomes.Horizon(15, 30))
        responses = {
            number: self.propose(state, edition_change(2 * number, 2 * number - 2))
            for number in range(1, 31)
        }
        self.assertEqual(
            {responses[number].code for number in range(1, 16)}, {CHANGE_FORGOTTEN.code}
        )
        self.assertEqual({responses[number] for number in range(16, 31)}, {None})
        self.assertEqual(self.propose(state, edition_change(31, 28)).code, VERSION_CONFLICT.code)
        self.assertEqual(self.propose(state, edition_change(30, 60)).code, INVALID_CONFIG.code)
        own = {"t": "config", "op": "patch", "document": {}}
        self.assertEqual(
            self.propose(state, own | {"id": "a", "base": 14}).code, CHANGE_FORGOTTEN.code
        )
        self.assertEqual(
            self.propose(state, own | {"id": "b", "base": 15}).code, VERSION_CONFLICT.code
        )

    @mock.patch.object(outcomes, "CHANGES_KEPT", 1)
    def test_a_row_of_an_earlier_format_is_kept(self):
        state = self.state_after(1)
        state.stored.changes = {"old": [1, "d", "author"]}
        self.propose(state, edition_change(4, 2))
        self.assertEqual(state.outcomes.find("old"), outcomes.Outcome(1, "d"))


class SizeTest(unittest.TestCase):
    def test_a_hundred_thousand_old_outcomes_stay_below_7_mib(self):
        state = ChainState()
        for number in range(outcomes.CHANGES_KEPT + outcomes.OLDER_KEPT + 10):
            state.outcomes.record(f"patch-{number:064x}", number, f"{number:064x}", "patch", number)
        self.assertEqual(len(state.stored.older), outcomes.OLDER_KEPT)
        self.assertEqual(state.outcomes.horizon(), outcomes.Horizon(9, 9))
        self.assertLess(len(state.to_bytes()), 7 << 20)
