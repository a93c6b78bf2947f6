"""Placement: a ring on which each worker holds many virtual places."""

import bisect
import hashlib


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


class Ring:
    """The workers of one model on a hash ring; one coming or going moves few conversations."""

    def __init__(self, workers, places=128):
        self.workers = sorted(workers)
        spots = sorted(
            (_hash(f"{worker}#{place}".encode()), worker)
            for worker in self.workers
            for place in range(places)
        )
        self.hashes = [spot for spot, _ in spots]
        self.owners = [worker for _, worker in spots]

    def walk(self, key: bytes):
        """All workers in the order in which a key meets them."""
        start, seen = bisect.bisect(self.hashes, _hash(key)), set()
        for at in range(len(self.owners)):
            worker = self.owners[(start + at) % len(self.owners)]
            if worker not in seen:
                seen.add(worker)
                yield worker
                if len(seen) == len(self.workers):
                    return
