"""Tests that no process of a site outlives its driver, and that runs get separate addresses."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from swiftdeck.soak.addresses import LoopbackBlock

EXIT_TIMEOUT_S = 15.0
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
print(*(process.child.pid for process in processes.by_name.values()), flush=True)
time.sleep(60)
"""


def is_alive(pid):
    """Return whether a process exists and has not ended."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


class ProcessesTest(unittest.TestCase):
    def test_processes_including_paused_ones_end_with_their_driver(self):
        with tempfile.TemporaryDirectory() as folder:
            driver = subprocess.Popen(
                [sys.executable, "-c", DRIVER, folder], stdout=subprocess.PIPE, text=True
            )
            self.addCleanup(driver.stdout.close)
            pids = [int(pid) for pid in driver.stdout.readline().split()]
            self.addCleanup(self.kill_remaining, pids)
            self.assertEqual(len(pids), 2)
            self.assertTrue(all(is_alive(pid) for pid in pids))
            driver.send_signal(signal.SIGKILL)
            driver.wait()
            end_s = time.monotonic() + EXIT_TIMEOUT_S
            while any(is_alive(pid) for pid in pids) and time.monotonic() < end_s:
                time.sleep(0.05)
            self.assertEqual([pid for pid in pids if is_alive(pid)], [])

    @staticmethod
    def kill_remaining(pids):
        for pid in pids:
            if is_alive(pid):
                os.kill(pid, signal.SIGKILL)

    def test_parallel_runs_get_separate_address_blocks(self):
        blocks = [LoopbackBlock() for _ in range(20)]
        self.assertEqual(len({block.prefix for block in blocks}), 20)
        for block in blocks:
            block.release()


if __name__ == "__main__":
    unittest.main()
