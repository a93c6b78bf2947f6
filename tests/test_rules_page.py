"""Checks docs/rules.md: the tests that it names exist, and it counts the removals right."""

import re
import unittest
from pathlib import Path

from tests.cases.mutations import MUTATIONS

TESTS = Path(__file__).resolve().parent
PAGE = (TESTS.parent / "docs/rules.md").read_text()


def test_names() -> set[str]:
    """Return the names of all test methods of the suite."""
    return {
        name
        for path in TESTS.rglob("*.py")
        for name in re.findall(r"def (test_\w+)\(", path.read_text())
    }


class RulesPageTest(unittest.TestCase):
    def test_each_named_test_exists(self):
        named = set(re.findall(r"(?<![\w/])test_\w+(?!\.py)\b", PAGE))
        self.assertGreater(len(named), 30)
        self.assertEqual(sorted(named - test_names()), [])

    def test_no_name_is_cut_short(self):
        self.assertEqual(re.findall(r"test\w*…", PAGE), [])

    def test_removals_are_counted(self):
        self.assertIn(f"{len(MUTATIONS)} removals", PAGE)


if __name__ == "__main__":
    unittest.main()
