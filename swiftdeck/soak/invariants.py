"""Collect the broken invariants that processes count, and the errors in their logs."""

import json

from swiftdeck.http.client import fetch_json

INVARIANT_PREFIX, COUNTERS_PATH, READ_TIMEOUT_MS = "invariant.", "/v1/counters", 1000
ERROR_MARKERS = ("Traceback (most recent call last)", "handler failed", "never retrieved")


def broken_invariants(counters) -> dict:
    """Return the invariant counters above 0; empty if `counters` is not a dictionary."""
    if not isinstance(counters, dict):
        return {}
    return {
        name: count
        for name, count in counters.items()
        if name.startswith(INVARIANT_PREFIX) and isinstance(count, int | float) and count > 0
    }


class InvariantWatch:
    """Collects broken invariants from running processes and from the logs of all lives."""

    def __init__(self, processes):
        self.processes, self.found, self.answered_reads = processes, set(), 0

    async def collect_counters(self):
        """Read the counters of all processes that run and are not paused, once."""
        for name, process in self.processes.by_name.items():
            if process.is_running() and not process.is_paused:
                response = await fetch_json(
                    process.machine.operations, "GET", COUNTERS_PATH, timeoutMs=READ_TIMEOUT_MS
                )
                if response and response[0] == 200:
                    self.answered_reads += 1
                    self._add_broken(f"{name}, life {process.life}", response[1])

    def read_logs(self):
        """Search the logs of all lives for errors and broken invariants."""
        for name, process in self.processes.by_name.items():
            for path in process.log_paths():
                self._read_log(f"{name}, life {path.stem.rpartition('.')[2]}", path)

    def _read_log(self, life, path):
        for line in path.read_text(errors="replace").splitlines():
            if any(marker in line for marker in ERROR_MARKERS):
                self.found.add(f"{life}: error in {path.name}: {line[:200]}")
            if INVARIANT_PREFIX in line:
                self._add_broken(life, _parse_log_fields(line))

    def _add_broken(self, life, counters):
        self.found |= {f"{life}: {name}" for name in broken_invariants(counters)}


def _parse_log_fields(line):
    """Return the fields of a JSON log line, or an empty dictionary for any other line."""
    try:
        return json.loads(line)
    except json.JSONDecodeError:
        return {}
