"""Tests of `config/configuration.py`."""

import unittest

import msgspec

from swiftdeck.config.configuration import Configuration
from swiftdeck.config.document import merge
from swiftdeck.fault import is_fault


class ConfigurationTest(unittest.TestCase):
    WHOLE = {
        "models": {"m": {"weights": "w"}},
        "routes": {"r": {"model": "m"}, "s": {"model": "m", "single": True}},
    }

    def test_a_change_gives_what_reading_the_whole_gives(self):
        held = Configuration.read(msgspec.json.encode(self.WHOLE))
        for patch in (
            {"models": {"m": {"cap": 3}}},
            {"routes": {"r": None, "t": {"model": "m"}}},
            {"tenants": {"a": {}}},
            {"models": {"n": {"weights": "v"}}},
            {"routes": {"s": {"single": None}}},
            {"tenants": None},
        ):
            whole = merge(msgspec.json.decode(held.bytes()), patch)
            held = held.apply(held.patch(patch))
            other = Configuration.read(msgspec.json.encode(whole))
            self.assertEqual(
                (held.raws, held.document, held.digest(), held.size),
                (other.raws, other.document, other.digest(), other.size),
                patch,
            )
            self.assertEqual(held.bytes(), msgspec.json.encode(whole))

    def test_putting_a_whole_document_changes_only_what_differs(self):
        held = Configuration.read(msgspec.json.encode(self.WHOLE))
        fresh = self.WHOLE | {"routes": {"r": {"model": "m"}, "u": {"model": "m"}}}
        delta = held.put(fresh)
        self.assertEqual(delta, {"routes": {"s": None, "u": {"model": "m"}}})
        self.assertEqual(
            held.apply(delta).digest(), Configuration.read(msgspec.json.encode(fresh)).digest()
        )
        self.assertNotEqual(held.digest(), held.apply(delta).digest())

    def test_faults_name_the_path(self):
        held = Configuration.read(msgspec.json.encode(self.WHOLE))
        for patch, path in [
            ({"routes": {"r": {"model": "x"}}}, "$.routes.r.model"),
            ({"routes": {"r": {"foo": 1}}}, "$.routes.r"),
            ({"models": {"m": {"cap": 0}}}, "$.models.m.cap"),
            ({"models": {"m": None}}, "$.routes.r.model"),
            ({"routes": {"R!": {"model": "m"}}}, "$.routes.R!"),
            ({"rows": {}}, "$"),
            ({"routes": 3}, "$.routes"),
            ({"routes": {"r": 3}}, "$.routes.r"),
        ]:
            fault = held.patch(patch)
            self.assertTrue(is_fault(fault), patch)
            self.assertTrue(fault.reason.startswith(path), fault.reason)
        self.assertTrue(
            all(
                is_fault(held.put(wrong))
                for wrong in ([], {"routes": None}, {"routes": {"r": None}})
            )
        )
