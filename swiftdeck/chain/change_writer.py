"""Client side of writes: sends a change to the head and reads its outcome from the tail."""

import asyncio

import msgspec

from swiftdeck.fault import (
    BAD_FRAME,
    BASE_VERSION_AHEAD,
    CHANGE_FORGOTTEN,
    CHANGE_ID_REUSED,
    INVALID_CONFIG,
    NO_VIEW,
    NOT_HEAD,
    NOT_TAIL,
    OUTCOME_UNDECIDED,
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    STALE_VIEW,
    UNKNOWN_CHANGE,
    VERSION_CONFLICT,
    is_fault,
)
from swiftdeck.wire.messages import OutcomeAsk, Write

REFUSALS = {VERSION_CONFLICT.code, INVALID_CONFIG.code, CHANGE_ID_REUSED.code, BAD_FRAME.code}
MAX_CONCURRENT_READS = 8
NEVER_ACCEPTED = {PEER_UNREACHABLE.code, NOT_HEAD.code, NO_VIEW.code, BASE_VERSION_AHEAD.code}


class ChangeWriter:
    """Writes changes through the chain and reads from its tail.

    A change that a head may have accepted counts as undecided, never as refused, until the tail knows its outcome.
    """

    def __init__(self, mesh, cluster_map):
        self.mesh, self.cluster_map = mesh, cluster_map
        self.reads = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def write(self, change_id: str, change: dict, deadline_ms=11000):
        """Write a change; return its outcome, the fault that refuses it, or OUTCOME_UNDECIDED.

        Returns NO_VIEW at the deadline if no head can have accepted the change.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + deadline_ms / 1000
        body = msgspec.msgpack.encode(change | {"id": change_id})
        may_be_accepted, last_fault = False, NO_VIEW
        while loop.time() < end_s:
            left_ms = int((end_s - loop.time()) * 1000) + 1
            head = self.cluster_map.head()
            response = (
                NO_VIEW
                if head is None
                else await self.mesh.request(
                    head, Write(change_id=change_id, body=body), min(2000, left_ms)
                )
            )
            if not is_fault(response):
                may_be_accepted = True
                outcome = await self.outcome(change_id, max(1, int((end_s - loop.time()) * 1000)))
                if not is_fault(outcome) or outcome.code != UNKNOWN_CHANGE.code:
                    return (
                        outcome
                        if not is_fault(outcome)
                        else OUTCOME_UNDECIDED.with_reason(change_id)
                    )
                continue
            if response.code in REFUSALS:
                return (
                    response
                    if not may_be_accepted or response.code == CHANGE_ID_REUSED.code
                    else await self._resolve_refusal(change_id, response, end_s)
                )
            if response.code == CHANGE_FORGOTTEN.code:
                return OUTCOME_UNDECIDED.with_reason(f"{change_id}: {response.reason}")
            may_be_accepted = may_be_accepted or response.code not in NEVER_ACCEPTED
            last_fault = response
            self.cluster_map.refresh()
            await asyncio.sleep(0.1)
        return (
            OUTCOME_UNDECIDED.with_reason(f"{change_id}: {last_fault.reason or last_fault.name}")
            if may_be_accepted
            else NO_VIEW.with_reason(last_fault.name)
        )

    async def _resolve_refusal(self, change_id, refusal, end_s):
        loop = asyncio.get_running_loop()
        outcome = await self.outcome(
            change_id, max(1, min(2000, int((end_s - loop.time()) * 1000)))
        )
        if is_fault(outcome) and outcome.code == UNKNOWN_CHANGE.code:
            return refusal
        return outcome if not is_fault(outcome) else OUTCOME_UNDECIDED.with_reason(change_id)

    async def outcome(self, change_id: str, deadline_ms=2000):
        """Ask the tail for the outcome of a change; return it, UNKNOWN_CHANGE or OUTCOME_UNDECIDED."""
        loop = asyncio.get_running_loop()
        end_s, last_fault = loop.time() + deadline_ms / 1000, NOT_TAIL
        while loop.time() < end_s:
            left_ms = max(1, int((end_s - loop.time()) * 1000))
            tail, wait_ms = self.cluster_map.tail(), min(1000, left_ms)
            response = (
                NOT_TAIL
                if tail is None
                else await self.mesh.request(
                    tail,
                    OutcomeAsk(change_id=change_id, wait_ms=max(1, wait_ms - 100)),
                    wait_ms + 200,
                )
            )
            if not is_fault(response):
                return response
            last_fault = response
            if response.code == UNKNOWN_CHANGE.code and left_ms <= 1100:
                return response
            if response.code != UNKNOWN_CHANGE.code:
                self.cluster_map.refresh()
                await asyncio.sleep(0.05)
        return (
            last_fault
            if last_fault.code == UNKNOWN_CHANGE.code
            else OUTCOME_UNDECIDED.with_reason(change_id)
        )

    async def read_tail(self, ask, deadline_ms=3000):
        """Send a request to the tail, retrying while the tail changes or cannot be reached.

        A few reads go on at a time, as each response may be as large as the configuration.
        """
        async with self.reads:
            return await self._read_tail(ask, deadline_ms)

    async def _read_tail(self, ask, deadline_ms):
        loop = asyncio.get_running_loop()
        end_s, response = loop.time() + deadline_ms / 1000, NOT_TAIL
        while loop.time() < end_s:
            tail = self.cluster_map.tail()
            response = NOT_TAIL if tail is None else await self.mesh.request(tail, ask, 1000)
            if not is_fault(response) or response.code not in (
                NOT_TAIL.code,
                PEER_UNREACHABLE.code,
                PEER_TIMEOUT.code,
                STALE_VIEW.code,
            ):
                return response
            self.cluster_map.refresh()
            await asyncio.sleep(0.1)
        return response
