"""The index of which worker keeps which prefix, fed by the workers' numbered reports."""

import asyncio

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect, fetch_json


class Kept:
    """What one worker said that it keeps."""

    def __init__(self):
        self.number, self.weights, self.prefixes = -1, "", set()
        self.is_up, self.heard_s = False, -1e9

    def snapshot(self, body) -> bool:
        """Take a whole report; false when it is malformed."""
        try:
            number, weights, kept = (
                int(body["n"]),
                str(body["weights"]),
                {bytes.fromhex(each) for each in body["kept"]},
            )
        except (KeyError, TypeError, ValueError):
            return False
        self.number, self.weights, self.prefixes = number, weights, kept
        return True

    def event(self, body) -> bool:
        """Take one report; false when some before it are missing or it is malformed."""
        try:
            number, kind = int(body["n"]), body["kind"]
            if number <= self.number:
                return True
            if kind == "beat":
                return number == self.number + 1 or body["n"] == self.number
            if number != self.number + 1:
                return False
            if kind == "weights":
                self.weights, self.prefixes = str(body["weights"]), set()
            else:
                (self.prefixes.add if kind == "kept" else self.prefixes.discard)(
                    bytes.fromhex(body["prefix"])
                )
        except (KeyError, TypeError, ValueError):
            return False
        self.number = number
        return True


class PrefixIndex:
    """Follows the reports of the workers of one model; a gap means a new snapshot."""

    def __init__(self, board, on_change=lambda: None):
        self.board, self.on_change = board, on_change
        self.kept, self.followers = {}, {}

    def follow(self, workers):
        """Follow these workers and no others."""
        wanted = {worker.name: worker for worker in workers}
        for name in [
            name for name, (worker, _) in self.followers.items() if wanted.get(name) != worker
        ]:
            self.followers.pop(name)[1].cancel()
            if name not in wanted:
                self.kept.pop(name, None)
        for name, worker in wanted.items():
            if name not in self.followers:
                self.kept.setdefault(name, Kept())
                self.followers[name] = (worker, asyncio.ensure_future(self._following(worker)))

    def stop(self):
        """Follow nobody."""
        self.follow([])

    def depth(self, worker, chain) -> int:
        """How many parts of a prompt a worker keeps, from the first on."""
        kept = self.kept.get(worker)
        prefixes = kept.prefixes if kept else ()
        return next((at for at in range(len(chain), 0, -1) if chain[at - 1] in prefixes), 0)

    def weights(self, worker) -> str:
        """The weights that a worker said it has loaded."""
        kept = self.kept.get(worker)
        return kept.weights if kept else ""

    def is_up(self, worker) -> bool:
        """Whether a worker's reports come in."""
        kept = self.kept.get(worker)
        return bool(kept and kept.is_up)

    async def _following(self, worker):
        kept = self.kept[worker.name]
        while True:
            try:
                await self._follow_once(worker, kept)
            except (TimeoutError, msgspec.DecodeError):
                self.board.count["reportsBroken"] += 1
            if kept.is_up:
                kept.is_up = False
                self.on_change()
            await asyncio.sleep(0.3)

    async def _follow_once(self, worker, kept):
        got = await fetch_json(worker.addr, "GET", "/v1/kept", timeoutMs=1500)
        if is_fault(got) or got[0] != 200 or not kept.snapshot(got[1]):
            return
        self.board.count["snapshots"] += 1
        ip, _, port = worker.addr.rpartition(":")
        link = await connect(ip, int(port), 1000)
        if is_fault(link):
            return
        try:
            async with asyncio.timeout(1.5):
                stream = await link.exchange(
                    "GET", f"/v1/events?since={kept.number}", host=worker.addr
                )
            if is_fault(stream) or stream.status != 200:
                return
            if not kept.is_up:
                kept.is_up = True
                self.on_change()
            lines = stream.lines()
            while True:
                async with asyncio.timeout(4.0):
                    line = await anext(lines, None)
                if line is None:
                    return
                weights = kept.weights
                if line.strip() and not kept.event(msgspec.json.decode(line)):
                    self.board.count["reportGaps"] += 1
                    return
                if kept.weights != weights:
                    self.on_change()
        finally:
            link.close()
