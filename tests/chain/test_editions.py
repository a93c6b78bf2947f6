"""Tests of changes that are based on editions, the operator's own numbers."""

import unittest

import msgspec

from swiftdeck.chain.state import ChainState
from swiftdeck.config.configuration import Configuration
from swiftdeck.fault import (
    BASE_VERSION_AHEAD,
    CHANGE_ID_REUSED,
    INVALID_CONFIG,
    VERSION_CONFLICT,
    is_fault,
)

PATH = {"host": "h", "prefix": "/", "services": [{"service": "s", "share": 1}], "timeoutMs": 5}


def path(prefix, **more):
    return PATH | {"prefix": prefix} | more


class EditionTest(unittest.TestCase):
    def setUp(self):
        self.state, self.entries = ChainState(), []
        self.change(
            "first",
            "replace",
            {
                "services": {"s": {}},
                "paths": {"a": path("/a/"), "b": path("/b/"), "c": path("/c/")},
            },
            4,
            0,
            ensure={"models": {"m": {"weights": "1"}}},
        )

    def change(self, change_id, op, document, edition, on_edition, **more):
        return self.propose(
            {
                "id": change_id,
                "op": op,
                "document": document,
                "edition": edition,
                "onEdition": on_edition,
            }
            | more
        )

    def propose(self, change):
        entry = self.state.examine({"t": "config"} | change)
        if entry is not None and not is_fault(entry):
            entry = msgspec.msgpack.decode(msgspec.msgpack.encode(entry))
            self.entries.append(entry)
            self.state.apply(entry)
        return entry

    def raw_table(self, table):
        return self.state.config.raws[table]

    def test_replace_keeps_the_order_of_tables_and_leaves_others(self):
        before = self.state.config
        self.propose(
            {
                "id": "r",
                "op": "put",
                "base": 1,
                "document": msgspec.json.decode(before.bytes()) | {"routes": {"x": {"model": "m"}}},
            }
        )
        self.change(
            "second",
            "replace",
            {"paths": {"c": path("/c/"), "n": path("/n/"), "a": path("/a/", tries=2)}},
            6,
            4,
            ensure={"models": {"m": {"weights": "9"}, "n": {"weights": "1"}}},
        )
        self.assertEqual(
            self.entries[-1]["delta"]["paths"],
            [{"b": None, "n": path("/n/"), "a": path("/a/", tries=2)}, ["c", "n", "a"]],
        )
        self.assertEqual(list(self.raw_table("paths")), ["c", "n", "a"])
        self.assertEqual(
            (
                self.raw_table("routes"),
                self.raw_table("models"),
                self.raw_table("services"),
                self.raw_table("edition"),
            ),
            (
                {"x": {"model": "m"}},
                {"m": {"weights": "1"}, "n": {"weights": "1"}},
                {"s": {}},
                {"operator": {"number": 6}},
            ),
        )

    def test_items_are_put_whole_and_the_delta_has_only_those(self):
        self.change(
            "second",
            "items",
            {
                "paths": {
                    "b": path("/b/", tries=2),
                    "d": path("/d/"),
                    "a": None,
                    "none": None,
                    "c": path("/c/"),
                }
            },
            5,
            4,
        )
        self.assertEqual(
            self.entries[-1]["delta"],
            {
                "paths": {"b": path("/b/", tries=2), "d": path("/d/"), "a": None},
                "edition": {"operator": {"number": 5}},
            },
        )
        self.assertEqual(list(self.raw_table("paths")), ["b", "c", "d"])
        self.change(
            "third", "items", {"edition": {"operator": {"keyed": False, "told": {"x": [1]}}}}, 6, 5
        )
        self.change("fourth", "items", {"edition": {"operator": {"told": {"y": [None]}}}}, 7, 6)
        self.assertEqual(
            self.raw_table("edition")["operator"],
            {"number": 7, "keyed": False, "told": {"x": [1], "y": [None]}},
        )
        self.change("fifth", "replace", {"edition": {"operator": {"told": {"z": None}}}}, 8, 7)
        self.assertEqual(self.raw_table("edition")["operator"], {"number": 8, "told": {"z": None}})

    def test_members_routers_and_copies_reach_the_same_state(self):
        self.change("second", "replace", {"paths": {"b": path("/b/"), "a": path("/a/")}}, 5, 4)
        self.propose({"id": "w", "op": "raise", "model": "m", "weights": 3})
        self.propose({"id": "w2", "op": "raise", "model": "m", "weights": 2})
        follower, router = ChainState(), Configuration.empty()
        for entry in self.entries:
            follower.apply(entry)
        for delta in self.state.deltas_since(0, router.digest()):
            router = router.apply(msgspec.msgpack.decode(delta))
        copied = ChainState()
        copied.from_bytes(self.state.to_bytes())
        self.assertTrue(follower.is_consistent)
        self.assertEqual((follower.to_bytes(), copied.to_bytes()), (self.state.to_bytes(),) * 2)
        self.assertEqual(
            (router.digest(), router.raws, router.document),
            (self.state.config.digest(), self.state.config.raws, self.state.config.document),
        )

    def test_an_edition_must_be_based_on_the_current_one_and_above_it(self):
        for edition, on_edition, code in (
            (9, 3, VERSION_CONFLICT.code),
            (9, 0, VERSION_CONFLICT.code),
            (9, 5, BASE_VERSION_AHEAD.code),
            (4, 4, INVALID_CONFIG.code),
            (3, 4, INVALID_CONFIG.code),
            (3, 3, INVALID_CONFIG.code),
            (5, 5, INVALID_CONFIG.code),
        ):
            for op in ("replace", "items"):
                self.assertEqual(self.change("x", op, {}, edition, on_edition).code, code)
        self.assertIsNone(
            self.change(
                "first",
                "replace",
                {
                    "services": {"s": {}},
                    "paths": {"a": path("/a/"), "b": path("/b/"), "c": path("/c/")},
                },
                4,
                0,
                ensure={"models": {"m": {"weights": "1"}}},
            )
        )
        self.assertEqual(self.change("first", "replace", {}, 4, 0).code, CHANGE_ID_REUSED.code)
        self.propose(
            {"id": "p", "op": "patch", "base": 1, "document": {"routes": {"r": {"model": "m"}}}}
        )
        self.assertEqual(self.change("second", "items", {}, 9, 4)["version"], 3)

    def test_without_an_edition_the_base_version_counts(self):
        change = {"id": "i", "op": "items", "document": {"paths": {"a": None}}}
        self.assertEqual(self.propose(change | {"base": 0}).code, VERSION_CONFLICT.code)
        self.assertEqual(self.propose(change | {"base": 1})["version"], 2)
        self.assertEqual(self.raw_table("edition"), {"operator": {"number": 4}})

    def test_invalid_paths_are_refused(self):
        for document, location in [
            ({"paths": {"d": path("/a/")}}, "$.paths.d.prefix"),
            ({"services": {"s": None}}, "$.paths.a.services[0]"),
            (
                {"paths": {"d": path("/d/", services=[{"service": "s", "share": 0}])}},
                "$.paths.d.services",
            ),
            ({"paths": {"d": path("/d/", services=[])}}, "$.paths.d.services"),
            ({"paths": {"d": path("/d/", timeoutMs=0)}}, "$.paths.d.timeoutMs"),
            ({"paths": None}, "$.paths"),
            ({"paths": {"d": path("/d/", tries=0)}}, "$.paths.d.tries"),
            ({"rows": {"d": {}}}, "$"),
        ]:
            fault = self.change("x", "items", document, 9, 4)
            self.assertEqual(
                (fault.code, fault.reason.startswith(location)), (INVALID_CONFIG.code, True), fault
            )
        self.assertTrue(
            all(
                is_fault(self.change("x", "replace", document, 9, 4))
                for document in ({"paths": None}, {"paths": {"a": None}}, {"services": {}})
            )
        )

    def test_weights_are_only_raised_and_each_change_has_an_outcome(self):
        for change_id, weights, version, current in (
            ("w2", 2, 2, "2"),
            ("again", 2, 2, "2"),
            ("w1", 1, 2, "2"),
            ("w10", 10, 3, "10"),
            ("w9", 9, 3, "10"),
        ):
            self.propose({"id": change_id, "op": "raise", "model": "m", "weights": weights})
            self.assertEqual(
                (self.state.stored.changes[change_id][0], self.raw_table("models")["m"]["weights"]),
                (version, current),
            )
        self.assertIsNone(self.propose({"id": "w2", "op": "raise", "model": "m", "weights": 2}))
        self.assertEqual(
            self.propose({"id": "w2", "op": "raise", "model": "m", "weights": 3}).code,
            CHANGE_ID_REUSED.code,
        )
        self.assertEqual(
            self.propose({"id": "u", "op": "raise", "model": "u", "weights": 3}).code,
            INVALID_CONFIG.code,
        )
        self.change("named", "items", {"models": {"m": {"weights": "w1"}}}, 9, 4)
        self.assertEqual(
            self.propose({"id": "v", "op": "raise", "model": "m", "weights": 3}).code,
            INVALID_CONFIG.code,
        )
