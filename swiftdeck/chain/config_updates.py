"""What a router is sent to get from its configuration to the newest one, packed once for all routers."""

import zlib

import msgspec

from swiftdeck.fault import BAD_FRAME
from swiftdeck.wire.messages import LeaseReturn

PACKED_KEPT = 8
LEVEL = 1
PACK_FROM_BYTES = 1024


class ConfigUpdates:
    """Changes since a version, or the whole text; a large one is compressed, and kept for the next router."""

    def __init__(self, telemetry):
        self.telemetry = telemetry
        self.packed: dict[tuple, bytes] = {}

    def add(self, told: LeaseReturn, ask, state, durable):
        """Add to a lease what its router lacks, if it lacks anything."""
        digest = durable.config.digest()
        if ask.held >= durable.version and ask.digest == digest:
            return
        deltas = state.deltas_since(ask.held, ask.digest, durable.version) if ask.digest else None
        told.digest = digest
        self.telemetry.count["wholesSent"] += not deltas
        parts = deltas or [durable.config.bytes()]
        if ask.takes_packed and sum(map(len, parts)) >= PACK_FROM_BYTES:
            key = (ask.digest if deltas else b"", bool(deltas), digest)
            told.packed, told.is_whole = self._pack(key, parts), not deltas
        elif deltas:
            told.deltas = deltas
        else:
            told.document = parts[0]

    def pack_whole(self, config) -> bytes:
        """The compressed form of a whole configuration, empty for one that is too small to gain by it."""
        text = config.bytes()
        if len(text) < PACK_FROM_BYTES:
            return b""
        return self._pack((b"", False, config.digest()), [text])

    def _pack(self, key, parts):
        """The compressed form of an update, made once; a tail sends the same one to most routers."""
        if key not in self.packed:
            self.packed[key] = zlib.compress(msgspec.msgpack.encode(parts), LEVEL)
            while len(self.packed) > PACKED_KEPT:
                del self.packed[next(iter(self.packed))]
        return self.packed[key]


def unpack(told: LeaseReturn):
    """The same lease with its update as it was before it was packed, or a fault."""
    if not told.packed:
        return told
    try:
        parts = msgspec.msgpack.decode(zlib.decompress(told.packed), type=list[bytes])
    except (zlib.error, msgspec.DecodeError) as error:
        return BAD_FRAME.with_reason(f"packed configuration: {error}")
    if told.is_whole:
        told.document = parts[0] if parts else b""
    else:
        told.deltas = parts
    told.packed = b""
    return told
