"""The soak in its short form, on the code as it is and with planted faults."""

import asyncio
import contextlib
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from swiftdeck.programs.loop import BootLoop
from swiftdeck.soak.processes import PROGRAM
from swiftdeck.soak.run import SHORT, Soak, SoakSize
from swiftdeck.soak.schedule import Kind, Schedule, Trouble
from swiftdeck.soak.traffic import TrafficSize
from tests.soak import planted

SEED = 295
PLANTED_PROGRAM = "tests.soak.planted"
STOPS = Schedule(
    7.0,
    [
        Trouble(2.0, 10.0, Kind.TERMINATE, "router1", rest_s=0.5),
        Trouble(4.5, 10.0, Kind.TERMINATE, "router2", rest_s=0.5),
    ],
)
SILENT = Schedule(
    6.0,
    [
        *STOPS.troubles[:1],
        *(Trouble(0.5, 5.0, Kind.WORKER_QUIRK, f"models{at}", how="silence") for at in range(1, 5)),
    ],
)
LEAVERS = SoakSize(seconds=SILENT.seconds, traffic=TrafficSize(6.0, 4, 3, 8.0))
BUSY = SoakSize(seconds=STOPS.seconds, traffic=TrafficSize(16.0, 6, 9))


class SoakShortTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def soak(self, size, program=PROGRAM, schedule=None):
        """Run a soak to its verdict; its processes must have ended, its addresses must be free."""
        soak = Soak(SEED, self.folder, size, program, self.lines.append, schedule)
        with asyncio.Runner(loop_factory=BootLoop) as runner:
            verdict = runner.run(soak.run())
        for process in soak.processes.by_name.values():
            self.assertFalse(process.is_running())
            with self.assertRaises(ProcessLookupError):
                os.kill(process.child.pid, 0)
        return verdict

    def told(self, verdict):
        """What there is to know about a run that was judged otherwise than expected."""
        logs = [f"{path.name}: {len(path.read_text())}" for path in Path(self.folder).glob("*.log")]
        return "\n".join([verdict.line(), str(verdict), *self.lines, *logs])

    def test_a_site_under_overlapping_troubles_keeps_the_rules(self):
        verdict = self.soak(SHORT)
        self.assertTrue(verdict.is_clean(), self.told(verdict))

    def test_planted_faults_are_found(self):
        faults = (planted.ENDS_AT_ONCE, planted.OLD_CONFIGURATION, planted.BROKEN_INVARIANT)
        asked = {planted.VARIABLE: planted.SEPARATOR.join(faults)}
        with mock.patch.dict(os.environ, asked):
            verdict = self.soak(BUSY, PLANTED_PROGRAM, STOPS)
        told = self.told(verdict)
        self.assertFalse(verdict.is_clean(), told)
        self.assertIn("LOST", verdict.rules, told)
        self.assertIn("CONFIG", verdict.rules, told)
        self.assertTrue(any("invariant.planted" in each for each in verdict.invariants), told)

    def test_work_for_clients_that_have_left_is_found(self):
        with mock.patch.dict(os.environ, {planted.VARIABLE: planted.BLIND_TO_CLIENTS}):
            verdict = self.soak(LEAVERS, PLANTED_PROGRAM, SILENT)
        self.assertIn("GONE", verdict.rules, self.told(verdict))

    def test_processes_end_when_a_run_breaks_off(self):
        soak = Soak(SEED, self.folder, SHORT, say=self.lines.append)
        broken = mock.patch.object(soak.stand_ins, "start", side_effect=OSError("planted"))
        with broken, contextlib.suppress(OSError), asyncio.Runner(loop_factory=BootLoop) as runner:
            runner.run(soak.run())
        self.assertEqual(len(soak.processes.by_name), 6)
        for process in soak.processes.by_name.values():
            self.assertFalse(process.is_running())


if __name__ == "__main__":
    unittest.main()
