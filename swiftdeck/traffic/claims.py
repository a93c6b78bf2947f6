"""Once-only claims of a router, written through the chain in batches."""

import asyncio

import attrs

from swiftdeck.chain.state import CLAIM, FINISH, FULL, RELEASE
from swiftdeck.fault import CLAIMED, NO_CLAIM, is_fault

BATCH = 200
"""The most operations of one change."""
WRITE_MS = 8000
AGAIN_S = 0.3
"""The pause before a batch that failed is written again."""


@attrs.frozen
class ClaimOperation:
    """What a run does with the key of a call; `kind` is CLAIM, FINISH or RELEASE.

    `digest` names the content of the call, so that a key can't be used for another one.
    """

    key: str
    run: str
    digest: str
    kind: int

    def to_list(self) -> list:
        """Return the form that the chain stores."""
        return [self.key, self.run, self.digest, self.kind]


@attrs.frozen(eq=False)
class Pending:
    """An operation that waits for its batch, and the future that takes its outcome."""

    operation: ClaimOperation
    outcome: asyncio.Future


class Claims:
    """Writes one batch at a time.

    What comes meanwhile makes the next batch, and a batch that failed is written again under the
    name that it had, so that it counts once.
    """

    def __init__(self, router: str, change_writer, random, telemetry):
        self.router, self.change_writer = router, change_writer
        self.random, self.telemetry = random, telemetry
        self.waiting: list[Pending] = []

    def start(self):
        """Go on writing batches."""
        self.loop, self.kick = asyncio.get_running_loop(), asyncio.Event()
        self.task = asyncio.ensure_future(self._write_batches())

    def _put(self, operation: ClaimOperation) -> asyncio.Future:
        pending = Pending(operation, self.loop.create_future())
        self.waiting.append(pending)
        self.kick.set()
        return pending.outcome

    def claim(self, key: str, run: str, digest: str) -> asyncio.Future:
        """Claim a key for a run.

        The future gives true when the key is held by this run, or the fault that says why it never
        will be.
        """
        return self._put(ClaimOperation(key, run, digest, CLAIM))

    def finish(self, key: str, run: str, digest: str):
        """Say that the run is over."""
        self._put(ClaimOperation(key, run, digest, FINISH))

    def release(self, key: str, run: str, digest: str) -> asyncio.Future:
        """Give the key up, as nothing was sent under it.

        The future is done when the key is free for others. A claim that is not under way yet is
        withdrawn at once and gives NO_CLAIM.
        """
        claim = ClaimOperation(key, run, digest, CLAIM)
        pending = next((found for found in self.waiting if found.operation == claim), None)
        if pending is None:
            return self._put(ClaimOperation(key, run, digest, RELEASE))
        self.waiting.remove(pending)
        pending.outcome.set_result(NO_CLAIM)
        return pending.outcome

    async def _write_batches(self):
        while True:
            await self.kick.wait()
            self.kick.clear()
            while self.waiting:
                batch, self.waiting = self.waiting[:BATCH], self.waiting[BATCH:]
                await self._write(batch)

    async def _write(self, batch: list[Pending]):
        name = f"batch/{self.router}/{self.random.getrandbits(64):x}"
        results = await self._write_until_taken(name, [pending.operation for pending in batch])
        for pending, result in zip(batch, results, strict=True):
            if not pending.outcome.done():
                pending.outcome.set_result(self._outcome(pending.operation, result))

    async def _write_until_taken(self, name: str, operations: list[ClaimOperation]) -> list[str]:
        """Write a batch under its name until it is taken; returns a result for each operation."""
        change = {"t": "claims", "ops": [operation.to_list() for operation in operations]}
        while True:
            written = await self.change_writer.write(name, change, WRITE_MS)
            self.telemetry.count["claimBatches"] += 1
            if is_fault(written):
                self.telemetry.count["claimBatchesAgain"] += 1
                await asyncio.sleep(AGAIN_S)
            elif len(written.results) == len(operations):
                return written.results

    @staticmethod
    def _outcome(operation: ClaimOperation, result: str):
        if operation.kind != CLAIM:
            return True
        if result == FULL:
            return NO_CLAIM.with_reason("as many keys are remembered as may be")
        return CLAIMED.with_reason(f"state: {result}") if result else True
