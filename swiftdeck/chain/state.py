"""What the chain keeps: the configuration, outcomes of changes, and once-only claims."""

import hashlib

import msgspec

from swiftdeck.chain.outcomes import DIGEST_CHARS, Outcomes
from swiftdeck.config.configuration import Configuration
from swiftdeck.config.document import EDITION, merge
from swiftdeck.fault import (
    BASE_VERSION_AHEAD,
    CHANGE_FORGOTTEN,
    CHANGE_ID_REUSED,
    INVALID_CONFIG,
    VERSION_CONFLICT,
    is_fault,
)

BATCHES_KEPT, DELTAS_KEPT = 4000, 64
FREED_KEPT_MS = 600000
CLAIM, FINISH, RELEASE = 0, 1, 2
HELD, OVER, WITHDRAWN, FULL = "claimed", "finished", "withdrawn", "full"


class Stored(msgspec.Struct):
    """The state in the form that is copied and written to disk."""

    version: int = 0
    document: bytes = b"{}"
    elapsedMs: int = 0
    changes: dict[str, list] = {}
    older: dict[bytes, bytes] = {}
    forgotten: tuple[int, int] = (0, 0)
    batches: dict[str, list] = {}
    claims: dict[str, list] = {}
    freed: dict[str, list] = {}


def invalid_by_itself(change: dict):
    """The fault of an operator's change that no configuration could take, None where it takes one to tell."""
    edition, base = change.get("edition"), change.get("onEdition")
    if edition is not None and edition <= base:
        return INVALID_CONFIG.with_reason(f"$.edition: {edition} is not above {base}")
    if change["op"] != "replace" or edition is None:
        return None
    told = change["document"].get("edition", {}).get(EDITION, {})
    tables = change["document"] | {"edition": {EDITION: told | {"number": edition}}}
    made = Configuration.empty().replace(tables, change.get("ensure", {}))
    return made if is_fault(made) else None


