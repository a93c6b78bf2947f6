"""Tests of what the project depends on."""

import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


class DependenciesTest(unittest.TestCase):
    def test_both_lists_name_the_same_versions(self):
        listed = [
            line.strip()
            for line in (ROOT / "requirements.txt").read_text().splitlines()
            if line.strip()
        ]
        self.assertEqual(
            listed, tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["dependencies"]
        )
        self.assertTrue(all("==" in each for each in listed))
