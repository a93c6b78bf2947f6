"""Short soaks of the unchanged code and of code with planted faults."""

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
PLANNED_STOPS = Schedule(
    7.0,
    [
        Trouble(2.0, 10.0, Kind.TERMINATE, "router1", rest_s=0.5),
        Trouble(4.5, 10.0, Kind.TERMINATE, "router2", rest_s=0.5),
    ],
)
SILENT_WORKERS = Schedule(
    6.0,
    [
        *PLANNED_STOPS.troubles[:1],
        *(
            Trouble(0.5, 5.0, Kind.WORKER_QUIRK, f"models{number}", how="silence")
            for number in range(1, 5)
        ),
    ],
)
LEAVING_CLIENTS_SIZE = SoakSize(seconds=SILENT_WORKERS.seconds, traffic=TrafficSize(6.0, 4, 3, 8.0))
BUSY_SIZE = SoakSize(seconds=PLANNED_STOPS.seconds, traffic=TrafficSize(16.0, 6, 9))


class SoakShortTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def run_soak(self, size, program=PROGRAM, schedule=None):
        """Run a soak; check that its processes have ended, and return its verdict."""
        soak = Soak(SEED, self.folder, size, program, self.lines.append, schedule)
        with asyncio.Runner(loop_factory=BootLoop) as runner:
            verdict = runner.run(soak.run())
        for process in soak.processes.by_name.values():
            self.assertFalse(process.is_running())
            with self.assertRaises(ProcessLookupError):
                os.kill(process.child.pid, 0)
        return verdict

    def details_of(self, verdict):
        """Return details of a run, as the message of a failed assertion."""
        logs = [f"{path.name}: {len(path.read_text())}" for path in Path(self.folder).glob("*.log")]
        return "\n".join([verdict.line(), str(verdict), *self.lines, *logs])

    def test_a_site_under_overlapping_troubles_breaks_no_rule(self):
        verdict = self.run_soak(SHORT)
        self.assertTrue(verdict.is_clean(), self.details_of(verdict))

    def test_planted_faults_are_found(self):
        faults = (
            planted.ENDS_AT_ONCE,
            planted.OLD_CONFIGURATION,
            planted.BROKEN_INVARIANT,
            planted.SHARES_ALL_PARTS,
        )
        environment = {planted.VARIABLE: planted.SEPARATOR.join(faults)}
        with mock.patch.dict(os.environ, environment):
            verdict = self.run_soak(BUSY_SIZE, PLANTED_PROGRAM, PLANNED_STOPS)
        details = self.details_of(verdict)
        self.assertFalse(verdict.is_clean(), details)
        self.assertIn("LOST", verdict.rules, details)
        self.assertIn("CONFIG", verdict.rules, details)
        self.assertIn("WALL", verdict.rules, details)
        self.assertTrue(any("invariant.planted" in name for name in verdict.invariants), details)

    def test_work_for_departed_clients_is_found(self):
        with mock.patch.dict(os.environ, {planted.VARIABLE: planted.BLIND_TO_CLIENTS}):
            verdict = self.run_soak(LEAVING_CLIENTS_SIZE, PLANTED_PROGRAM, SILENT_WORKERS)
        self.assertIn("GONE", verdict.rules, self.details_of(verdict))

    def test_processes_end_when_a_run_fails(self):
        soak = Soak(SEED, self.folder, SHORT, say=self.lines.append)
        broken = mock.patch.object(soak.stand_ins, "start", side_effect=OSError("planted"))
        with broken, contextlib.suppress(OSError), asyncio.Runner(loop_factory=BootLoop) as runner:
            runner.run(soak.run())
        self.assertEqual(len(soak.processes.by_name), 6)
        for process in soak.processes.by_name.values():
            self.assertFalse(process.is_running())


if __name__ == "__main__":
    unittest.main()
