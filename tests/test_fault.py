"""Tests of `fault.py`."""

import unittest
from pathlib import Path

from swiftdeck.fault import FAULTS_BY_CODE, VERSION_CONFLICT


class FaultTest(unittest.TestCase):
    def test_fault_is_false_and_keeps_its_code(self):
        fault = VERSION_CONFLICT.with_reason("base 3, newest 4")
        self.assertFalse(fault)
        self.assertEqual(
            fault.as_body(),
            {"code": 200, "fault": "base version is not the newest", "reason": "base 3, newest 4"},
        )

    def test_only_faults_before_dispatch_say_not_run(self):
        self.assertTrue(
            all(not fault.notRun for code, fault in FAULTS_BY_CODE.items() if 130 <= code < 150)
        )
        self.assertTrue(
            all(fault.notRun for code, fault in FAULTS_BY_CODE.items() if 100 <= code < 130)
        )

    def test_docs_list_all_faults(self):
        path = Path(__file__).resolve().parent.parent / "docs" / "codes.md"
        if not path.exists():
            self.skipTest("the docs are not installed with the package")
        rows = [
            line
            for line in path.read_text().splitlines()
            if line.startswith("| ") and line[2].isdecimal()
        ]
        self.assertEqual(
            rows[: len(FAULTS_BY_CODE)],
            [
                f"| {each.code} | {each.name} | {each.status} | {'yes' if each.notRun else ''} |"
                for _, each in sorted(FAULTS_BY_CODE.items())
            ],
        )
