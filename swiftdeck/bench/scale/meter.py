"""Meters: processor time of simulated processes, and messages that a mesh sends and takes."""

import time
from collections import Counter

from swiftdeck.sim.world import World


class MeteredWorld(World):
    """A world that adds up the processor seconds and the wake-ups of each simulated process."""

    def __init__(self, seed):
        super().__init__(seed)
        self.used_s, self.wakes = Counter(), Counter()

    def _within(self, loop, action):
        start_s = time.process_time()
        self.wakes[loop.name] += 1
        super()._within(loop, action)
        self.used_s[loop.name] += time.process_time() - start_s


class MeshMeter:
    """Counts the messages and bytes that a mesh sends, by kind, and takes, by number of kind."""

    def __init__(self, mesh):
        self.sent, self.sent_bytes = Counter(), Counter()
        self.taken, self.taken_bytes, self.taken_s = Counter(), Counter(), Counter()
        self.take = mesh.take
        mesh.note_sent, mesh.take = self._note_sent, self._take

    def _note_sent(self, kind, data):
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)

    def _take(self, frame, link):
        number, start_s = int.from_bytes(frame[:2], "big"), time.process_time()
        good = self.take(frame, link)
        self.taken_s[number] += time.process_time() - start_s
        self.taken[number] += 1
        self.taken_bytes[number] += len(frame)
        return good

    def reset(self):
        """Set all counts to zero."""
        for count in (self.sent, self.sent_bytes, self.taken, self.taken_bytes, self.taken_s):
            count.clear()


def mean_per_second(meters, field, took_s):
    """The mean over some meters of what one of their counts sums up to in a second."""
    total = sum(sum(getattr(meter, field).values()) for meter in meters)
    return total / len(meters) / took_s


def sent_by_kind(meters, took_s):
    """Messages and bytes of each kind that one mesh sends in a second, the most frequent first."""
    counts, sizes = Counter(), Counter()
    for meter in meters:
        counts.update(meter.sent)
        sizes.update(meter.sent_bytes)
    per = len(meters)
    return {
        kind: [round(count / per / took_s, 2), round(sizes[kind] / per / took_s)]
        for kind, count in counts.most_common()
    }
