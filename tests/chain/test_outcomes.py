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


def order(number, base, note=""):
    """A change that an operator makes on a number."""
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
    def take(self, state, change):
        """What a head says to a change: None when it was made already, a fault, or its entry."""
        got = state.examine(change)
        if got is not None and not is_fault(got):
            state.apply(msgspec.msgpack.decode(msgspec.msgpack.encode(got)))
        return got

    def state_after(self, count):
        state = ChainState()
        for number in range(1, count + 1):
            self.take(state, order(2 * number, 2 * number - 2))
        return state

    def test_an_order_sent_again_ten_thousand_changes_later_was_taken_and_another_has_lost(self):
        state = self.state_after(10001)
        copied = ChainState()
        copied.from_bytes(state.to_bytes())
        for each in (state, copied):
            self.assertIsNone(self.take(each, order(2, 0)))
            self.assertEqual(self.take(each, order(3, 2)).code, VERSION_CONFLICT.code)
            self.assertEqual(each.outcomes.find(order(2, 0)["id"]).version, 1)
            reused = order(2, 0) | {"document": {"edition": {"operator": {}}}}
            self.assertEqual(self.take(each, reused).code, CHANGE_ID_REUSED.code)
        self.assertEqual(copied.to_bytes(), state.to_bytes())
        with mock.patch.object(outcomes, "OLDER_KEPT", 0):
            self.assertEqual(
                self.take(self.state_after(5001), order(2, 0)).code, CHANGE_FORGOTTEN.code
            )

    @mock.patch.object(outcomes, "CHANGES_KEPT", 5)
    @mock.patch.object(outcomes, "OLDER_KEPT", 10)
    def test_what_may_be_forgotten_is_never_refused_and_what_cannot_be_is(self):
        state = self.state_after(30)
        self.assertEqual((len(state.stored.changes), len(state.stored.older)), (5, 10))
        self.assertEqual(state.outcomes.horizon(), outcomes.Horizon(15, 30))
        said = {
            number: self.take(state, order(2 * number, 2 * number - 2)) for number in range(1, 31)
        }
        self.assertEqual({said[number].code for number in range(1, 16)}, {CHANGE_FORGOTTEN.code})
        self.assertEqual({said[number] for number in range(16, 31)}, {None})
        self.assertEqual(self.take(state, order(31, 28)).code, VERSION_CONFLICT.code)
        self.assertEqual(self.take(state, order(30, 60)).code, INVALID_CONFIG.code)
        own = {"t": "config", "op": "patch", "document": {}}
        self.assertEqual(
            self.take(state, own | {"id": "a", "base": 14}).code, CHANGE_FORGOTTEN.code
        )
        self.assertEqual(
            self.take(state, own | {"id": "b", "base": 15}).code, VERSION_CONFLICT.code
        )

    @mock.patch.object(outcomes, "CHANGES_KEPT", 1)
    def test_a_row_of_an_earlier_form_is_kept_on(self):
        state = self.state_after(1)
        state.stored.changes = {"old": [1, "d", "author"]}
        self.take(state, order(4, 2))
        self.assertEqual(state.outcomes.find("old"), outcomes.Outcome(1, "d"))


class SizeTest(unittest.TestCase):
    def test_a_hundred_thousand_old_outcomes_fit_a_small_core(self):
        state = ChainState()
        for number in range(outcomes.CHANGES_KEPT + outcomes.OLDER_KEPT + 10):
            state.outcomes.record(f"patch-{number:064x}", number, f"{number:064x}", "patch", number)
        self.assertEqual(len(state.stored.older), outcomes.OLDER_KEPT)
        self.assertEqual(state.outcomes.horizon(), outcomes.Horizon(9, 9))
        self.assertLess(len(state.to_bytes()), 7 << 20)
