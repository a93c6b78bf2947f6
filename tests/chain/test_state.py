"""Tests of `chain/state.py`."""

import unittest

import msgspec

from swiftdeck.chain.state import CLAIM, FINISH, FULL, HELD, OVER, RELEASE, WITHDRAWN, ChainState
from swiftdeck.fault import CHANGE_ID_REUSED, INVALID_CONFIG, VERSION_CONFLICT, is_fault


class ChainStateTest(unittest.TestCase):
    def test_a_claim_is_remembered_for_a_whole_day(self):
        state, day = ChainState(), 24 * 3600 * 1000

        def batch(name, elapsed_ms, *ops):
            state.apply({"t": "claims", "id": name, "elapsedMs": elapsed_ms, "ops": list(ops)})
            return state.stored.batches[name]

        batch(
            "1",
            0,
            ["over", "r1", "d", CLAIM],
            ["held", "r1", "d", CLAIM],
            ["over", "r1", "d", FINISH],
        )
        batch("2", day - 1)
        self.assertEqual(
            batch("3", 0, ["over", "r2", "d", CLAIM], ["held", "r2", "d", CLAIM]), [OVER, HELD]
        )
        batch("4", 2)
        self.assertEqual(
            batch("5", 0, ["over", "r2", "d", CLAIM], ["held", "r2", "d", CLAIM]), ["", ""]
        )

    def propose(self, state, **fields):
        entry = state.examine({"t": "config", "op": "put", "author": "x"} | fields)
        if entry and not is_fault(entry):
            state.apply(entry)
        return entry

    def test_changes_are_based_on_versions_and_ids_are_used_once(self):
        state = ChainState()
        document = {"models": {"m": {"weights": "w1"}}}
        self.assertEqual(self.propose(state, id="a", base=0, document=document)["version"], 1)
        self.assertIsNone(self.propose(state, id="a", base=0, document=document))
        self.assertEqual(
            self.propose(state, id="a", base=1, document=document).code, CHANGE_ID_REUSED.code
        )
        self.assertEqual(
            self.propose(state, id="b", base=0, document=document).code, VERSION_CONFLICT.code
        )
        self.assertEqual(
            self.propose(
                state, id="c", base=1, op="patch", document={"models": {"m": {"cap": "x"}}}
            ).code,
            INVALID_CONFIG.code,
        )
        self.propose(
            state, id="d", base=1, op="patch", document={"models": {"m": {"weights": "w2"}}}
        )
        copied = ChainState()
        copied.from_bytes(state.to_bytes())
        self.assertEqual(
            (copied.stored.version, copied.config.document.models["m"].weights), (2, "w2")
        )
        self.assertEqual(
            (copied.config.digest(), copied.to_bytes()), (state.config.digest(), state.to_bytes())
        )
        missing = state.deltas_since(1, ChainState().config.digest())
        self.assertIsNone(missing)
        earlier_format = ChainState()
        earlier_format.apply(
            {
                "t": "config",
                "id": "a",
                "version": 1,
                "digest": "d",
                "author": "x",
                "document": msgspec.json.encode(document),
            }
        )
        deltas = state.deltas_since(1, earlier_format.config.digest())
        self.assertEqual(
            earlier_format.config.apply(msgspec.msgpack.decode(deltas[0])).digest(),
            state.config.digest(),
        )

    def test_a_claim_is_held_by_one_run_until_it_expires(self):
        state = ChainState(keepMs=100, claimsMost=2)

        def batch(name, elapsed_ms, *ops):
            state.apply({"t": "claims", "id": name, "elapsedMs": elapsed_ms, "ops": list(ops)})
            return state.stored.batches[name]

        self.assertEqual(
            batch(
                "1", 0, ["k", "r1", "d", CLAIM], ["k", "r2", "d", CLAIM], ["k", "r3", "e", CLAIM]
            ),
            ["", HELD, "other body"],
        )
        batch("2", 0, ["k", "r2", "d", RELEASE])
        self.assertEqual(batch("3", 0, ["k", "r4", "d", CLAIM]), [HELD])
        batch("4", 0, ["k", "r1", "d", FINISH])
        self.assertEqual(batch("5", 50, ["k", "r4", "d", CLAIM]), [OVER])
        batch("6", 60)
        self.assertEqual(batch("7", 0, ["k", "r4", "d", CLAIM]), [""])
        self.assertEqual(
            batch("8", 0, ["l", "r3", "d", CLAIM], ["m", "r4", "d", CLAIM]), ["", FULL]
        )
        batch("9", 0, ["l", "r3", "d", RELEASE], ["m", "r5", "d", RELEASE])
        self.assertEqual(
            batch(
                "10", 0, ["l", "r3", "d", CLAIM], ["m", "r5", "d", CLAIM], ["l", "r6", "d", CLAIM]
            ),
            [WITHDRAWN, WITHDRAWN, ""],
        )
