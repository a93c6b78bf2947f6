"""Transfer of the whole state between cores: compressed, in resumable batches, verified by a digest."""

import asyncio
import hashlib
import math
import zlib

import attrs
import msgspec

from swiftdeck.chain.agreement import ids
from swiftdeck.chain.state import ChainState
from swiftdeck.fault import (
    CORRUPT_RECORD,
    MISSING_ENTRIES,
    NOT_TAIL,
    PEER_TIMEOUT,
    STALE_VIEW,
    is_fault,
)
from swiftdeck.wire.messages import ChainEntry, CopyAsk, CopyReturn, LogAsk, LogReturn

MAX_BATCH_BYTES, FIRST_BATCH_BYTES, MIN_BATCH_BYTES, ASK_MS = 256 << 10, 16 << 10, 4 << 10, 2000
FAST_RESPONSE_S, SLOW_RESPONSE_S = 0.25, 0.75
ATTEMPT_S = 5.0
"""How long one attempt may last; the next one resumes the transfer."""
MAX_SNAPSHOTS, SNAPSHOT_SHARE_S = 3, 2.0
COMPRESSION_LEVEL = 1


@attrs.frozen
class Snapshot:
    """The compressed state of a member at one serial, as it is sent."""

    serial: int
    view: int
    data: bytes
    digest: bytes
    made_s: float


@attrs.define
class Received:
    """The part of another core's snapshot that was received so far."""

    serial: int
    view: int
    size: int
    digest: bytes
    data: bytearray


