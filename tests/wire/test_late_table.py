"""Checks docs/late-messages.md: each kind of message has one row, and each row an existing test."""

import importlib
import re
import unittest
from pathlib import Path

from swiftdeck.wire.messages import KINDS

PAGE = Path(__file__).resolve().parents[2] / "docs/late-messages.md"
ROW = re.compile(r"^\| (.+?) \| (.+?) \| (tests\.\S+) \|$", re.MULTILINE)


def rows() -> list[tuple[str, str, str]]:
    """Return the rows of the page: message kind, why a late one is harmless, test id."""
    return ROW.findall(PAGE.read_text())


def resolves(test_id: str) -> bool:
    """Return whether a test with this id exists."""
    module, case, name = test_id.rsplit(".", 2)
    try:
        return callable(getattr(getattr(importlib.import_module(module), case), name))
    except (ImportError, AttributeError):
        return False


class LateTableTest(unittest.TestCase):
    def test_each_kind_of_message_has_one_row(self):
        kinds = [label.strip("`") for label, _, _ in rows() if label.startswith("`")]
        self.assertEqual(sorted(kinds), sorted(kind.kind_name for kind in KINDS.values()))

    def test_each_row_names_a_test_that_exists(self):
        missing = sorted({test_id for _, _, test_id in rows() if not resolves(test_id)})
        self.assertEqual(missing, [])

    def test_a_missing_row_and_a_missing_test_are_detected(self):
        self.assertFalse(resolves("tests.wire.test_late_table.LateTableTest.test_nothing"))
        self.assertFalse(resolves("tests.wire.nowhere.LateTableTest.test_nothing"))
        self.assertNotIn("`Nothing`", [label for label, _, _ in rows()])
