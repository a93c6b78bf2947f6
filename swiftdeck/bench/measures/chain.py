"""What the chain costs: the acknowledgement of a change, and a day of once-only calls."""

import random
import time
import tracemalloc

import msgspec

from swiftdeck.bench.measures.figures import spread
from swiftdeck.chain.state import CLAIM, FINISH, ChainState
from swiftdeck.disk.journal import Journal
from swiftdeck.sim.sim_cluster import SimCluster

ACK_ROUTERS, ACK_ROUTES, ACK_CHANGES = (3, 9, 18), (0, 1000, 5000), 5
DAY_S = 86400
DAY_MARGIN = 1.1
"""How much longer than a day the calls go on, so that the oldest claims are forgotten."""
LEAST_LOG_BYTES, LOG_FACTOR = 1 << 20, 4


def acks(seed):
    """Yield simulated milliseconds to acknowledge a change, by routers and by routes there are."""
    for routers in ACK_ROUTERS:
        for routes in ACK_ROUTES:
            cluster = SimCluster(seed, routers=routers, workers=1).start()
            if routes:
                names = (f"r{number}" for number in range(routes))
                cluster.change("PATCH", {"routes": {name: {"model": "screener"} for name in names}})
            took_ms = [_ack_ms(cluster, number + 1) for number in range(ACK_CHANGES)]
            yield {"routers": routers, "routes": routes, "ackMs": spread(took_ms)}


def _ack_ms(cluster, cap):
    start_s = cluster.world.now
    cluster.change("PATCH", {"models": {"screener": {"cap": cap}}})
    return (cluster.world.now - start_s) * 1000


def day(seed):
    """Yield what a day of once-only calls costs a core, by calls in a second.

    Gives memory, the whole state, what is written, and the longest rewrite.
    """
    for calls_per_s in (0.1, 1.0, 2.0):
        tracemalloc.start()
        claims = _DayOfClaims(seed, calls_per_s)
        for number in range(int(DAY_S * calls_per_s * DAY_MARGIN)):
            claims.call(number)
        yield claims.row()
        tracemalloc.stop()


class _DayOfClaims:
    """A state that takes the claims of calls, and the log in which a core writes them.

    The log is rewritten as the state when it is several times as long as that.
    """

    def __init__(self, seed, calls_per_s):
        self.calls_per_s, self.random = calls_per_s, random.Random(seed)
        self.state = ChainState()
        self.log_bytes = self.written_bytes = self.rewrites = 0
        self.limit_bytes, self.longest_encode_ms = LEAST_LOG_BYTES, 0.0

    def call(self, number):
        """Claim the key of a call and finish it."""
        tenant, key = number % 8, self.random.getrandbits(128)
        run = f"{self.random.getrandbits(80):020x}"
        for kind in (CLAIM, FINISH):
            self._write(number, [f"tenant{tenant}:{key:032x}", run], kind)

    def _write(self, number, key_and_run, kind):
        name = f"batch/router{number % 9}/{self.random.getrandbits(64):x}"
        digest = f"{self.random.getrandbits(128):032x}"
        change = {"t": "claims", "id": name, "ops": [[*key_and_run, digest, kind]]}
        entry = self.state.examine(change)
        entry["elapsedMs"] = int(500 / self.calls_per_s)
        frame = Journal.frame({"k": "e", "n": number, "b": msgspec.msgpack.encode(entry)})
        self.state.apply(entry)
        self.log_bytes += len(frame)
        self.written_bytes += len(frame)
        if self.log_bytes > self.limit_bytes:
            self._rewrite()

    def _rewrite(self):
        start_s = time.perf_counter()
        data = self.state.to_bytes()
        encode_ms = (time.perf_counter() - start_s) * 1000
        self.longest_encode_ms = max(self.longest_encode_ms, encode_ms)
        self.log_bytes = len(data)
        self.written_bytes += len(data)
        self.rewrites += 1
        self.limit_bytes = max(LEAST_LOG_BYTES, LOG_FACTOR * len(data))

    def row(self):
        """Return the figures of the day."""
        return {
            "callsPerS": self.calls_per_s,
            "claims": len(self.state.stored.claims),
            "stateMB": round(len(self.state.to_bytes()) / 1e6, 1),
            "memoryMB": round(tracemalloc.get_traced_memory()[0] / 1e6, 1),
            "logMostMB": round(self.limit_bytes / 1e6, 1),
            "writtenMB": round(self.written_bytes / 1e6),
            "rewrites": self.rewrites,
            "longestEncodeMs": round(self.longest_encode_ms),
        }
