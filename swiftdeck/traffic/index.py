"""The index of which worker keeps which prefix, fed by the workers' numbered reports."""

import asyncio

import attrs
import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect, fetch_json

SNAPSHOT_MS, CONNECT_MS = 1500, 1000
STREAM_BEGINS_S = 1.5
SILENCE_S = 4.0
"""The longest pause between two reports; a worker beats each second when it has none."""
FOLLOW_AGAIN_S = 0.3


class Kept:
    """What one worker reported that it keeps.

    Reports are numbered without gaps; `number` is that of the newest one taken in. `is_up` says
    whether they come in.
    """

    def __init__(self):
        self.number, self.weights = -1, ""
        self.prefixes: set[bytes] = set()
        self.is_up = False

    def snapshot(self, body) -> bool:
        """Take a whole report; false when it is malformed, and then nothing is changed."""
        try:
            number, weights = int(body["n"]), str(body["weights"])
            prefixes = {bytes.fromhex(prefix) for prefix in body["kept"]}
        except (KeyError, TypeError, ValueError):
            return False
        self.number, self.weights, self.prefixes = number, weights, prefixes
        return True

    def event(self, body) -> bool:
        """Take one report; false when some before it are missing or it is malformed.

        A report that was taken before is passed over.
        """
        try:
            number, kind = int(body["n"]), body["kind"]
            if number <= self.number:
                return True
            if number != self.number + 1:
                return False
            if kind == "beat":
                return True
            self._apply(kind, body)
        except (KeyError, TypeError, ValueError):
            return False
        self.number = number
        return True

    def _apply(self, kind, body):
        """Take in the report that comes next."""
        if kind == "weights":
            self.weights, self.prefixes = str(body["weights"]), set()
        elif kind == "kept":
            self.prefixes.add(bytes.fromhex(body["prefix"]))
        else:
            self.prefixes.discard(bytes.fromhex(body["prefix"]))


@attrs.frozen
class Follower:
    """The task that follows the reports of a listed worker."""

    worker: object
    task: asyncio.Task


class PrefixIndex:
    """Follows the reports of the workers of one model; a gap means a new snapshot.

    `on_change` is called when a worker's reports begin or cease, or its weights change.
    """

    def __init__(self, telemetry, on_change=lambda: None):
        self.telemetry, self.on_change = telemetry, on_change
        self.kept: dict[str, Kept] = {}
        self.followers: dict[str, Follower] = {}

    def follow(self, workers):
        """Follow these workers and no others; one whose entry in the list changed begins anew."""
        wanted = {worker.name: worker for worker in workers}
        for name, follower in list(self.followers.items()):
            if wanted.get(name) != follower.worker:
                del self.followers[name]
                follower.task.cancel()
                if name not in wanted:
                    self.kept.pop(name, None)
        for name, worker in wanted.items():
            if name not in self.followers:
                self.kept.setdefault(name, Kept())
                task = asyncio.ensure_future(self._follow(worker))
                self.followers[name] = Follower(worker, task)

    def stop(self):
        """Follow nobody."""
        self.follow([])

    def depth(self, worker: str, chain: list[bytes]) -> int:
        """Return how many parts of a prompt a worker keeps, from the first on."""
        kept = self.kept.get(worker)
        prefixes = kept.prefixes if kept else ()
        return next((at for at in range(len(chain), 0, -1) if chain[at - 1] in prefixes), 0)

    def weights(self, worker: str) -> str:
        """Return the weights that a worker reported; empty if it reported none."""
        kept = self.kept.get(worker)
        return kept.weights if kept else ""

    def is_up(self, worker: str) -> bool:
        """Whether a worker's reports come in."""
        kept = self.kept.get(worker)
        return bool(kept and kept.is_up)

    async def _follow(self, worker):
        kept = self.kept[worker.name]
        while True:
            try:
                await self._follow_once(worker.addr, kept)
            except (TimeoutError, msgspec.DecodeError):
                self.telemetry.count["reportsBroken"] += 1
            if kept.is_up:
                kept.is_up = False
                self.on_change()
            await asyncio.sleep(FOLLOW_AGAIN_S)

    async def _follow_once(self, addr: str, kept: Kept):
        """Take a snapshot and the reports after it, until they cease or have a gap.

        Raises TimeoutError when a worker is silent for too long, DecodeError on malformed JSON.
        """
        snapshot = await fetch_json(addr, "GET", "/v1/kept", timeoutMs=SNAPSHOT_MS)
        if is_fault(snapshot) or snapshot[0] != 200 or not kept.snapshot(snapshot[1]):
            return
        self.telemetry.count["snapshots"] += 1
        ip, _, port = addr.rpartition(":")
        link = await connect(ip, int(port), CONNECT_MS)
        if is_fault(link):
            return
        try:
            async with asyncio.timeout(STREAM_BEGINS_S):
                stream = await link.exchange("GET", f"/v1/events?since={kept.number}", host=addr)
            if is_fault(stream) or stream.status != 200:
                return
            if not kept.is_up:
                kept.is_up = True
                self.on_change()
            await self._take_reports(stream.lines(), kept)
        finally:
            link.close()

    async def _take_reports(self, lines, kept: Kept):
        """Take reports until their stream ends or one is missing."""
        while True:
            async with asyncio.timeout(SILENCE_S):
                line = await anext(lines, None)
            if line is None:
                return
            weights = kept.weights
            if line.strip() and not kept.event(msgspec.json.decode(line)):
                self.telemetry.count["reportGaps"] += 1
                return
            if kept.weights != weights:
                self.on_change()
