"""A queue that serves tenants round robin, and the calls of a tenant in order of waiting."""

from collections import deque
from collections.abc import Iterator

import attrs


@attrs.define(eq=False)
class QueuedCall:
    """A call that waits to start a conversation.

    `ask` is the call's newest request, `done` the future that takes the answer to it. `since_s` is
    when the wait began; `sender` and `seen_s` are the sender and time of the newest request.
    """

    tenant: str
    ask: object
    done: object
    since_s: float
    sender: str = ""
    seen_s: float = 0.0

    def is_asking(self) -> bool:
        """Whether its router has an unanswered request, which a grant can answer."""
        return not self.done.done()


class FairQueue:
    """The calls that wait for one worker.

    `tenants` has the queue of each tenant, in the order in which they are served next.
    """

    def __init__(self):
        self.tenants: dict[str, deque[QueuedCall]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.tenants.values())

    def __iter__(self) -> Iterator[QueuedCall]:
        return (queued_call for queue in list(self.tenants.values()) for queued_call in list(queue))

    def add(self, queued_call: QueuedCall):
        """Add a call to its tenant's queue, behind all that have waited as long or longer."""
        queue = self.tenants.get(queued_call.tenant)
        if queue is None:
            return self._add_tenant(queued_call)
        queue.append(queued_call)
        if queue[-2].since_s > queued_call.since_s:
            in_order = sorted(queue, key=lambda other: other.since_s)
            self.tenants[queued_call.tenant] = deque(in_order)

    def _add_tenant(self, queued_call: QueuedCall):
        """Insert a tenant before those whose first call has waited for a shorter time.

        After a change of coordinator calls ask again in any order, and one that happens to ask
        early must not overtake one that has waited longer.
        """
        tenants = list(self.tenants.items())
        later_positions = (
            index
            for index, (_, queue) in enumerate(tenants)
            if queue[0].since_s > queued_call.since_s
        )
        position = next(later_positions, len(tenants))
        tenants.insert(position, (queued_call.tenant, deque([queued_call])))
        self.tenants = dict(tenants)

    def first(self) -> QueuedCall | None:
        """Return the call that is served next, or None."""
        return next((queue[0] for queue in self.tenants.values()), None)

    def take(self) -> QueuedCall:
        """Remove and return the next call; its tenant moves behind the others."""
        tenant = next(iter(self.tenants))
        queue = self.tenants.pop(tenant)
        first = queue.popleft()
        if queue:
            self.tenants[tenant] = queue
        return first

    def remove(self, queued_call: QueuedCall):
        """Remove a call if it is queued."""
        queue = self.tenants.get(queued_call.tenant)
        if queue and queued_call in queue:
            queue.remove(queued_call)
            if not queue:
                del self.tenants[queued_call.tenant]
