"""Start, signal and end the processes of the site, each by its own process id."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from swiftdeck.bench.platform_api.site_forms import SETTINGS_VARIABLE

PROGRAM = "swiftdeck.soak.program"
EXIT_POLL_S = 0.05


class SiteProcess:
    """The process of one machine across its restarts; each start is a new life."""

    def __init__(self, machine, folder, program=PROGRAM):
        self.machine, self.folder, self.program = machine, Path(folder), program
        self.settings_path, self.child = self.folder / f"{machine.name}.toml", None
        self.is_replaced, self.is_paused, self.life = False, False, 0
        """`is_replaced` is set while a caller has ended this life and will start the next one."""
        self.unexpected_ends = []

    @property
    def log_path(self):
        """Path of the log file of the current life."""
        return self.folder / f"{self.machine.name}.{self.life}.log"

    def log_paths(self):
        """Return the log files of all lives."""
        return sorted(self.folder.glob(f"{self.machine.name}.*.log"))

    def start(self):
        """Start a new process whose output goes to a log file of its own."""
        self.life += 1
        self.is_paused = False
        environment = os.environ | {
            SETTINGS_VARIABLE: str(self.settings_path),
            "PYTHONHASHSEED": "0",
        }
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", self.program, self.machine.role],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def is_running(self) -> bool:
        """Return whether the process exists; a paused process counts as running."""
        return self.child is not None and self.child.poll() is None

    def send(self, signal_number):
        """Send a signal to the process if it is running."""
        if self.is_running():
            self.child.send_signal(signal_number)

    def pause(self):
        """Suspend the process with SIGSTOP."""
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process with SIGCONT."""
        self.is_paused = False
        self.send(signal.SIGCONT)

    def kill(self):
        """Kill the process with SIGKILL and wait for its exit."""
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    async def wait_ended(self, within_s) -> bool:
        """Wait up to `within_s` seconds; return whether the process has ended."""
        end_s = time.monotonic() + within_s
        while self.is_running() and time.monotonic() < end_s:
            await asyncio.sleep(EXIT_POLL_S)
        return not self.is_running()

    def note_unexpected_end(self):
        """Record an exit that no caller asked for, once per life, with its return code."""
        if self.child is not None and not self.is_running() and not self.is_replaced:
            self.unexpected_ends.append((self.life, self.child.returncode))
            self.is_replaced = True


class SiteProcesses:
    """All processes of a site, by machine name."""

    def __init__(self, site, folder, program=PROGRAM):
        self.site, self.folder = site, Path(folder)
        self.by_name = {
            name: SiteProcess(machine, folder, program) for name, machine in site.machines.items()
        }

    def start_all(self):
        """Start all processes with settings that found a new site."""
        for name, process in self.by_name.items():
            self.site.write_settings(self.folder, self.site.machines[name], is_founding=True)
            process.start()

    def write_joining_settings(self):
        """Rewrite all settings so that a restarted process joins the existing site."""
        for machine in self.site.machines.values():
            self.site.write_settings(self.folder, machine)

    def note_unexpected_ends(self):
        """Record the processes that exited on their own."""
        for process in self.by_name.values():
            process.note_unexpected_end()

    def stop_all(self, within_s):
        """End all processes with SIGTERM, and with SIGKILL after `within_s` seconds."""
        for process in self.by_name.values():
            process.is_replaced = True
            process.resume()
            process.send(signal.SIGTERM)
        end_s = time.monotonic() + within_s
        for process in self.by_name.values():
            while process.is_running() and time.monotonic() < end_s:
                time.sleep(EXIT_POLL_S)
            process.kill()
