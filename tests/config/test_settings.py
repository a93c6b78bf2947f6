"""Tests of `config/settings.py`."""

import unittest
from pathlib import Path

import msgspec

from swiftdeck.config.settings import Settings, readSettings
from swiftdeck.fault import isFault


class SettingsTest(unittest.TestCase):
    def testEachFaultIsNamed(self):
        good = {"name": "r1", "inner": "127.0.0.1:7000", "http": "127.0.0.1:8000"}
        self.assertEqual(readSettings(flags=good).configLicenceMs, 4000)
        for wrong, word in [
            ({"inner": "localhost:1"}, "inner"),
            ({"seeds": ["127.0.0.1"]}, "seeds[0]"),
            ({"probeMs": "fast"}, "probeMs"),
            ({"foo": 1}, "foo"),
            ({"http": "127.0.0.1:7000"}, "http"),
            ({"configLicenceMs": 1000}, "configLicenceMs"),
        ]:
            fault = readSettings(flags=good | wrong)
            self.assertTrue(isFault(fault))
            self.assertIn(word, fault.reason)

    def testEachSettingAndItsDefaultStandInTheDocs(self):
        path = Path(__file__).resolve().parent.parent.parent / "docs" / "operations.md"
        if not path.exists():
            self.skipTest("the docs are not installed with the package")
        told = {}
        for line in path.read_text().splitlines():
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            if line.startswith("| `") and len(cells) == 3:
                told |= dict(
                    zip(
                        cells[0].replace("`", "").split(", "),
                        cells[1].replace("`", "").split(", "),
                        strict=False,
                    )
                )
        defaults = {field.name: field.default for field in msgspec.structs.fields(Settings)}
        for name, default in defaults.items():
            self.assertIn(name, told)
            if isinstance(default, (int, float)):
                self.assertEqual(told[name], str(default), name)
