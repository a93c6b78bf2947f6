"""Tests of `programs/loop.py`."""

import asyncio
import os
import signal
import unittest

from swiftdeck.programs.loop import run_until_signal


class LoopTest(unittest.TestCase):
    def setUp(self):
        self.events = []

    def send(self, *signal_numbers):
        """Send signals to this process."""
        for signal_number in signal_numbers:
            os.kill(os.getpid(), signal_number)

    async def start(self):
        self.send(signal.SIGTERM)
        for _ in range(5):
            await asyncio.sleep(0)
        self.events.append("started")

    async def stop(self):
        self.send(signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
        for _ in range(5):
            await asyncio.sleep(0)
        self.events.append("stopped")

    def test_sigterm_during_start_and_during_stop_stops_once_and_in_order(self):
        status = run_until_signal(
            self.start, self.stop, lambda: self.events.append("settings read")
        )
        self.assertEqual((status, self.events), (0, ["started", "settings read", "stopped"]))
