"""Counters of broken invariants that processes report, and errors in their logs."""

import json

from swiftdeck.http.client import fetch_json

PREFIX, COUNTERS, ASK_MS = "invariant.", "/v1/counters", 1000
SIGNS_OF_ERROR = ("Traceback (most recent call last)", "handler failed", "never retrieved")


def broken(counters) -> dict:
    """The counters of invariants that are above 0."""
    if not isinstance(counters, dict):
        return {}
    return {
        name: count
        for name, count in counters.items()
        if name.startswith(PREFIX) and isinstance(count, int | float) and count > 0
    }


class InvariantWatch:
    """Collects counters of invariants from running processes and from the logs of all lives."""

    def __init__(self, processes):
        self.processes, self.found, self.answers = processes, set(), 0

    async def ask_all(self):
        """Ask all processes for their counters once."""
        for name, process in self.processes.by_name.items():
            if process.is_running() and not process.is_paused:
                got = await fetch_json(
                    process.machine.operations, "GET", COUNTERS, timeoutMs=ASK_MS
                )
                if got and got[0] == 200:
                    self.answers += 1
                    self._note(f"{name}, life {process.life}", got[1])

    def read_logs(self):
        """Read the logs of all lives."""
        for name, process in self.processes.by_name.items():
            for path in process.log_paths():
                self._read_log(f"{name}, life {path.stem.rpartition('.')[2]}", path)

    def _read_log(self, life, path):
        for line in path.read_text(errors="replace").splitlines():
            if any(sign in line for sign in SIGNS_OF_ERROR):
                self.found.add(f"{life}: error in {path.name}: {line[:200]}")
            if PREFIX in line:
                self._note(life, _fields(line))

    def _note(self, life, counters):
        self.found |= {f"{life}: {name}" for name in broken(counters)}


def _fields(line):
    """The fields of a line of the log, empty where it isn't one."""
    try:
        return json.loads(line)
    except json.JSONDecodeError:
        return {}
