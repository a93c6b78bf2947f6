"""Outcomes of changes: the newest in full, older ones in compact form, and a horizon before which they may be forgotten."""

import hashlib
import struct

import attrs

CHANGES_KEPT, OLDER_KEPT = 5000, 100000
ID_BYTES, DIGEST_CHARS = 16, 16
OLDER_ROW = struct.Struct(f">QQ{DIGEST_CHARS}s")


@attrs.frozen
class Outcome:
    """The version that a change produced, and a prefix of the change's digest."""

    version: int
    digest: str


@attrs.frozen
class Horizon:
    """The newest version and the newest edition (the operator's own number) whose change may be forgotten."""

    version: int
    edition: int


def _hash_id(change_id):
    return hashlib.blake2b(change_id.encode(), digest_size=ID_BYTES).digest()


class Outcomes:
    """The tables of outcomes in the chain's stored state; each is bounded and drops its oldest rows."""

    def __init__(self, stored):
        self.stored = stored

    def record(self, change_id: str, version: int, digest: str, author: str, edition: int):
        """Store the outcome of a change; move the oldest to the compact table and the oldest there out."""
        changes, older = self.stored.changes, self.stored.older
        changes[change_id] = [version, digest, author, edition]
        while len(changes) > CHANGES_KEPT:
            oldest_id = next(iter(changes))
            row = changes.pop(oldest_id)
            older[_hash_id(oldest_id)] = OLDER_ROW.pack(
                row[0], row[3] if len(row) > 3 else edition, row[1][:DIGEST_CHARS].encode()
            )
        while len(older) > OLDER_KEPT:
            version, edition, _ = OLDER_ROW.unpack(older.pop(next(iter(older))))
            horizon = self.horizon()
            self.stored.forgotten = (
                max(version, horizon.version),
                max(edition, horizon.edition),
            )

    def find(self, change_id: str) -> Outcome | None:
        """Return the outcome of a change, or None if it is unknown or forgotten."""
        row = self.stored.changes.get(change_id)
        if row is not None:
            return Outcome(row[0], row[1][:DIGEST_CHARS])
        packed = self.stored.older.get(_hash_id(change_id))
        if packed is None:
            return None
        version, _, digest = OLDER_ROW.unpack(packed)
        return Outcome(version, digest.rstrip(b"\0").decode())

    def horizon(self) -> Horizon:
        """Return up to where a change that is not found may have been applied and forgotten."""
        return Horizon(*self.stored.forgotten)
