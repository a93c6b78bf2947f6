"""Tests of what the project depends on."""

import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NAMED_BY_THE_BRIEF = {"attrs", "betterproto", "dulwich", "h11", "msgspec", "structlog", "typer"}


class DependenciesTest(unittest.TestCase):
    def listed(self):
        lines = (ROOT / "requirements.txt").read_text().splitlines()
        return [line.strip() for line in lines if line.strip()]

    def test_both_lists_name_the_same_versions(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        self.assertEqual(self.listed(), project["dependencies"])
        self.assertTrue(all("==" in each for each in self.listed()))

    def test_the_libraries_that_the_brief_names_are_used(self):
        names = {each.partition("==")[0] for each in self.listed()}
        self.assertLessEqual(NAMED_BY_THE_BRIEF, names)
        sources = [path.read_text() for path in (ROOT / "swiftdeck").rglob("*.py")]
        unused = [
            name
            for name in NAMED_BY_THE_BRIEF
            if not any(f"import {name}" in text or f"from {name}" in text for text in sources)
        ]
        self.assertEqual(unused, [])
