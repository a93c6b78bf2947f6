"""The index of the prefixes that workers cache, built from the workers' numbered reports."""

import asyncio

import attrs
import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect, fetch_json

SNAPSHOT_TIMEOUT_MS, CONNECT_TIMEOUT_MS = 1500, 1000
STREAM_START_TIMEOUT_S = 1.5
REPORT_TIMEOUT_S = 4.0
"""Longest pause between two reports; an idle worker sends a heartbeat every second."""
FOLLOW_RETRY_S = 0.3


class ReportedCache:
    """The prefixes that a worker reported to cache.

    Reports are numbered without gaps; `number` is the number of the last one applied. `is_up` is
    set while reports arrive.
    """

    def __init__(self):
        self.number, self.weights = -1, ""
        self.prefixes: set[bytes] = set()
        self.is_up = False

    def apply_snapshot(self, body) -> bool:
        """Apply a snapshot; return False and change nothing if it is malformed."""
        try:
            number, weights = int(body["n"]), str(body["weights"])
            prefixes = {bytes.fromhex(prefix) for prefix in body["kept"]}
        except (KeyError, TypeError, ValueError):
            return False
        self.number, self.weights, self.prefixes = number, weights, prefixes
        return True

    def apply_event(self, body) -> bool:
        """Apply one report; return False if earlier ones are missing or it is malformed.

        A report that was applied before is ignored.
        """
        try:
            number, kind = int(body["n"]), body["kind"]
            if number <= self.number:
                return True
            if number != self.number + 1:
                return False
            if kind == "beat":
                return True
            self._apply_change(kind, body)
        except (KeyError, TypeError, ValueError):
            return False
        self.number = number
        return True

    def _apply_change(self, kind, body):
        """Apply a change of the weights or of the cached prefixes."""
        if kind == "weights":
            self.weights, self.prefixes = str(body["weights"]), set()
        elif kind == "kept":
            self.prefixes.add(bytes.fromhex(body["prefix"]))
        else:
            self.prefixes.discard(bytes.fromhex(body["prefix"]))


@attrs.frozen
class Follower:
    """The task that reads the reports of a listed worker."""

    worker: object
    task: asyncio.Task


class PrefixIndex:
    """Follows the reports of the workers of one model; after a gap a new snapshot is read.

    `on_change` is called when a worker's reports start or stop, or its weights change.
    """

    def __init__(self, telemetry, on_change=lambda: None):
        self.telemetry, self.on_change = telemetry, on_change
        self.caches: dict[str, ReportedCache] = {}
        self.followers: dict[str, Follower] = {}

    def follow(self, workers):
        """Follow exactly these workers; restart for one whose entry in the list changed."""
        wanted = {worker.name: worker for worker in workers}
        for name, follower in list(self.followers.items()):
            if wanted.get(name) != follower.worker:
                del self.followers[name]
                follower.task.cancel()
                if name not in wanted:
                    self.caches.pop(name, None)
        for name, worker in wanted.items():
            if name not in self.followers:
                self.caches.setdefault(name, ReportedCache())
                task = asyncio.ensure_future(self._follow(worker))
                self.followers[name] = Follower(worker, task)

    def stop(self):
        """Stop following all workers."""
        self.follow([])

    def depth(self, worker: str, chain: list[bytes]) -> int:
        """Return how many leading parts of a prompt a worker caches."""
        cache = self.caches.get(worker)
        prefixes = cache.prefixes if cache else ()
        return next(
            (depth for depth in range(len(chain), 0, -1) if chain[depth - 1] in prefixes), 0
        )

    def weights(self, worker: str) -> str:
        """Return the weights that a worker reported, or an empty string."""
        cache = self.caches.get(worker)
        return cache.weights if cache else ""

    def is_up(self, worker: str) -> bool:
        """Whether a worker's reports arrive."""
        cache = self.caches.get(worker)
        return bool(cache and cache.is_up)

    async def _follow(self, worker):
        cache = self.caches[worker.name]
        while True:
            try:
                await self._follow_once(worker.addr, cache)
            except (TimeoutError, msgspec.DecodeError):
                self.telemetry.count["reportsBroken"] += 1
            if cache.is_up:
                cache.is_up = False
                self.on_change()
            await asyncio.sleep(FOLLOW_RETRY_S)

    async def _follow_once(self, addr: str, cache: ReportedCache):
        """Apply a snapshot and the reports after it, until they stop or have a gap.

        Raises TimeoutError if the worker is silent for too long, DecodeError on malformed JSON.
        """
        snapshot = await fetch_json(addr, "GET", "/v1/kept", timeoutMs=SNAPSHOT_TIMEOUT_MS)
        if is_fault(snapshot) or snapshot[0] != 200 or not cache.apply_snapshot(snapshot[1]):
            return
        self.telemetry.count["snapshots"] += 1
        ip, _, port = addr.rpartition(":")
        connection = await connect(ip, int(port), CONNECT_TIMEOUT_MS)
        if is_fault(connection):
            return
        try:
            async with asyncio.timeout(STREAM_START_TIMEOUT_S):
                stream = await connection.exchange(
                    "GET", f"/v1/events?since={cache.number}", host=addr
                )
            if is_fault(stream) or stream.status != 200:
                return
            if not cache.is_up:
                cache.is_up = True
                self.on_change()
            await self._read_reports(stream.lines(), cache)
        finally:
            connection.close()

    async def _read_reports(self, lines, cache: ReportedCache):
        """Apply reports until their stream ends or one is missing."""
        while True:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                line = await anext(lines, None)
            if line is None:
                return
            weights = cache.weights
            if line.strip() and not cache.apply_event(msgspec.json.decode(line)):
                self.telemetry.count["reportGaps"] += 1
                return
            if cache.weights != weights:
                self.on_change()
