"""The blackboard of a process: counters, facts and watchers of their change."""

from collections import Counter


class Board:
    """What controllers read; each fact has one writer, and a change of it is logged once."""

    def __init__(self, log=None):
        self.log, self.facts, self.count = log, {}, Counter()

    def put(self, name: str, value):
        """Write a fact; a line is logged only when it changed."""
        old = self.facts.get(name)
        if old != value:
            self.facts[name] = value
            self.note(name, old=old, now=value)

    def get(self, name: str, otherwise=None):
        """Read a fact."""
        return self.facts.get(name, otherwise)

    def note(self, event: str, **fields):
        """Log a change of state."""
        if self.log:
            self.log.info(event, **fields)
