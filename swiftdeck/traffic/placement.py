"""Where a conversation goes: the ring, warmth among its first places, and who is shunned."""

import asyncio

from swiftdeck.traffic.ring import Ring


class Placement:
    """Reads the books and the index, and changes neither."""

    def __init__(self, host, books, index, virtual_places=128, places_weighed=3):
        self.host, self.books, self.index = host, books, index
        self.virtual_places, self.places_weighed = virtual_places, places_weighed
        self.ring = Ring([])

    def clear(self):
        """Place nothing yet."""
        self.ring = Ring([])

    def follow(self, serving):
        """Make the ring of these workers."""
        if serving != self.ring.workers:
            self.ring = Ring(serving, self.virtual_places)

    def other_weights(self, worker, weights) -> bool:
        """Whether a worker said that it has other weights loaded."""
        said = self.index.weights(worker)
        return bool(said) and said != weights

    def candidates(self, ask):
        """Workers in the order in which a start would take them."""
        now_s = asyncio.get_running_loop().time()
        places = [
            name
            for name in self.ring.walk(ask.chain[-1] + ask.group.encode())
            if name not in ask.avoid
        ]
        fit = [name for name in places if self.index.weights(name) in ("", ask.weights)]
        good = [
            name
            for name in fit
            if self.books.of(name).shunned_until_s <= now_s and self.index.is_up(name)
        ]
        return good or fit

    def nominate(self, ask):
        """The worker for a start: the warmest of the first places that have room, if any has."""
        few = self.candidates(ask)[: self.places_weighed]
        if not few:
            return None
        roomy = [
            name
            for name in few
            if self.books.of(name).has_room() and not len(self.books.of(name).line)
        ]
        places = (
            roomy
            or [name for name in few if len(self.books.of(name).line) < self.host.config().lineMax]
            or few
        )
        best = max(self.index.depth(name, ask.chain) for name in places)
        return next(name for name in places if self.index.depth(name, ask.chain) == best)
