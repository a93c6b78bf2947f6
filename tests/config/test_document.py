"""Tests of `config/document.py`."""

import unittest

from swiftdeck.config.document import merge
from swiftdeck.fault import INVALID_CONFIG, is_fault


class DocumentTest(unittest.TestCase):
    def test_merge_follows_rfc_7396(self):
        for target, patch, result in [
            ({"a": "b"}, {"a": None}, {}),
            ({"a": [1]}, {"a": {"b": None}}, {"a": {}}),
            ({"a": {"b": 1, "c": 2}}, {"a": {"b": 3}}, {"a": {"b": 3, "c": 2}}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
            ([1], {"a": 1}, {"a": 1}),
        ]:
            self.assertEqual(merge(target, patch), result)
        self.assertEqual(list(merge({"a": 1, "b": 2}, {"a": 3, "c": 4})), ["a", "b", "c"])

    def test_fault_reason_begins_with_the_path(self):
        from swiftdeck.config.configuration import Configuration

        model = '"models":{"m":{"weights":"w"}}'
        for text, path in [
            (f'{{{model},"routes":{{"r":{{"model":"x"}}}}}}', "$.routes.r.model"),
            (f'{{{model},"routes":{{"r":{{"model":"m","foo":1}}}}}}', "$.routes.r"),
            (
                f'{{{model},"routes":{{"r":{{"model":"m","tenants":["t"]}}}}}}',
                "$.routes.r.tenants[0]",
            ),
            ('{"models":{"m":{"weights":"w","cap":0}}}', "$.models.m.cap"),
            ("[]", ""),
            ("{", ""),
        ]:
            fault = Configuration.read(text.encode())
            self.assertTrue(is_fault(fault))
            self.assertEqual(
                (fault.code, fault.reason.startswith(path)),
                (INVALID_CONFIG.code, True),
                fault.reason,
            )
        self.assertEqual(Configuration.read((f"{{{model}}}").encode()).document.models["m"].cap, 16)
