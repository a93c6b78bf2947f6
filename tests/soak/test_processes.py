"""Tests of the processes of a site: none outlives its driver."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from swiftdeck.soak.addresses import LoopbackBlock

WITHIN_S = 15.0
DRIVER = """
import sys, time
from swiftdeck.soak.addresses import LoopbackBlock
from swiftdeck.soak.processes import SiteProcesses
from swiftdeck.soak.site import Site

site = Site(LoopbackBlock(), routers=1, cores=1)
processes = SiteProcesses(site, sys.argv[1])
processes.start_all()
for name, sign in (("core1", "core started"), ("router1", "gateway started")):
    while sign not in processes.by_name[name].log_path.read_text():
        time.sleep(0.05)
processes.by_name["router1"].pause()
print(*(each.child.pid for each in processes.by_name.values()), flush=True)
time.sleep(60)
"""


def is_there(pid):
    """Whether a process exists and hasn't ended."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


class ProcessesTest(unittest.TestCase):
    def test_processes_end_with_their_driver_paused_ones_too(self):
        with tempfile.TemporaryDirectory() as folder:
            driver = subprocess.Popen(
                [sys.executable, "-c", DRIVER, folder], stdout=subprocess.PIPE, text=True
            )
            self.addCleanup(driver.stdout.close)
            pids = [int(each) for each in driver.stdout.readline().split()]
            self.addCleanup(self.end, pids)
            self.assertEqual(len(pids), 2)
            self.assertTrue(all(is_there(pid) for pid in pids))
            driver.send_signal(signal.SIGKILL)
            driver.wait()
            end_s = time.monotonic() + WITHIN_S
            while any(is_there(pid) for pid in pids) and time.monotonic() < end_s:
                time.sleep(0.05)
            self.assertEqual([pid for pid in pids if is_there(pid)], [])

    @staticmethod
    def end(pids):
        for pid in pids:
            if is_there(pid):
                os.kill(pid, signal.SIGKILL)

    def test_runs_side_by_side_have_blocks_of_their_own(self):
        blocks = [LoopbackBlock() for _ in range(20)]
        self.assertEqual(len({each.prefix for each in blocks}), 20)
        for each in blocks:
            each.release()


if __name__ == "__main__":
    unittest.main()
