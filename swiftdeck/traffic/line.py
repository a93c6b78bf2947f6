"""A waiting line that serves tenants in turn, first come first served within each."""
import unittest
from collections import deque

import attrs


@attrs.define(eq=False)
class Waiting:
    """An agent that waits to begin a conversation."""

    tenant: str
    ask: object
    done: object
    sinceS: float
    sender: str = ""


class Line:
    """Agents waiting for one worker."""

    def __init__(self):
        self.tenants: dict[str, deque] = {}

    def __len__(self):
        return sum(len(each) for each in self.tenants.values())

    def __iter__(self):
        return (each for line in list(self.tenants.values()) for each in list(line))

    def add(self, waiting: Waiting):
        """Stand at the end of the tenant's line."""
        self.tenants.setdefault(waiting.tenant, deque()).append(waiting)

    def take(self):
        """The next to begin; its tenant then goes behind the others."""
        tenant = next(iter(self.tenants), None)
        if tenant is None:
            return None
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


class LineTest(unittest.TestCase):
    def testALargeTenantDoesNotStarveASmallOne(self):
        line = Line()
        for number in range(50):
            line.add(Waiting("large", number, None, 0))
        line.add(Waiting("small", "s", None, 0))
        self.assertEqual([line.take().ask for _ in range(4)], [0, "s", 1, 2])
