"""What became of changes: the newest in full, those before them as digests, and how far back nothing is known any more."""

import hashlib
import struct

import attrs

CHANGES_KEPT, OLDER_KEPT = 5000, 100000
ID_BYTES, DIGEST_CHARS = 16, 16
OLDER = struct.Struct(f">QQ{DIGEST_CHARS}s")


@attrs.frozen
class Outcome:
    """The version that a change gave, and the first part of its digest."""

    version: int
    digest: str


@attrs.frozen
class Horizon:
    """The newest version, and the newest of the operator's own numbers, whose change may be forgotten."""

    version: int
    edition: int


def _key(change_id):
    return hashlib.blake2b(change_id.encode(), digest_size=ID_BYTES).digest()


class Outcomes:
    """The tables of outcomes within what the chain stores; each is bounded, and the oldest goes first."""

    def __init__(self, stored):
        self.stored = stored

    def note(self, change_id: str, version: int, digest: str, author: str, edition: int):
        """Keep what became of a change."""
        changes, older = self.stored.changes, self.stored.older
        changes[change_id] = [version, digest, author, edition]
        while len(changes) > CHANGES_KEPT:
            first = next(iter(changes))
            row = changes.pop(first)
            older[_key(first)] = OLDER.pack(
                row[0], row[3] if len(row) > 3 else edition, row[1][:DIGEST_CHARS].encode()
            )
        while len(older) > OLDER_KEPT:
            version, edition, _ = OLDER.unpack(older.pop(next(iter(older))))
            known = self.horizon()
            self.stored.forgotten = (
                max(version, known.version),
                max(edition, known.edition),
            )

    def find(self, change_id: str) -> Outcome | None:
        """What became of a change, as far as it is kept."""
        row = self.stored.changes.get(change_id)
        if row is not None:
            return Outcome(row[0], row[1][:DIGEST_CHARS])
        packed = self.stored.older.get(_key(change_id))
        if packed is None:
            return None
        version, _, digest = OLDER.unpack(packed)
        return Outcome(version, digest.rstrip(b"\0").decode())

    def horizon(self) -> Horizon:
        """How far back a change that is not found may have been taken and forgotten."""
        return Horizon(*self.stored.forgotten)
