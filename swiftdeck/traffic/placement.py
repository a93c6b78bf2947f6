"""Selects the worker of a new conversation by hash ring, cached prefix and health."""

import asyncio

from swiftdeck.traffic.ring import Ring


class Placement:
    """Reads the slot table and the prefix index, and changes neither.

    `places_weighed` is the number of first candidates on the ring that are compared by how much of
    the prompt they cache.
    """

    def __init__(self, coordinator, slot_table, index, virtual_places=128, places_weighed=3):
        self.coordinator, self.slot_table, self.index = coordinator, slot_table, index
        self.virtual_places, self.places_weighed = virtual_places, places_weighed
        self.ring = Ring([])

    def clear(self):
        """Forget the workers."""
        self.ring = Ring([])

    def follow(self, serving: list[str]):
        """Rebuild the ring if the serving workers changed."""
        if serving != self.ring.workers:
            self.ring = Ring(serving, self.virtual_places)

    def has_other_weights(self, worker: str, weights: str) -> bool:
        """Whether a worker reported that it has weights other than `weights` loaded."""
        reported = self.index.weights(worker)
        return bool(reported) and reported != weights

    def candidates(self, ask) -> list[str]:
        """Return the workers that may take a new conversation, in order of preference.

        Those that are shunned or whose reports don't arrive are returned only if there are no
        others.
        """
        now_s = asyncio.get_running_loop().time()
        eligible = [
            name
            for name in self.ring.walk(ask.chain[-1] + ask.group.encode())
            if name not in ask.avoid and not self.has_other_weights(name, ask.weights)
        ]
        healthy = [
            name
            for name in eligible
            if self.slot_table.slots_of(name).shunned_until_s <= now_s and self.index.is_up(name)
        ]
        return healthy or eligible

    def nominate(self, ask) -> str | None:
        """Return the worker for a new conversation, or None.

        It is the one of the first candidates that caches most of the prompt. Candidates with room
        go before those whose queue is not full, and those before the others.
        """
        first_places = self.candidates(ask)[: self.places_weighed]
        places = (
            [name for name in first_places if self._is_free(name)]
            or [name for name in first_places if self._may_queue(name)]
            or first_places
        )
        return max(places, key=lambda name: self.index.depth(name, ask.chain), default=None)

    def _is_free(self, worker: str) -> bool:
        book = self.slot_table.slots_of(worker)
        return book.has_room() and not len(book.queue)

    def _may_queue(self, worker: str) -> bool:
        return len(self.slot_table.slots_of(worker).queue) < self.coordinator.config().lineMax
