"""Tests of the generation of shared cached prefixes, which rises when a tenant becomes isolated."""

import itertools
import unittest
from unittest import mock

import msgspec

from swiftdeck.chain import cache_isolation
from swiftdeck.chain.state import ChainState
from swiftdeck.config.document import key_digest, shared_cache_generation
from swiftdeck.fault import INVALID_CONFIG, is_fault

SHARES, ISOLATED = {"apart": False}, {"apart": True}


def tenants(**isolation_by_name):
    """Return the table of some tenants with a key each; None removes one."""
    return {
        name: entry and entry | {"keys": [key_digest(name)]}
        for name, entry in isolation_by_name.items()
    }


class CacheIsolationTest(unittest.TestCase):
    def setUp(self):
        self.state, self.entries, self.numbers = ChainState(), [], itertools.count(1)
        self.replace(a=SHARES, b=SHARES, walled=ISOLATED)

    def propose(self, change):
        """Let the head examine a change, and apply its entry as members do."""
        entry = self.state.examine(
            {"t": "config", "author": "x", "id": str(len(self.entries))} | change
        )
        self.assertFalse(is_fault(entry), entry)
        entry = msgspec.msgpack.decode(msgspec.msgpack.encode(entry))
        self.entries.append(entry)
        self.state.apply(entry)

    def change(self, op, document):
        """Send a change that bears the operator's own number."""
        edition = self.state.config.document.edition
        number = edition["operator"].number if edition else 0
        self.propose({"op": op, "document": document, "edition": number + 1, "onEdition": number})

    def items(self, **isolation_by_name):
        """Put and remove tenants, as the operator's PATCH does."""
        self.change("items", {"tenants": tenants(**isolation_by_name)})

    def replace(self, **isolation_by_name):
        """Replace all tenants, as the operator's PUT does."""
        edition = {"operator": {"number": 0, "keyed": True}}
        self.change("replace", {"tenants": tenants(**isolation_by_name), "edition": edition})

    def own(self, op, document):
        """Send a change of the own interface, a whole document or a merge patch."""
        self.propose({"op": op, "document": document, "base": self.state.stored.version})

    def restart(self):
        """Continue with a copy of the state, as a restarted core or a new member does."""
        copy = ChainState()
        copy.from_bytes(self.state.to_bytes())
        self.state = copy

    def generation(self):
        return shared_cache_generation(self.state.config.document)

    def departed(self):
        return list(self.state.stored.departedTenants)

    # Guards against a tenant that comes back isolated and leaves its prefixes shared.
    def test_a_removed_tenant_that_comes_back_isolated_raises_the_generation(self):
        for remove, put_back, is_restarted in itertools.product(
            (lambda: self.items(a=None), lambda: self.replace(b=SHARES, walled=ISOLATED)),
            (
                lambda: self.items(a=ISOLATED),
                lambda: self.replace(a=ISOLATED, b=SHARES, walled=ISOLATED),
            ),
            (False, True),
        ):
            self.setUp()
            remove()
            self.assertEqual((self.generation(), self.departed()), (0, ["a"]))
            self.items(c=SHARES)
            if is_restarted:
                self.restart()
            put_back()
            self.assertEqual((self.generation(), self.departed()), (1, []))

    def test_a_tenant_that_becomes_isolated_raises_the_generation_each_time(self):
        self.items(a=ISOLATED)
        self.assertEqual(self.generation(), 1)
        self.items(a=SHARES)
        self.assertEqual(self.generation(), 1)
        self.replace(a=ISOLATED, b=SHARES, walled=ISOLATED)
        self.assertEqual(self.generation(), 2)

    def test_tenants_that_left_nothing_shared_do_not_raise_the_generation(self):
        self.items(new=ISOLATED, b=SHARES)
        self.items(walled=None, new=None)
        self.items(walled=ISOLATED, new=ISOLATED)
        self.items(a=None)
        self.items(a=SHARES)
        self.replace(a=SHARES, b=SHARES, walled=ISOLATED)
        self.assertEqual((self.generation(), self.departed()), (0, []))

    def test_a_tenant_that_left_under_an_earlier_generation_is_forgotten(self):
        self.items(a=None, b=ISOLATED)
        self.assertEqual((self.generation(), self.departed()), (1, []))
        self.items(a=ISOLATED)
        self.assertEqual(self.generation(), 1)

    def test_a_tenant_that_shared_again_in_between_is_remembered(self):
        self.items(a=None)
        self.items(a=SHARES)
        self.items(a=None)
        self.restart()
        self.items(a=ISOLATED)
        self.assertEqual(self.generation(), 1)

    def test_tenants_that_all_go_by_a_configuration_without_any_are_remembered(self):
        self.replace()
        self.assertEqual(self.departed(), ["a", "b"])
        self.replace(b=ISOLATED)
        self.assertEqual(self.generation(), 1)

    def test_the_memory_of_removed_tenants_is_bounded(self):
        with mock.patch.object(cache_isolation, "MAX_DEPARTED_TENANTS", 3):
            for number in range(3):
                self.items(**{f"t{number}": SHARES})
                self.items(**{f"t{number}": None})
            self.assertEqual((self.generation(), len(self.departed())), (0, 3))
            self.items(a=None)
            self.assertEqual((self.generation(), self.departed()), (1, []))
            self.items(t0=ISOLATED, a=ISOLATED)
            self.assertEqual(self.generation(), 1)

    def test_a_state_that_does_not_tell_who_was_removed_counts_each_tenant_as_removed(self):
        self.items(a=None)
        stored = msgspec.msgpack.decode(self.state.to_bytes())
        del stored["departedTenants"]
        self.state.from_bytes(msgspec.msgpack.encode(stored))
        self.items(b=None)
        self.items(never_seen=SHARES)
        self.assertEqual(self.generation(), 0)
        self.items(a=ISOLATED)
        self.assertEqual((self.generation(), self.departed()), (1, []))

    # Guards against prefixes of an earlier generation that are found again.
    def test_no_change_of_an_operator_lowers_the_generation(self):
        self.items(a=ISOLATED)
        for op, document in (
            ("patch", {"edition": {"operator": None}}),
            ("patch", {"edition": None}),
            ("put", {"tenants": tenants(b=SHARES)}),
            ("put", {"tenants": tenants(b=SHARES), "edition": {"operator": {"number": 9}}}),
        ):
            self.own(op, document)
            self.assertEqual(self.generation(), 1, (op, document))
        self.items(c=SHARES)
        self.items(c=ISOLATED)
        self.assertEqual(self.generation(), 2)

    # Guards against an operator who changes what the cores keep or leaves it nowhere to rise to.
    def test_what_the_cores_keep_can_not_be_sent(self):
        self.items(a=ISOLATED)
        for op, edition in (
            ("patch", {"operator": {"walls": None}}),
            ("patch", {"operator": {"walls": (1 << 53) - 1}}),
            ("patch", {"cores": None}),
            ("put", {"operator": {"number": 9, "walls": 0}}),
            ("put", {"cores": {"number": 0}}),
        ):
            change = {"op": op, "document": {"edition": edition}, "id": "x"}
            change |= {"t": "config", "author": "x", "base": self.state.stored.version}
            fault = self.state.examine(change)
            self.assertEqual(fault.code, INVALID_CONFIG.code, edition)

    # Guards against a head that fails on a document that is no object in place of refusing it.
    def test_a_document_that_is_no_object_is_refused(self):
        change = {"op": "put", "document": [], "id": "x", "base": self.state.stored.version}
        fault = self.state.examine({"t": "config", "author": "x"} | change)
        self.assertEqual(fault.code, INVALID_CONFIG.code)

    # Guards against prefixes that stay shared when a tenant of the own interface is isolated.
    def test_changes_of_the_own_interface_raise_the_generation_too(self):
        self.state, self.entries = ChainState(), []
        self.own("put", {"tenants": tenants(a=SHARES, b=SHARES)})
        self.own("patch", {"tenants": {"a": {"apart": True}}})
        self.assertEqual(self.generation(), 1)
        self.own("put", {"tenants": tenants(a=SHARES)})
        self.own("put", {"tenants": tenants(a=SHARES, b=ISOLATED)})
        self.assertEqual(self.generation(), 2)

    # Guards against a configuration that is read back otherwise than its operator sent it.
    def test_operators_of_the_own_interface_read_back_what_they_sent(self):
        self.state, self.entries = ChainState(), []
        for document in (
            {"tenants": tenants(a=SHARES, b=SHARES)},
            {"tenants": tenants(a=ISOLATED, b=SHARES)},
            {"tenants": tenants(b=SHARES), "edition": {"operator": {"number": 3}}},
            {"tenants": tenants(b=ISOLATED), "edition": {"operator": {"number": 3}}},
            {"tenants": tenants(b=ISOLATED)},
        ):
            self.own("put", document)
            self.assertEqual(msgspec.json.decode(self.state.config.operators_bytes()), document)
        self.assertEqual(self.generation(), 2)

    def test_members_and_copies_reach_the_same_state(self):
        for number in range(3):
            self.items(**{f"t{number}": SHARES, "a": ISOLATED if number % 2 else SHARES})
            self.items(**{f"t{number}": None, "b": None})
            self.replace(a=SHARES, b=ISOLATED if number == 1 else SHARES)
        member = ChainState()
        for entry in self.entries:
            member.apply(entry)
        self.assertTrue(member.is_consistent)
        expected = self.state.to_bytes()
        self.restart()
        self.assertEqual([member.to_bytes(), self.state.to_bytes()], [expected] * 2)


if __name__ == "__main__":
    unittest.main()
