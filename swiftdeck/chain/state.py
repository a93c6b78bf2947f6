"""What the chain keeps: the configuration, outcomes of changes, and once-only claims."""
import hashlib

import msgspec

from swiftdeck.config.configuration import Configuration
from swiftdeck.fault import LOST_RACE, REUSED_CHANGE, isFault

CHANGES_KEPT, BATCHES_KEPT, DELTAS_KEPT = 5000, 4000, 64
FREED_KEPT_MS = 600000
CLAIM, FINISH, RELEASE = 0, 1, 2
HELD, OVER, WITHDRAWN, FULL = "claimed", "finished", "withdrawn", "full"


class Stored(msgspec.Struct):
    """The state in the form that is copied and written to disk."""

    version: int = 0
    document: bytes = b"{}"
    elapsedMs: int = 0
    changes: dict[str, list] = {}
    batches: dict[str, list] = {}
    claims: dict[str, list] = {}
    freed: dict[str, list] = {}


class ChainState:
    """A deterministic machine: the same entries in the same order give the same state at each member."""

    def __init__(self, keepMs=86400000, claimsMost=200000):
        self.stored = Stored()
        self.keepMs, self.claimsMost = keepMs, claimsMost
        self.onConfig = lambda entry: None
        self.config, self.deltas, self.isTrue = Configuration.empty(), {}, True

    def toBytes(self) -> bytes:
        """The whole state."""
        self.stored.document = self.config.bytes()
        return msgspec.msgpack.encode(self.stored)

    def fromBytes(self, data: bytes):
        """Take a whole state over."""
        stored = msgspec.msgpack.decode(data, type=Stored)
        config = Configuration.read(stored.document)
        if isFault(config):
            raise msgspec.DecodeError(config.reason)
        self.stored, self.config, self.deltas, self.isTrue = stored, config, {}, True

    def since(self, version: int, digest: bytes):
        """The changes that lead from a version with this digest to the newest, or none if they are not kept."""
        versions = range(version + 1, self.stored.version + 1)
        if not all(each in self.deltas for each in versions) or not versions or self.deltas[version + 1][0] != digest:
            return None
        return [self.deltas[each][1] for each in versions]

    def examine(self, change: dict):
        """Turn an asked change into an entry, None when it was made already, or a fault; only the head does this."""
        if change["t"] != "config":
            return change | {"keepMs": self.keepMs, "most": self.claimsMost}
        digest = hashlib.sha256(msgspec.json.encode([change[name] for name in ("base", "op", "document")])).hexdigest()
        old = self.stored.changes.get(change["id"])
        if old:
            return None if old[1] == digest else REUSED_CHANGE.because(change["id"])
        if change["base"] != self.stored.version:
            return LOST_RACE.because(f"base {change['base']}, newest {self.stored.version}")
        delta = self.config.patch(change["document"]) if change["op"] == "patch" else self.config.put(change["document"])
        if isFault(delta):
            return delta
        return {"t": "config", "id": change["id"], "digest": digest, "version": self.stored.version + 1,
                "author": change.get("author", ""), "delta": delta, "mark": self.config.apply(delta).digest()}

    def apply(self, entry: dict):
        """Take one entry in."""
        stored = self.stored
        if entry["t"] == "config":
            self._change(entry)
            stored.changes[entry["id"]] = [entry["version"], entry["digest"], entry["author"]]
            self._bound(stored.changes, CHANGES_KEPT)
            self.onConfig(entry | {"document": self.config})
        elif entry["t"] == "claims":
            stored.elapsedMs += entry["elapsedMs"]
            self._expire(stored.claims, entry.get("keepMs", self.keepMs))
            self._expire(stored.freed, FREED_KEPT_MS)
            if entry["id"] not in stored.batches:
                most = entry.get("most", self.claimsMost)
                stored.batches[entry["id"]] = [self._claim(most, *each) for each in entry["ops"]]
                self._bound(stored.batches, BATCHES_KEPT)

    def _change(self, entry):
        """The next configuration, from its change, or from its whole text as an earlier form of the log has it."""
        before = self.config.digest()
        if "delta" in entry:
            self.config = self.config.apply(entry["delta"])
            self.isTrue = self.isTrue and self.config.digest() == entry["mark"]
            self.deltas[entry["version"]] = (before, msgspec.msgpack.encode(entry["delta"]))
            self._bound(self.deltas, DELTAS_KEPT)
        else:
            self.config, self.deltas = Configuration.read(bytes(entry["document"])), {}
        self.stored.version = entry["version"]

    def _claim(self, most, key, run, digest, op):
        stored = self.stored
        held = stored.claims.get(key)
        if op == CLAIM:
            if stored.freed.get(key, ("",))[0] == run:
                return WITHDRAWN
            if held and held[0] != run:
                return held[2] if held[1] == digest else "other body"
            if not held and len(stored.claims) >= most:
                return FULL
            stored.claims[key] = held or [run, digest, HELD, stored.elapsedMs]
        elif op == RELEASE:
            if held and held[0] == run:
                del stored.claims[key]
            stored.freed.pop(key, None)
            stored.freed[key] = [run, stored.elapsedMs]
        elif held and held[0] == run:
            del stored.claims[key]
            stored.claims[key] = [run, digest, OVER, stored.elapsedMs]
        return ""

    def _expire(self, table, keepMs):
        """Forget what is old; a table is in the order of its times."""
        while table:
            key = next(iter(table))
            if self.stored.elapsedMs - table[key][-1] <= keepMs:
                return
            del table[key]

    @staticmethod
    def _bound(table, limit):
        while len(table) > limit:
            del table[next(iter(table))]
