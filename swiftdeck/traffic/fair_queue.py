"""A waiting line that serves tenants in turn, first come first served within each."""

from collections import deque
from collections.abc import Iterator

import attrs


@attrs.define(eq=False)
class QueuedCall:
    """A call that waits to begin a conversation.

    `ask` is the newest message that asked for it, `done` the future that takes the answer to it,
    `since_s` when the wait began, and `sender` and `seen_s` say who asked last, and when.
    """

    tenant: str
    ask: object
    done: object
    since_s: float
    sender: str = ""
    seen_s: float = 0.0

    def is_asking(self) -> bool:
        """Whether its router has a question open, to which a grant can be given."""
        return not self.done.done()


class FairQueue:
    """Calls that wait for one worker."""

    def __init__(self):
        self.tenants: dict[str, deque[QueuedCall]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.tenants.values())

    def __iter__(self) -> Iterator[QueuedCall]:
        return (waiting for queue in list(self.tenants.values()) for waiting in list(queue))

    def add(self, waiting: QueuedCall):
        """Stand in the tenant's queue, behind all that have waited as long."""
        queue = self.tenants.get(waiting.tenant)
        if queue is None:
            return self._add_tenant(waiting)
        queue.append(waiting)
        if queue[-2].since_s > waiting.since_s:
            in_order = sorted(queue, key=lambda other: other.since_s)
            self.tenants[waiting.tenant] = deque(in_order)

    def _add_tenant(self, waiting: QueuedCall):
        """Put a tenant before those whose first has waited less, as after a change of coordinator.

        There calls ask again in any order; who came early then must not pass who waited longer.
        """
        order = list(self.tenants.items())
        later = (at for at, (_, queue) in enumerate(order) if queue[0].since_s > waiting.since_s)
        place = next(later, len(order))
        order.insert(place, (waiting.tenant, deque([waiting])))
        self.tenants = dict(order)

    def first(self) -> QueuedCall | None:
        """Return the next to begin, or None."""
        return next((queue[0] for queue in self.tenants.values()), None)

    def take(self) -> QueuedCall:
        """Take the next out; its tenant then goes behind the others."""
        tenant = next(iter(self.tenants))
        queue = self.tenants.pop(tenant)
        first = queue.popleft()
        if queue:
            self.tenants[tenant] = queue
        return first

    def remove(self, waiting: QueuedCall):
        """Leave the line."""
        queue = self.tenants.get(waiting.tenant)
        if queue and waiting in queue:
            queue.remove(waiting)
            if not queue:
                del self.tenants[waiting.tenant]
