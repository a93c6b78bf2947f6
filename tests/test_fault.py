"""Tests of `fault.py`."""

import unittest
from pathlib import Path

from swiftdeck.fault import LOST_RACE, TABLE


class FaultTest(unittest.TestCase):
    def testFaultIsFalseAndKeepsItsCode(self):
        fault = LOST_RACE.because("base 3, newest 4")
        self.assertFalse(fault)
        self.assertEqual(
            fault.asBody(),
            {"code": 200, "fault": "base version is not the newest", "reason": "base 3, newest 4"},
        )

    def testOnlyFaultsBeforeDispatchPromiseNotRun(self):
        self.assertTrue(all(not fault.notRun for code, fault in TABLE.items() if 130 <= code < 150))
        self.assertTrue(all(fault.notRun for code, fault in TABLE.items() if 100 <= code < 130))

    def testTheTableInTheDocsIsThisOne(self):
        path = Path(__file__).resolve().parent.parent / "docs" / "codes.md"
        if not path.exists():
            self.skipTest("the docs are not installed with the package")
        rows = [
            line
            for line in path.read_text().splitlines()
            if line.startswith("| ") and line[2].isdecimal()
        ]
        self.assertEqual(
            rows[: len(TABLE)],
            [
                f"| {each.code} | {each.name} | {each.status} | {'yes' if each.notRun else ''} |"
                for _, each in sorted(TABLE.items())
            ],
        )
