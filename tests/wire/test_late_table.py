"""Tests of docs/late-messages.md: each kind of message has a row, and each row a test."""

import importlib
import re
import unittest
from pathlib import Path

from swiftdeck.wire.messages import KINDS

PAGE = Path(__file__).resolve().parents[2] / "docs/late-messages.md"
ROW = re.compile(r"^\| (.+?) \| (.+?) \| (tests\.\S+) \|$", re.MULTILINE)


def rows() -> list[tuple[str, str, str]]:
    """The rows of the page's tables: what, why it does no harm, the test."""
    return ROW.findall(PAGE.read_text())


def resolves(test_id: str) -> bool:
    """Whether a test of such an id exists."""
    module, case, name = test_id.rsplit(".", 2)
    try:
        return callable(getattr(getattr(importlib.import_module(module), case), name))
    except (ImportError, AttributeError):
        return False


class LateTableTest(unittest.TestCase):
    def test_each_kind_of_message_has_one_row(self):
        kinds = [what.strip("`") for what, _, _ in rows() if what.startswith("`")]
        self.assertEqual(sorted(kinds), sorted(kind.kind_name for kind in KINDS.values()))

    def test_each_row_names_a_test_that_exists(self):
        missing = sorted({test_id for _, _, test_id in rows() if not resolves(test_id)})
        self.assertEqual(missing, [])

    def test_a_kind_without_a_row_and_a_test_that_is_gone_are_found(self):
        self.assertFalse(resolves("tests.wire.test_late_table.LateTableTest.test_nothing"))
        self.assertFalse(resolves("tests.wire.nowhere.LateTableTest.test_nothing"))
        self.assertNotIn("`Nothing`", [what for what, _, _ in rows()])
