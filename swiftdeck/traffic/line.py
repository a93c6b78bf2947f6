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
        line = self.tenants.get(waiting.tenant)
        if line is None:
            return self._add_tenant(waiting)
        line.append(waiting)
        if line[-2].since_s > waiting.since_s:
            self.tenants[waiting.tenant] = deque(sorted(line, key=lambda each: each.since_s))

    def _add_tenant(self, waiting: Waiting):
        """Put a tenant before those whose first has waited less, as after a change of coordinator.

        There agents ask again in any order; who came early then must not pass who waited longer.
        """
        order = list(self.tenants.items())
        later = (at for at, (_, line) in enumerate(order) if line[0].since_s > waiting.since_s)
        place = next(later, len(order))
        order.insert(place, (waiting.tenant, deque([waiting])))
        self.tenants = dict(order)

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
