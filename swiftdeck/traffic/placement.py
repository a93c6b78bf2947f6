"""Where a conversation goes: the ring, warmth among its first places, and who is shunned."""

import asyncio

from swiftdeck.traffic.ring import Ring


class Placement:
    """Reads the books and the index, and changes neither.

    `places_weighed` is how many of the first places of the ring are compared by what they keep.
    """

    def __init__(self, coordinator, slot_table, index, virtual_places=128, places_weighed=3):
        self.coordinator, self.slot_table, self.index = coordinator, slot_table, index
        self.virtual_places, self.places_weighed = virtual_places, places_weighed
        self.ring = Ring([])

    def clear(self):
        """Place nothing yet."""
        self.ring = Ring([])

    def follow(self, serving: list[str]):
        """Make the ring of these workers."""
        if serving != self.ring.workers:
            self.ring = Ring(serving, self.virtual_places)

    def has_other_weights(self, worker: str, weights: str) -> bool:
        """Whether a worker reported that it has other weights loaded."""
        reported = self.index.weights(worker)
        return bool(reported) and reported != weights

    def candidates(self, ask) -> list[str]:
        """Return workers in the order in which a start would take them.

        Those that are shunned or whose reports don't come in count only when there are no others.
        """
        now_s = asyncio.get_running_loop().time()
        fit = [
            name
            for name in self.ring.walk(ask.chain[-1] + ask.group.encode())
            if name not in ask.avoid and not self.has_other_weights(name, ask.weights)
        ]
        good = [
            name
            for name in fit
            if self.slot_table.of(name).shunned_until_s <= now_s and self.index.is_up(name)
        ]
        return good or fit

    def nominate(self, ask) -> str | None:
        """Return the worker for a start: the one of the first places that keeps most of the prompt.

        Places that have room go before those whose line is not full, and those before the others.
        """
        first_places = self.candidates(ask)[: self.places_weighed]
        places = (
            [name for name in first_places if self._is_free(name)]
            or [name for name in first_places if self._may_queue(name)]
            or first_places
        )
        return max(places, key=lambda name: self.index.depth(name, ask.chain), default=None)

    def _is_free(self, worker: str) -> bool:
        book = self.slot_table.of(worker)
        return book.has_room() and not len(book.queue)

    def _may_queue(self, worker: str) -> bool:
        return len(self.slot_table.of(worker).queue) < self.coordinator.config().lineMax
