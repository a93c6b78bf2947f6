"""Copies the whole state of one core to another: compressed, in batches that can be resumed, checked by a digest."""

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

BATCH_BYTES, FIRST_BATCH_BYTES, LEAST_BATCH_BYTES, ASK_MS = 256 << 10, 16 << 10, 4 << 10, 2000
QUICK_S, LONG_S = 0.25, 0.75
TAKE_S = 5.0
"""How long one attempt goes on; the next one resumes it."""
KEPT_SNAPSHOTS, SHARED_S = 3, 2.0
COMPRESSION = 1


@attrs.frozen
class Snapshot:
    """The state of a member at one serial, as it goes over the wire."""

    serial: int
    view: int
    data: bytes
    digest: bytes
    made_s: float


@attrs.define
class Received:
    """What a core has of another's snapshot so far."""

    serial: int
    view: int
    size: int
    digest: bytes
    data: bytearray


class StateTransfer:
    """Gives this core's state to others, and takes that of another over."""

    def __init__(self, chain):
        self.chain, self.snapshots = chain, {}
        self.received, self.batch_bytes = None, FIRST_BATCH_BYTES
        self.is_copy = False

    async def on_ask(self, ask, sender):
        """A batch of the snapshot that is asked for, or the first one of a snapshot as of now."""
        found = self.snapshots.get(ask.digest)
        if found is None:
            found = await self.chain.owner.send(self._snapshot_for, ask.core_id, sender)
            if is_fault(found):
                return found
        offset = ask.offset if found.digest == ask.digest else 0
        most = min(max(ask.most, LEAST_BATCH_BYTES), BATCH_BYTES)
        batch = found.data[offset : offset + most]
        self.chain.telemetry.count["copyBytesSent"] += len(batch)
        return CopyReturn(
            serial=found.serial,
            view=found.view,
            state=batch,
            digest=found.digest,
            size=len(found.data),
        )

    def _snapshot_for(self, core_id, sender):
        """The state as far as it is synced here, which it is between two commands of the owner."""
        chain, view, at = self.chain, self.chain.agreement.decided, self.chain.agreement.position()
        is_before = at > 0 and view.members[at - 1].addr == sender and not chain.needs_copy
        is_member = core_id in ids(view.members)
        may_give = (chain.is_whole() if is_member else self._is_whole_tail()) or is_before
        may_give = may_give and chain.fault is None and at >= 0
        if not may_give or chain.serial > chain.synced:
            return NOT_TAIL
        shared = self._shared()
        if shared is not None and not is_member:
            return shared
        data = zlib.compress(chain.state.to_bytes(), COMPRESSION)
        digest = hashlib.sha256(data).digest()[:16]
        made = Snapshot(chain.serial, view.number, data, digest, chain.loop.time())
        self.snapshots.pop(digest, None)
        self.snapshots[digest] = made
        while len(self.snapshots) > KEPT_SNAPSHOTS:
            del self.snapshots[next(iter(self.snapshots))]
        return made

    def _is_whole_tail(self):
        """Whether all that is here is committed, so that a core outside the chain may begin with it.

        What a member before the tail has may be lost with it; a core that took it and came back
        later would keep an entry in a place that another one has in the chain.
        """
        return self.chain.is_last() and self.chain.is_whole()

    def _shared(self):
        """A snapshot that cores which join may share, as the log goes on from it."""
        newest = next(reversed(self.snapshots.values()), None)
        if newest is None or self.chain.loop.time() - newest.made_s > SHARED_S:
            return None
        is_followed = newest.serial == self.chain.serial or newest.serial + 1 in self.chain.entries
        return newest if is_followed else None

    def on_log_ask(self, ask, sender):
        """The log's tail after a serial, as far as it is synced at a whole member of the view that is asked for."""
        chain = self.chain
        if ask.view and ask.view != chain.agreement.decided.number:
            return STALE_VIEW.with_reason(
                f"log of view {ask.view}, here {chain.agreement.decided.number}"
            )
        if not self._is_whole_tail() or chain.fault is not None or chain.awaits_last_sync():
            return NOT_TAIL
        entries, size = [], 0
        for serial in range(ask.serial + 1, chain.synced + 1):
            if serial not in chain.entries or size > BATCH_BYTES:
                break
            entries.append(ChainEntry(serial=serial, body=chain.entries[serial]))
            size += len(chain.entries[serial])
        is_gap = ask.serial > chain.synced or ask.serial < chain.synced and not entries
        return MISSING_ENTRIES if is_gap else LogReturn(entries=entries, last=chain.synced)

    async def join_up(self, addr, view):
        """Get level with a tail: by its log where the state here came from a tail already, else by a copy first.

        The copy's record says that it is partial, which holds until this core was whole as a member. The log ends with what a
        whole tail of the very view has that is to be joined: all before that tail are whole then, so that at most one member of
        the next view is partial, and none ever compares itself with another one that lacks entries too.
        """
        fault = await self._take_log(addr, view) if self.is_copy else MISSING_ENTRIES
        if is_fault(fault) and fault.code == MISSING_ENTRIES.code:
            self.chain.is_partial = True
            got = await self.take(addr)
            if is_fault(got):
                return got
            self.is_copy = True
            fault = await self._take_log(addr, view)
        return fault

    async def _take_log(self, addr, view):
        """Take what the log of the tail of a view has beyond this one; gives a fault or None."""
        chain = self.chain
        end_s = chain.loop.time() + TAKE_S
        while chain.loop.time() < end_s:
            got = await chain.mesh.request(addr, LogAsk(serial=chain.serial, view=view), ASK_MS)
            if is_fault(got):
                return got
            fault = await chain.take_entries(got.entries)
            if is_fault(fault) or chain.serial >= got.last:
                return fault
        return PEER_TIMEOUT.with_reason(f"log of {addr}")

    async def take(self, addr, above=-1):
        """Take over the state of the core at an address; with `above`, only a longer one of this very view."""
        got = await self._receive(addr)
        if is_fault(got):
            return got
        chain = self.chain
        if (
            got.serial <= above
            or above >= 0
            and (got.view != chain.agreement.decided.number or chain.serial != above)
        ):
            return STALE_VIEW.with_reason(f"{got.serial} entries there, {chain.serial} here")
        chain.telemetry.count["copiesFromBehind"] += above >= 0
        return await self._install(got)

    async def _receive(self, addr):
        """All batches of a snapshot; what came of it before is gone on from."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + TAKE_S
        while loop.time() < end_s:
            fault = await self._receive_batch(addr)
            if fault is not None and fault.code != PEER_TIMEOUT.code:
                return fault
            got = self.received
            if fault is None and len(got.data) >= got.size:
                self.received = None
                is_true = hashlib.sha256(got.data).digest()[:16] == got.digest
                return (
                    got
                    if is_true
                    else CORRUPT_RECORD.with_reason("a copied state has another digest")
                )
        return PEER_TIMEOUT.with_reason(f"state of {addr}")

    async def _receive_batch(self, addr):
        chain, held = self.chain, self.received
        ask = CopyAsk(core_id=chain.agreement.core_id, most=self.batch_bytes)
        if held is not None:
            ask.digest, ask.offset = held.digest, len(held.data)
        begun_s = chain.loop.time()
        got = await chain.mesh.request(addr, ask, ASK_MS)
        if is_fault(got):
            self._adapt_batch(math.inf)
            return got
        self._adapt_batch(chain.loop.time() - begun_s)
        if held is None or held.digest != got.digest:
            held = Received(got.serial, got.view, got.size, got.digest, bytearray())
            self.received = held
        held.data += got.state
        return None if got.state or not got.size else CORRUPT_RECORD.with_reason("an empty batch")

    def _adapt_batch(self, took_s):
        """Ask for more at once on a quick link, for less on a narrow one."""
        if took_s < QUICK_S:
            self.batch_bytes = min(BATCH_BYTES, self.batch_bytes * 2)
        elif took_s > LONG_S:
            self.batch_bytes = max(LEAST_BATCH_BYTES, self.batch_bytes // 2)

    async def _install(self, got):
        chain = self.chain
        try:
            data = zlib.decompress(got.data)
            fresh = ChainState(chain.state.keepMs, chain.state.claimsMost)
            fresh.on_config = chain.state.on_config
            fresh.from_bytes(data)
        except (msgspec.DecodeError, zlib.error) as error:
            return CORRUPT_RECORD.with_reason(error)
        fault = await chain.replace_state(fresh, got.serial, data)
        return got if fault is None else fault