class StateTransfer:
    """Serves this core's state and log to others, and copies those of another core.

    Attributes:
        has_tail_copy: Whether the state here was copied from a tail, so that the tail's log can extend it.
    """

    def __init__(self, chain):
        self.chain, self.snapshots = chain, {}
        self.received, self.batch_bytes = None, FIRST_BATCH_BYTES
        self.has_tail_copy = False

    async def on_copy_ask(self, ask, sender):
        """Return a batch of the requested snapshot, or the first batch of a new one if that is no longer held."""
        snapshot = self.snapshots.get(ask.digest)
        if snapshot is None:
            snapshot = await self.chain.owner.send(self._snapshot_for, ask.core_id, sender)
            if is_fault(snapshot):
                return snapshot
        offset = ask.offset if snapshot.digest == ask.digest else 0
        batch_bytes = min(max(ask.most, MIN_BATCH_BYTES), MAX_BATCH_BYTES)
        batch = snapshot.data[offset : offset + batch_bytes]
        self.chain.telemetry.count["copyBytesSent"] += len(batch)
        return CopyReturn(
            serial=snapshot.serial,
            view=snapshot.view,
            state=batch,
            digest=snapshot.digest,
            size=len(snapshot.data),
        )

    def _snapshot_for(self, core_id, sender):
        """Return a snapshot of the synced state, or NOT_TAIL; runs in the chain's command queue, so no sync is under way."""
        chain, view, position = (
            self.chain,
            self.chain.agreement.decided,
            self.chain.agreement.position(),
        )
        is_predecessor = (
            position > 0 and view.members[position - 1].addr == sender and not chain.needs_copy
        )
        is_member = core_id in ids(view.members)
        may_serve = (chain.is_whole() if is_member else self._is_caught_up_tail()) or is_predecessor
        may_serve = may_serve and chain.fault is None and position >= 0
        if not may_serve or chain.serial > chain.synced:
            return NOT_TAIL
        shareable = self._shareable_snapshot()
        if shareable is not None and not is_member:
            return shareable
        data = zlib.compress(chain.state.to_bytes(), COMPRESSION_LEVEL)
        digest = hashlib.sha256(data).digest()[:16]
        snapshot = Snapshot(chain.serial, view.number, data, digest, chain.loop.time())
        self.snapshots.pop(digest, None)
        self.snapshots[digest] = snapshot
        while len(self.snapshots) > MAX_SNAPSHOTS:
            del self.snapshots[next(iter(self.snapshots))]
        return snapshot

    def _is_caught_up_tail(self):
        """Return whether all entries here are committed, so that a core outside the chain may start from them.

        Entries of a member before the tail may be lost with that member; a core that had copied them and came
        back later would hold an entry whose serial belongs to another entry in the chain.
        """
        return self.chain.is_last() and self.chain.is_whole()

    def _shareable_snapshot(self):
        """Return a recent snapshot that the log continues from, for several joining cores to share, or None."""
        newest = next(reversed(self.snapshots.values()), None)
        if newest is None or self.chain.loop.time() - newest.made_s > SNAPSHOT_SHARE_S:
            return None
        is_followed = newest.serial == self.chain.serial or newest.serial + 1 in self.chain.entries
        return newest if is_followed else None

    def on_log_ask(self, ask, sender):
        """Return the synced log entries after a serial, if this is the caught-up tail of the requested view."""
        chain = self.chain
        if ask.view and ask.view != chain.agreement.decided.number:
            return STALE_VIEW.with_reason(
                f"log of view {ask.view}, here {chain.agreement.decided.number}"
            )
        if not self._is_caught_up_tail() or chain.fault is not None or chain.awaits_last_sync():
            return NOT_TAIL
        entries, size = [], 0
        for serial in range(ask.serial + 1, chain.synced + 1):
            if serial not in chain.entries or size > MAX_BATCH_BYTES:
                break
            entries.append(ChainEntry(serial=serial, body=chain.entries[serial]))
            size += len(chain.entries[serial])
        is_missing = ask.serial > chain.synced or ask.serial < chain.synced and not entries
        return MISSING_ENTRIES if is_missing else LogReturn(entries=entries, last=chain.synced)

    async def catch_up(self, addr, view):
        """Catch up with a tail: by its log where the state here was copied from a tail already, else by a copy first.

        The copy is recorded as partial until this core has caught up as a member. The log comes from the caught-up tail of
        the view that is to be joined. All members before that tail have caught up as well, so at most one member of the
        next view is partial, and no member ever compares its log with another one that lacks entries too.

        Returns:
            A fault or None.
        """
        fault = await self._copy_log(addr, view) if self.has_tail_copy else MISSING_ENTRIES
        if is_fault(fault) and fault.code == MISSING_ENTRIES.code:
            self.chain.is_partial = True
            received = await self.copy_state(addr)
            if is_fault(received):
                return received
            self.has_tail_copy = True
            fault = await self._copy_log(addr, view)
        return fault

    async def _copy_log(self, addr, view):
        """Append the entries that the log of the view's tail has beyond this one; return a fault or None."""
        chain = self.chain
        end_s = chain.loop.time() + ATTEMPT_S
        while chain.loop.time() < end_s:
            response = await chain.mesh.request(
                addr, LogAsk(serial=chain.serial, view=view), ASK_MS
            )
            if is_fault(response):
                return response
            fault = await chain.append_new_entries(response.entries)
            if is_fault(fault) or chain.serial >= response.last:
                return fault
        return PEER_TIMEOUT.with_reason(f"log of {addr}")

    async def copy_state(self, addr, above=-1):
        """Replace the state by that of the core at an address; with `above`, only by a longer one of this view."""
        received = await self._receive(addr)
        if is_fault(received):
            return received
        chain = self.chain
        if (
            received.serial <= above
            or above >= 0
            and (received.view != chain.agreement.decided.number or chain.serial != above)
        ):
            return STALE_VIEW.with_reason(f"{received.serial} entries there, {chain.serial} here")
        chain.telemetry.count["copiesFromBehind"] += above >= 0
        return await self._install(received)

    async def _receive(self, addr):
        """Receive all batches of a snapshot, resuming an earlier attempt; return the whole or a fault."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + ATTEMPT_S
        while loop.time() < end_s:
            fault = await self._receive_batch(addr)
            if fault is not None and fault.code != PEER_TIMEOUT.code:
                return fault
            received = self.received
            if fault is None and len(received.data) >= received.size:
                self.received = None
                is_intact = hashlib.sha256(received.data).digest()[:16] == received.digest
                return (
                    received
                    if is_intact
                    else CORRUPT_RECORD.with_reason("a copied state has another digest")
                )
        return PEER_TIMEOUT.with_reason(f"state of {addr}")

    async def _receive_batch(self, addr):
        chain, received = self.chain, self.received
        ask = CopyAsk(core_id=chain.agreement.core_id, most=self.batch_bytes)
        if received is not None:
            ask.digest, ask.offset = received.digest, len(received.data)
        start_s = chain.loop.time()
        response = await chain.mesh.request(addr, ask, ASK_MS)
        if is_fault(response):
            self._adapt_batch(math.inf)
            return response
        self._adapt_batch(chain.loop.time() - start_s)
        if received is None or received.digest != response.digest:
            received = Received(
                response.serial, response.view, response.size, response.digest, bytearray()
            )
            self.received = received
        received.data += response.state
        return (
            None
            if response.state or not response.size
            else CORRUPT_RECORD.with_reason("an empty batch")
        )

    def _adapt_batch(self, response_s):
        """Double the batch size after a fast response and halve it after a slow one, within the bounds."""
        if response_s < FAST_RESPONSE_S:
            self.batch_bytes = min(MAX_BATCH_BYTES, self.batch_bytes * 2)
        elif response_s > SLOW_RESPONSE_S:
            self.batch_bytes = max(MIN_BATCH_BYTES, self.batch_bytes // 2)

    async def _install(self, received):
        chain = self.chain
        try:
            data = zlib.decompress(received.data)
            new_state = ChainState(chain.state.keepMs, chain.state.claimsMost)
            new_state.on_config = chain.state.on_config
            new_state.from_bytes(data)
        except (msgspec.DecodeError, zlib.error) as error:
            return CORRUPT_RECORD.with_reason(error)
        fault = await chain.replace_state(new_state, received.serial, data)
        return received if fault is None else fault
