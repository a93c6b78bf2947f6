"""Tests of `runtime/telemetry.py`."""

import unittest

from swiftdeck.runtime.telemetry import Telemetry


class TelemetryTest(unittest.TestCase):
    def test_only_changes_are_logged(self):
        lines = []

        class Log:
            def info(self, event, **fields):
                lines.append((event, fields["now"]))

        telemetry = Telemetry(Log())
        for value in (1, 1, 2, 2, 1):
            telemetry.set_fact("health", value)
        self.assertEqual(lines, [("health", 1), ("health", 2), ("health", 1)])
