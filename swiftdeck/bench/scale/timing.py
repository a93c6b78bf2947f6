"""Processor time of one action, and memory of many things of a kind."""

import gc
import time
import tracemalloc

from swiftdeck.bench.measures.figures import spread

ROUNDS = 5


def timed(action, times, rounds=ROUNDS):
    """Microseconds of processor time of an action: least, median and most of some rounds."""
    took = []
    for _ in range(rounds):
        start_s = time.process_time()
        for _ in range(times):
            action()
        took.append((time.process_time() - start_s) / times * 1e6)
    return spread(took)


def held_bytes(make, count):
    """Bytes that each of some things takes, and the things."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(size / count), made


def timed_row(part, action, times, rounds=ROUNDS, **columns):
    """A row of the table of parts: an action, the sizes it was timed at, and its microseconds."""
    return {"part": part, **columns, "us": timed(action, times, rounds)}
