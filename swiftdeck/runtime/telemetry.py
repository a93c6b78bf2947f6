"""The telemetry of a process: counters, facts and a log of events."""

from collections import Counter


class Telemetry:
    """Counters, facts and the event log of a process.

    Each fact has a single writer, and each change of a fact is logged once.
    """

    def __init__(self, log=None):
        self.log, self.facts, self.count = log, {}, Counter()

    def set_fact(self, name: str, value):
        """Set a fact; it is logged only if its value changed."""
        old_value = self.facts.get(name)
        if old_value != value:
            self.facts[name] = value
            self.log_event(name, old=old_value, now=value)

    def get_fact(self, name: str, default=None):
        """Return the value of a fact, or the default if it was never set."""
        return self.facts.get(name, default)

    def log_event(self, event: str, **fields):
        """Log an event with its fields, if the process has a log."""
        if self.log:
            self.log.info(event, **fields)
