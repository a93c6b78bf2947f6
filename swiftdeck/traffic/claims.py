"""Once-only claims of a router, written through the chain in batches."""
import asyncio

from swiftdeck.chain.state import CLAIM, FINISH, RELEASE
from swiftdeck.fault import CLAIMED, NO_CLAIM, isFault

BATCH = 200


class Claims:
    """One batch is under way at a time; what comes meanwhile makes the next."""

    def __init__(self, router, scribe, random, board):
        self.router, self.scribe, self.random, self.board = router, scribe, random, board
        self.waiting = []

    def start(self):
        """Go on writing batches."""
        self.kick = asyncio.Event()
        self.task = asyncio.ensure_future(self._writing())

    def _put(self, key, run, digest, op):
        done = asyncio.get_running_loop().create_future()
        self.waiting.append(([key, run, digest, op], done))
        self.kick.set()
        return done

    async def claim(self, key: str, run: str, digest: str, untilS: float):
        """True when the key is now held by this run; a fault otherwise, with what is known."""
        loop = asyncio.get_running_loop()
        done = self._put(key, run, digest, CLAIM)
        await asyncio.wait([done], timeout=max(0.01, untilS - loop.time()))
        if not done.done():
            done.add_done_callback(lambda _: self.release(key, run, digest))
            return NO_CLAIM.because("chain gave no outcome in time")
        got = done.result()
        if isFault(got):
            self.release(key, run, digest)
            return NO_CLAIM.because(got.reason or got.name)
        return CLAIMED.because(f"state: {got}") if got else True

    def finish(self, key: str, run: str, digest: str):
        """Say that the run is over."""
        self._put(key, run, digest, FINISH)

    def release(self, key: str, run: str, digest: str):
        """Give the key up, as nothing was sent under it."""
        self._put(key, run, digest, RELEASE)

    async def _writing(self):
        while True:
            await self.kick.wait()
            self.kick.clear()
            while self.waiting:
                batch, self.waiting = self.waiting[:BATCH], self.waiting[BATCH:]
                await self._write(batch)

    async def _write(self, batch):
        name = f"batch/{self.router}/{self.random.getrandbits(64):x}"
        got = await self.scribe.write(name, {"t": "claims", "ops": [op for op, _ in batch]}, 8000)
        self.board.count["claimBatches"] += 1
        if not isFault(got) and len(got.results) == len(batch):
            [done.set_result(result) for (_, done), result in zip(batch, got.results) if not done.done()]
            return
        fault = got if isFault(got) else NO_CLAIM
        for (key, run, digest, op), done in batch:
            if op == CLAIM and not done.done():
                done.set_result(fault)
            elif op != CLAIM:
                asyncio.get_running_loop().call_later(1.0, self._put, key, run, digest, op)
