"""A consistent hash ring on which each worker has many virtual places."""

import bisect
import hashlib


def _hash_position(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


class Ring:
    """The workers of one model on a hash ring; adding or removing one moves few keys."""

    def __init__(self, workers, places=128):
        self.workers = sorted(workers)
        points = sorted(
            (_hash_position(f"{worker}#{place}".encode()), worker)
            for worker in self.workers
            for place in range(places)
        )
        self.positions = [position for position, _ in points]
        self.workers_by_position = [worker for _, worker in points]

    def walk(self, key: bytes):
        """Yield all workers in ring order, beginning at the key's position."""
        start, seen = bisect.bisect(self.positions, _hash_position(key)), set()
        for offset in range(len(self.workers_by_position)):
            worker = self.workers_by_position[(start + offset) % len(self.workers_by_position)]
            if worker not in seen:
                seen.add(worker)
                yield worker
                if len(seen) == len(self.workers):
                    return
