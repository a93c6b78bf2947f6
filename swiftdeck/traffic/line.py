"""A waiting line that serves tenants in turn, first come first served within each."""

from collections import deque

import attrs


@attrs.define(eq=False)
class Waiting:
    """An agent that waits to begin a conversation."""

    tenant: str
    ask: object
    done: object
    since_s: float
    sender: str = ""
    seen_s: float = 0.0

    def is_asking(self) -> bool:
        """Whether its router has a question open, to which a grant can be given."""
        return not self.done.done()


class Line:
    """Agents waiting for one worker."""

    def __init__(self):
        self.tenants: dict[str, deque] = {}

    def __len__(self):
        return sum(len(each) for each in self.tenants.values())

    def __iter__(self):
        return (each for line in list(self.tenants.values()) for each in list(line))

    def add(self, waiting: Waiting):
        """Stand in the tenant's line, behind all that have waited as long."""
        line = self.tenants.setdefault(waiting.tenant, deque())
        line.append(waiting)
        if len(line) > 1 and line[-2].since_s > waiting.since_s:
            self.tenants[waiting.tenant] = deque(sorted(line, key=lambda each: each.since_s))

    def first(self):
        """The next to begin, or None."""
        return next((line[0] for line in self.tenants.values()), None)

    def take(self):
        """Take the next out; its tenant then goes behind the others."""
        tenant = next(iter(self.tenants))
        line = self.tenants.pop(tenant)
        first = line.popleft()
        if line:
            self.tenants[tenant] = line
        return first

    def remove(self, waiting: Waiting):
        """Leave the line."""
        line = self.tenants.get(waiting.tenant)
        if line and waiting in line:
            line.remove(waiting)
            if not line:
                del self.tenants[waiting.tenant]
