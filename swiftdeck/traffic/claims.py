"""A router's claims of idempotency keys, written to the chain in batches."""

import asyncio

import attrs

from swiftdeck.chain.state import CLAIM, FINISH, FULL, RELEASE
from swiftdeck.fault import CLAIMED, NO_CLAIM, is_fault

MAX_BATCH_OPERATIONS = 200
"""Maximum number of operations in one change."""
WRITE_TIMEOUT_MS = 8000
WRITE_RETRY_S = 0.3
"""Pause before a failed batch is written again."""


@attrs.frozen
class ClaimOperation:
    """An operation of a call on its idempotency key; `kind` is CLAIM, FINISH or RELEASE.

    `digest` identifies the content of the call, so that a key can't be used for another content.
    """

    key: str
    run: str
    digest: str
    kind: int

    def to_list(self) -> list:
        """Return the form in which the chain stores it."""
        return [self.key, self.run, self.digest, self.kind]


@attrs.frozen(eq=False)
class PendingOperation:
    """An operation that waits to be written, and the future that takes its outcome."""

    operation: ClaimOperation
    outcome: asyncio.Future


class Claims:
    """Writes one batch of operations at a time; those that arrive meanwhile form the next one.

    A failed batch is written again under the same name, so that it takes effect only once.
    """

    def __init__(self, router: str, change_writer, random, telemetry):
        self.router, self.change_writer = router, change_writer
        self.random, self.telemetry = random, telemetry
        self.pending_operations: list[PendingOperation] = []

    def start(self):
        """Start writing batches."""
        self.loop, self.kick = asyncio.get_running_loop(), asyncio.Event()
        self.task = asyncio.ensure_future(self._write_batches())

    def _enqueue(self, operation: ClaimOperation) -> asyncio.Future:
        pending = PendingOperation(operation, self.loop.create_future())
        self.pending_operations.append(pending)
        self.kick.set()
        return pending.outcome

    def claim(self, key: str, run: str, digest: str) -> asyncio.Future:
        """Claim a key for a run.

        The future's result is True once this run holds the key, or the fault that says why it
        can't.
        """
        return self._enqueue(ClaimOperation(key, run, digest, CLAIM))

    def finish(self, key: str, run: str, digest: str):
        """Record that the run is over."""
        self._enqueue(ClaimOperation(key, run, digest, FINISH))

    def release(self, key: str, run: str, digest: str) -> asyncio.Future:
        """Release the key, because nothing was sent under it.

        The returned future is done once the key is free for others. A claim that is not being
        written yet is withdrawn at once, and its future's result is NO_CLAIM.
        """
        claim = ClaimOperation(key, run, digest, CLAIM)
        pending = next(
            (found for found in self.pending_operations if found.operation == claim), None
        )
        if pending is None:
            return self._enqueue(ClaimOperation(key, run, digest, RELEASE))
        self.pending_operations.remove(pending)
        pending.outcome.set_result(NO_CLAIM)
        return pending.outcome

    async def _write_batches(self):
        while True:
            await self.kick.wait()
            self.kick.clear()
            while self.pending_operations:
                batch, self.pending_operations = (
                    self.pending_operations[:MAX_BATCH_OPERATIONS],
                    self.pending_operations[MAX_BATCH_OPERATIONS:],
                )
                await self._write(batch)

    async def _write(self, batch: list[PendingOperation]):
        name = f"batch/{self.router}/{self.random.getrandbits(64):x}"
        results = await self._write_until_accepted(name, [pending.operation for pending in batch])
        for pending, result in zip(batch, results, strict=True):
            if not pending.outcome.done():
                pending.outcome.set_result(self._outcome(pending.operation, result))

    async def _write_until_accepted(self, name: str, operations: list[ClaimOperation]) -> list[str]:
        """Write a batch under its name until it is accepted; return a result for each operation."""
        change = {"t": "claims", "ops": [operation.to_list() for operation in operations]}
        while True:
            response = await self.change_writer.write(name, change, WRITE_TIMEOUT_MS)
            self.telemetry.count["claimBatches"] += 1
            if is_fault(response):
                self.telemetry.count["claimBatchesAgain"] += 1
                await asyncio.sleep(WRITE_RETRY_S)
            elif len(response.results) == len(operations):
                return response.results

    @staticmethod
    def _outcome(operation: ClaimOperation, result: str):
        if operation.kind != CLAIM:
            return True
        if result == FULL:
            return NO_CLAIM.with_reason("as many keys are remembered as may be")
        return CLAIMED.with_reason(f"state: {result}") if result else True
