"""The processes of the site: started, signalled and ended by their own ids."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from swiftdeck.bench.platform_api.site_forms import SETTINGS_VARIABLE

PROGRAM = "swiftdeck.soak.program"
POLL_S = 0.05


class SiteProcess:
    """The process of one machine, through all its lives."""

    def __init__(self, machine, folder, program=PROGRAM):
        self.machine, self.folder, self.program = machine, Path(folder), program
        self.settings, self.child = self.folder / f"{machine.name}.toml", None
        self.is_replaced, self.is_paused, self.life = False, False, 0
        """Replaced: somebody ended this life and will start the next one."""
        self.unexpected = []

    @property
    def log_path(self):
        """The log of the life at hand."""
        return self.folder / f"{self.machine.name}.{self.life}.log"

    def log_paths(self):
        """The logs of all lives."""
        return sorted(self.folder.glob(f"{self.machine.name}.*.log"))

    def start(self):
        """Start a new life."""
        self.life += 1
        self.is_paused = False
        environment = os.environ | {SETTINGS_VARIABLE: str(self.settings), "PYTHONHASHSEED": "0"}
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", self.program, self.machine.role],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def is_running(self) -> bool:
        """Whether the process is there, paused or not."""
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        """Send a signal to the process, if it is there."""
        if self.is_running():
            self.child.send_signal(number)

    def pause(self):
        """Stop the process in its tracks."""
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self):
        """Let a paused process go on."""
        self.is_paused = False
        self.send(signal.SIGCONT)

    def kill(self):
        """End the process at once."""
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    async def ended(self, within_s) -> bool:
        """Whether the process ends in such a time."""
        end_s = time.monotonic() + within_s
        while self.is_running() and time.monotonic() < end_s:
            await asyncio.sleep(POLL_S)
        return not self.is_running()

    def note_unexpected_end(self):
        """Remember an end that nobody brought about, once for each life."""
        if self.child is not None and not self.is_running() and not self.is_replaced:
            self.unexpected.append((self.life, self.child.returncode))
            self.is_replaced = True


class SiteProcesses:
    """All processes of a site by the names of their machines."""

    def __init__(self, site, folder, program=PROGRAM):
        self.site, self.folder = site, Path(folder)
        self.by_name = {
            name: SiteProcess(machine, folder, program) for name, machine in site.machines.items()
        }

    def start_all(self):
        """Start the site for the first time."""
        for name, process in self.by_name.items():
            self.site.write_settings(self.folder, self.site.machines[name], is_founding=True)
            process.start()

    def end_founding(self):
        """From now on a process that starts comes into a site that was founded."""
        for machine in self.site.machines.values():
            self.site.write_settings(self.folder, machine)

    def watch(self):
        """Note processes that ended by themselves."""
        for process in self.by_name.values():
            process.note_unexpected_end()

    def stop_all(self, within_s):
        """End all processes: politely at first, then at once."""
        for process in self.by_name.values():
            process.is_replaced = True
            process.resume()
            process.send(signal.SIGTERM)
        end_s = time.monotonic() + within_s
        for process in self.by_name.values():
            while process.is_running() and time.monotonic() < end_s:
                time.sleep(POLL_S)
            process.kill()