class ChainState:
    """A deterministic machine: the same entries in the same order give the same state at each member."""

    def __init__(self, keepMs=86400000, claimsMost=200000):
        self.stored = Stored()
        self.outcomes = Outcomes(self.stored)
        self.keepMs, self.claimsMost = keepMs, claimsMost
        self.on_config = lambda entry: None
        self.config, self.deltas, self.is_consistent = Configuration.empty(), {}, True

    def to_bytes(self) -> bytes:
        """The whole state."""
        self.stored.document = self.config.bytes()
        return msgspec.msgpack.encode(self.stored)

    def from_bytes(self, data: bytes):
        """Take a whole state over."""
        stored = msgspec.msgpack.decode(data, type=Stored)
        config = Configuration.read(stored.document)
        if is_fault(config):
            raise msgspec.DecodeError(config.reason)
        self.stored, self.config, self.deltas, self.is_consistent = stored, config, {}, True
        self.outcomes = Outcomes(stored)

    def since(self, version: int, digest: bytes, newest: int | None = None):
        """The changes that lead from a version with this digest to a newer one, or none if they are not kept."""
        versions = range(version + 1, (self.stored.version if newest is None else newest) + 1)
        if (
            not all(each in self.deltas for each in versions)
            or not versions
            or self.deltas[version + 1][0] != digest
        ):
            return None
        return [self.deltas[each][1] for each in versions]

    def examine(self, change: dict):
        """Turn an asked change into an entry, None when it was made already, or a fault; only the head does this."""
        if change["t"] != "config":
            return change | {"keepMs": self.keepMs, "most": self.claimsMost}
        digest = self._digest(change)
        old = self.outcomes.find(change["id"])
        if old:
            is_same = old.digest == digest[:DIGEST_CHARS]
            return None if is_same else CHANGE_ID_REUSED.with_reason(change["id"])
        delta = self._delta(change)
        if is_fault(delta):
            return delta
        made = {"id": change["id"], "digest": digest, "author": change.get("author", "")}
        if delta is None:
            return {"t": "noted", "version": self.stored.version} | made
        return {
            "t": "config",
            "version": self.stored.version + 1,
            "delta": delta,
            "mark": self.config.apply(delta).digest(),
        } | made

    @staticmethod
    def _digest(change):
        """What tells one change from another under the same id."""
        told = (
            [change[name] for name in ("base", "op", "document")]
            if change["op"] in ("put", "patch")
            else {name: part for name, part in change.items() if name not in ("t", "id", "author")}
        )
        return hashlib.sha256(
            msgspec.json.encode(told, order="sorted" if isinstance(told, dict) else None)
        ).hexdigest()

    def _delta(self, change):
        """The entries that a change touches, as they will be, None where there is nothing to do, or a fault."""
        if change["op"] == "raise":
            return self._raised(change["model"], change["weights"])
        fault = self._outpaced(change)
        if is_fault(fault):
            return fault
        op, document = change["op"], change["document"]
        if op in ("put", "patch"):
            return self.config.put(document) if op == "put" else self.config.patch(document)
        if op not in ("replace", "items"):
            return INVALID_CONFIG.with_reason(f"op `{op}` is not known")
        tables = document | ({"edition": self._edition(change)} if "edition" in change else {})
        return (self.config.replace if op == "replace" else self.config.items)(
            tables, change.get("ensure", {})
        )

    def _outpaced(self, change):
        """A fault where the change builds on another version or edition than the present one."""
        if "edition" in change:
            return self._outpaced_edition(change["edition"], change["onEdition"])
        base, newest = change["base"], self.stored.version
        if base < newest and base < self.outcomes.horizon().version:
            return CHANGE_FORGOTTEN.with_reason(f"base {base}, newest {newest}")
        return (
            None
            if base == newest
            else VERSION_CONFLICT.with_reason(f"base {base}, newest {newest}")
        )

    def _outpaced_edition(self, edition, base):
        """A fault where a change of the operator's own numbers is not the next one.

        One that is told to have lost can never be taken later, since numbers only go up. For one that builds on a number to
        come this cannot be said: another copy of it, held up on its way, may be taken once that number is there.
        """
        held = self.config.document.edition.get(EDITION)
        number = held.number if held else 0
        if edition <= base:
            return INVALID_CONFIG.with_reason(f"$.edition: {edition} is not above {base}")
        if base > number:
            return BASE_VERSION_AHEAD.with_reason(f"on edition {base}, newest {number}")
        if base < number and edition <= self.outcomes.horizon().edition:
            return CHANGE_FORGOTTEN.with_reason(f"on edition {base}, newest {number}")
        return (
            None
            if base == number
            else VERSION_CONFLICT.with_reason(f"on edition {base}, newest {number}")
        )

    def _edition(self, change):
        """The table of the edition after a change: whole where it is replaced, else what is told of it merged in."""
        told, held = (
            change["document"].get("edition", {}).get(EDITION),
            self.config.raws.get("edition", {}).get(EDITION, {}),
        )
        is_whole = told is not None and change["op"] == "replace"
        tenants = self.config.document.tenants
        is_walled = any(
            entry and entry.get("apart") and name in tenants and not tenants[name].apart
            for name, entry in change["document"].get("tenants", {}).items()
        )
        walls = held.get("walls", 0) + is_walled
        return {
            EDITION: (told if is_whole else merge(held, told or {}))
            | {"number": change["edition"]}
            | ({"walls": walls} if walls else {})
        }

    def _raised(self, model, weights):
        held = self.config.raws.get("models", {}).get(model)
        if held is None or not held["weights"].isdecimal():
            return INVALID_CONFIG.with_reason(
                f"$.models.{model}: no such model with numbered weights"
            )
        return (
            None
            if int(held["weights"]) >= weights
            else self.config.items({"models": {model: held | {"weights": str(weights)}}}, {})
        )

    def apply(self, entry: dict):
        """Take one entry in."""
        stored = self.stored
        if entry["t"] == "config":
            self._change(entry)
            self._note(entry)
            self.on_config(entry | {"document": self.config})
        elif entry["t"] == "noted":
            self._note(entry)
        elif entry["t"] == "claims":
            stored.elapsedMs += entry["elapsedMs"]
            self._expire(stored.claims, entry.get("keepMs", self.keepMs))
            self._expire(stored.freed, FREED_KEPT_MS)
            if entry["id"] not in stored.batches:
                most = entry.get("most", self.claimsMost)
                stored.batches[entry["id"]] = [self._claim(most, *each) for each in entry["ops"]]
                self._bound(stored.batches, BATCHES_KEPT)

    def _note(self, entry):
        """Keep what became of a change."""
        held = self.config.document.edition.get(EDITION)
        self.outcomes.note(
            entry["id"],
            entry["version"],
            entry["digest"],
            entry["author"],
            held.number if held else 0,
        )

    def _change(self, entry):
        """The next configuration, from its change, or from its whole text as an earlier form of the log has it."""
        before = self.config.digest()
        if "delta" in entry:
            self.config = self.config.apply(entry["delta"])
            self.is_consistent = self.is_consistent and self.config.digest() == entry["mark"]
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
