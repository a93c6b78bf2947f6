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

    def test_applying_a_change_equals_parsing_the_whole_result(self):
        configuration = Configuration.read(msgspec.json.encode(self.WHOLE))
        for patch in (
            {"models": {"m": {"cap": 3}}},
            {"routes": {"r": None, "t": {"model": "m"}}},
            {"tenants": {"a": {}}},
            {"models": {"n": {"weights": "v"}}},
            {"routes": {"s": {"single": None}}},
            {"tenants": None},
        ):
            whole = merge(msgspec.json.decode(configuration.bytes()), patch)
            configuration = configuration.apply(configuration.patch(patch))
            expected = Configuration.read(msgspec.json.encode(whole))
            self.assertEqual(
                (
                    configuration.raws,
                    configuration.document,
                    configuration.digest(),
                    configuration.size,
                ),
                (expected.raws, expected.document, expected.digest(), expected.size),
                patch,
            )
            self.assertEqual(configuration.bytes(), msgspec.json.encode(whole))

    def test_put_changes_only_entries_that_differ(self):
        configuration = Configuration.read(msgspec.json.encode(self.WHOLE))
        new_document = self.WHOLE | {"routes": {"r": {"model": "m"}, "u": {"model": "m"}}}
        delta = configuration.put(new_document)
        self.assertEqual(delta, {"routes": {"s": None, "u": {"model": "m"}}})
        self.assertEqual(
            configuration.apply(delta).digest(),
            Configuration.read(msgspec.json.encode(new_document)).digest(),
        )
        self.assertNotEqual(configuration.digest(), configuration.apply(delta).digest())

    def test_fault_reason_begins_with_the_path(self):
        configuration = Configuration.read(msgspec.json.encode(self.WHOLE))
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
            fault = configuration.patch(patch)
            self.assertTrue(is_fault(fault), patch)
            self.assertTrue(fault.reason.startswith(path), fault.reason)
        self.assertTrue(
            all(
                is_fault(configuration.put(invalid_document))
                for invalid_document in ([], {"routes": None}, {"routes": {"r": None}})
            )
        )
