"""Tests of `config/settings.py`."""

import unittest
from pathlib import Path

import msgspec

from swiftdeck.config.settings import Settings, read_settings
from swiftdeck.fault import is_fault


class SettingsTest(unittest.TestCase):
    def test_fault_reason_names_the_setting(self):
        valid = {"name": "r1", "inner": "127.0.0.1:7000", "http": "127.0.0.1:8000"}
        self.assertEqual(read_settings(flags=valid).configLicenceMs, 4000)
        for invalid, setting in [
            ({"inner": "localhost:1"}, "inner"),
            ({"seeds": ["127.0.0.1"]}, "seeds[0]"),
            ({"probeMs": "fast"}, "probeMs"),
            ({"foo": 1}, "foo"),
            ({"http": "127.0.0.1:7000"}, "http"),
            ({"configLicenceMs": 1000}, "configLicenceMs"),
            ({"memoryMb": 64, "bodyBytes": (16 << 20) + 1}, "bodyBytes"),
            ({"memoryMb": 1}, "memoryMb"),
        ]:
            fault = read_settings(flags=valid | invalid)
            self.assertTrue(is_fault(fault))
            self.assertIn(setting, fault.reason)

    def test_docs_list_each_setting_with_its_default(self):
        path = Path(__file__).resolve().parent.parent.parent / "docs" / "operations.md"
        if not path.exists():
            self.skipTest("the docs are not installed with the package")
        documented = {}
        for line in path.read_text().splitlines():
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            if line.startswith("| `") and len(cells) == 3:
                documented |= dict(
                    zip(
                        cells[0].replace("`", "").split(", "),
                        cells[1].replace("`", "").split(", "),
                        strict=False,
                    )
                )
        defaults = {field.name: field.default for field in msgspec.structs.fields(Settings)}
        for name, default in defaults.items():
            self.assertIn(name, documented)
            if isinstance(default, (int, float)):
                self.assertEqual(documented[name], str(default), name)
