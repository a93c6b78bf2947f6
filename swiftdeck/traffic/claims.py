"""Once-only claims of a router, written through the chain in batches."""

import asyncio

from swiftdeck.chain.state import CLAIM, FINISH, FULL, RELEASE
from swiftdeck.fault import CLAIMED, NO_CLAIM, is_fault

BATCH, AGAIN_S = 200, 0.3


class Claims:
    """One batch is under way at a time; what comes meanwhile makes the next, and what failed is asked again."""

    def __init__(self, router, change_writer, random, board):
        self.router, self.change_writer, self.random, self.board = (
            router,
            change_writer,
            random,
            board,
        )
        self.waiting = []

    def start(self):
        """Go on writing batches."""
        self.loop, self.kick = asyncio.get_running_loop(), asyncio.Event()
        self.task = asyncio.ensure_future(self._writing())

    def _put(self, key, run, digest, op):
        done = self.loop.create_future()
        self.waiting.append(([key, run, digest, op], done))
        self.kick.set()
        return done

    def claim(self, key: str, run: str, digest: str):
        """A future: true when the key is held by this run, or the fault that says why it never will be."""
        return self._put(key, run, digest, CLAIM)

    def finish(self, key: str, run: str, digest: str):
        """Say that the run is over."""
        self._put(key, run, digest, FINISH)

    def release(self, key: str, run: str, digest: str):
        """Give the key up, as nothing was sent under it; the future is done when the key is free for others."""
        asked = next((each for each in self.waiting if each[0] == [key, run, digest, CLAIM]), None)
        if asked is None:
            return self._put(key, run, digest, RELEASE)
        self.waiting.remove(asked)
        asked[1].set_result(NO_CLAIM)
        return asked[1]

    async def _writing(self):
        while True:
            await self.kick.wait()
            self.kick.clear()
            while self.waiting:
                batch, self.waiting = self.waiting[:BATCH], self.waiting[BATCH:]
                await self._write(batch)

    async def _write(self, batch):
        got, name = NO_CLAIM, f"batch/{self.router}/{self.random.getrandbits(64):x}"
        while is_fault(got) or len(got.results) != len(batch):
            got = await self.change_writer.write(
                name, {"t": "claims", "ops": [op for op, _ in batch]}, 8000
            )
            self.board.count["claimBatches"] += 1
            if is_fault(got):
                self.board.count["claimBatchesAgain"] += 1
                await asyncio.sleep(AGAIN_S)
        for (op, done), result in zip(batch, got.results, strict=False):
            if not done.done():
                done.set_result(self._told(result) if op[3] == CLAIM else True)

    @staticmethod
    def _told(result):
        if result == FULL:
            return NO_CLAIM.because("as many keys are remembered as may be")
        return CLAIMED.because(f"state: {result}") if result else True
