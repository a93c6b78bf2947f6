"""Takes a change to the head and its outcome from the tail."""

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
NEVER_TAKEN = {PEER_UNREACHABLE.code, NOT_HEAD.code, NO_VIEW.code, BASE_VERSION_AHEAD.code}


class ChangeWriter:
    """Writes through the chain; what may have been taken is undecided until the tail knows, never refused."""

    def __init__(self, mesh, cluster_map):
        self.mesh, self.cluster_map = mesh, cluster_map

    async def write(self, change_id: str, change: dict, deadline_ms=11000):
        """The outcome of a change, a refusal, or undecided."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + deadline_ms / 1000
        body = msgspec.msgpack.encode(change | {"id": change_id})
        may_be_taken, last = False, NO_VIEW
        while loop.time() < end_s:
            left_ms = int((end_s - loop.time()) * 1000) + 1
            head = self.cluster_map.head()
            got = (
                NO_VIEW
                if head is None
                else await self.mesh.request(
                    head, Write(change_id=change_id, body=body), min(2000, left_ms)
                )
            )
            if not is_fault(got):
                may_be_taken = True
                outcome = await self.outcome(change_id, max(1, int((end_s - loop.time()) * 1000)))
                if not is_fault(outcome) or outcome.code != UNKNOWN_CHANGE.code:
                    return (
                        outcome
                        if not is_fault(outcome)
                        else OUTCOME_UNDECIDED.with_reason(change_id)
                    )
                continue
            if got.code in REFUSALS:
                return (
                    got
                    if not may_be_taken or got.code == CHANGE_ID_REUSED.code
                    else await self._settle(change_id, got, end_s)
                )
            if got.code == CHANGE_FORGOTTEN.code:
                return OUTCOME_UNDECIDED.with_reason(f"{change_id}: {got.reason}")
            may_be_taken = may_be_taken or got.code not in NEVER_TAKEN
            last = got
            self.cluster_map.refresh()
            await asyncio.sleep(0.1)
        return (
            OUTCOME_UNDECIDED.with_reason(f"{change_id}: {last.reason or last.name}")
            if may_be_taken
            else NO_VIEW.with_reason(last.name)
        )

    async def _settle(self, change_id, refusal, end_s):
        loop = asyncio.get_running_loop()
        got = await self.outcome(change_id, max(1, min(2000, int((end_s - loop.time()) * 1000))))
        if is_fault(got) and got.code == UNKNOWN_CHANGE.code:
            return refusal
        return got if not is_fault(got) else OUTCOME_UNDECIDED.with_reason(change_id)

    async def outcome(self, change_id: str, deadline_ms=2000):
        """What the tail knows of a change: its outcome, an unknown change, or undecided."""
        loop = asyncio.get_running_loop()
        end_s, last = loop.time() + deadline_ms / 1000, NOT_TAIL
        while loop.time() < end_s:
            left_ms = max(1, int((end_s - loop.time()) * 1000))
            tail, wait_ms = self.cluster_map.tail(), min(1000, left_ms)
            got = (
                NOT_TAIL
                if tail is None
                else await self.mesh.request(
                    tail,
                    OutcomeAsk(change_id=change_id, wait_ms=max(1, wait_ms - 100)),
                    wait_ms + 200,
                )
            )
            if not is_fault(got):
                return got
            last = got
            if got.code == UNKNOWN_CHANGE.code and left_ms <= 1100:
                return got
            if got.code != UNKNOWN_CHANGE.code:
                self.cluster_map.refresh()
                await asyncio.sleep(0.05)
        return (
            last if last.code == UNKNOWN_CHANGE.code else OUTCOME_UNDECIDED.with_reason(change_id)
        )

    async def read_tail(self, ask, deadline_ms=3000):
        """Ask the tail, wherever it is now."""
        loop = asyncio.get_running_loop()
        end_s, got = loop.time() + deadline_ms / 1000, NOT_TAIL
        while loop.time() < end_s:
            tail = self.cluster_map.tail()
            got = NOT_TAIL if tail is None else await self.mesh.request(tail, ask, 1000)
            if not is_fault(got) or got.code not in (
                NOT_TAIL.code,
                PEER_UNREACHABLE.code,
                PEER_TIMEOUT.code,
                STALE_VIEW.code,
            ):
                return got
            self.cluster_map.refresh()
            await asyncio.sleep(0.1)
        return got
