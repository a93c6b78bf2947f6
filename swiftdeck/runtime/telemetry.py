"""The telemetry of a process: counters, facts and the log of their changes."""

from collections import Counter


class Telemetry:
    """What controllers read; each fact has one writer, and a change of it is logged once."""

    def __init__(self, log=None):
        self.log, self.facts, self.count = log, {}, Counter()

    def set_fact(self, name: str, value):
        """Write a fact; a line is logged only when it changed."""
        old = self.facts.get(name)
        if old != value:
            self.facts[name] = value
            self.log_event(name, old=old, now=value)

    def get_fact(self, name: str, otherwise=None):
        """Read a fact."""
        return self.facts.get(name, otherwise)

    def log_event(self, event: str, **fields):
        """Log a change of state."""
        if self.log:
            self.log.info(event, **fields)
