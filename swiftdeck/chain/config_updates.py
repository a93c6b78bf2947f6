"""Configuration updates for routers: deltas or the whole document, compressed once for all routers."""

import zlib

import msgspec

from swiftdeck.fault import BAD_FRAME
from swiftdeck.wire.messages import LeaseReturn

PACKED_KEPT = 8
COMPRESSION_LEVEL = 1
MIN_PACK_BYTES = 1024


class ConfigUpdates:
    """Builds updates from the deltas since a version or the whole document; a large one is compressed and cached."""

    def __init__(self, telemetry):
        self.telemetry = telemetry
        self.packed: dict[tuple, bytes] = {}

    def add_update(self, lease: LeaseReturn, ask, state, durable):
        """Add to a lease the update that its router lacks, if any."""
        digest = durable.config.digest()
        if ask.held >= durable.version and ask.digest == digest:
            return
        deltas = state.deltas_since(ask.held, ask.digest, durable.version) if ask.digest else None
        lease.digest = digest
        self.telemetry.count["wholesSent"] += not deltas
        parts = deltas or [durable.config.bytes()]
        if ask.takes_packed and sum(map(len, parts)) >= MIN_PACK_BYTES:
            key = (ask.digest if deltas else b"", bool(deltas), digest)
            lease.packed, lease.is_whole = self._pack(key, parts), not deltas
        elif deltas:
            lease.deltas = deltas
        else:
            lease.document = parts[0]

    def pack_whole(self, config) -> bytes:
        """Return a compressed whole configuration, or empty bytes if it is too small to gain from compression."""
        document = config.bytes()
        if len(document) < MIN_PACK_BYTES:
            return b""
        return self._pack((b"", False, config.digest()), [document])

    def _pack(self, key, parts):
        """Return the compressed update for a key, from the cache if possible: most routers get the same one."""
        if key not in self.packed:
            self.packed[key] = zlib.compress(msgspec.msgpack.encode(parts), COMPRESSION_LEVEL)
            while len(self.packed) > PACKED_KEPT:
                del self.packed[next(iter(self.packed))]
        return self.packed[key]


def unpack(lease: LeaseReturn):
    """Decompress the update of a lease in place; return the lease or a fault."""
    if not lease.packed:
        return lease
    try:
        parts = msgspec.msgpack.decode(zlib.decompress(lease.packed), type=list[bytes])
    except (zlib.error, msgspec.DecodeError) as error:
        return BAD_FRAME.with_reason(f"packed configuration: {error}")
    if lease.is_whole:
        lease.document = parts[0] if parts else b""
    else:
        lease.deltas = parts
    lease.packed = b""
    return lease
