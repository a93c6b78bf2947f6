"""The replicated state of the chain: the configuration, the outcomes of changes, and once-only claims."""

import hashlib

import msgspec

from swiftdeck.chain.cache_isolation import CacheIsolation
from swiftdeck.chain.outcomes import DIGEST_CHARS, Outcomes
from swiftdeck.config.configuration import Configuration
from swiftdeck.config.document import (
    CORES,
    EDITION,
    GENERATION_FIELD,
    merge,
    shared_cache_generation,
)
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
    """The state in its serialized form, as copied between cores and written to disk."""

    version: int = 0
    document: bytes = b"{}"
    elapsedMs: int = 0
    changes: dict[str, list] = {}
    older: dict[bytes, bytes] = {}
    forgotten: tuple[int, int] = (0, 0)
    batches: dict[str, list] = {}
    claims: dict[str, list] = {}
    freed: dict[str, list] = {}
    departedTenants: dict[str, bool] | None = None


def invalid_by_itself(change: dict):
    """Return the fault of an operator's change that is invalid for any configuration, else None."""
    edition, base = change.get("edition"), change.get("onEdition")
    if edition is not None and edition <= base:
        return INVALID_CONFIG.with_reason(f"$.edition: {edition} is not above {base}")
    if change["op"] != "replace" or edition is None:
        return None
    edition_fields = change["document"].get("edition", {}).get(EDITION, {})
    tables = change["document"] | {"edition": {EDITION: edition_fields | {"number": edition}}}
    config = Configuration.empty().replace(tables, change.get("ensure", {}))
    return config if is_fault(config) else None


def _reserved_field_fault(document: dict):
    """Return the fault of a document of the own interface that gives what the cores keep, else None."""
    edition = document.get("edition") if isinstance(document, dict) else None
    for name, entry in edition.items() if isinstance(edition, dict) else ():
        if name == CORES or isinstance(entry, dict) and GENERATION_FIELD in entry:
            return INVALID_CONFIG.with_reason(f"$.edition.{name}: is kept by the cores")
    return None


class ChainState:
    """A deterministic state machine: the same entries in the same order give the same state at each member.

    Attributes:
        deltas: By version, the digest of the configuration before it and the encoded delta that leads to it.
        is_consistent: False once a delta gave a configuration whose digest differs from the head's.
    """

    def __init__(self, keepMs=86400000, claimsMost=200000):
        self.stored = Stored(departedTenants={})
        self.outcomes = Outcomes(self.stored)
        self.isolation = CacheIsolation(self.stored)
        self.keepMs, self.claimsMost = keepMs, claimsMost
        self.on_config = lambda entry: None
        self.config, self.deltas, self.is_consistent = Configuration.empty(), {}, True

    def to_bytes(self) -> bytes:
        """Return the whole state, serialized."""
        self.stored.document = self.config.bytes()
        return msgspec.msgpack.encode(self.stored)

    def from_bytes(self, data: bytes):
        """Replace the state by a serialized one; raise `msgspec.DecodeError` if it cannot be read."""
        stored = msgspec.msgpack.decode(data, type=Stored)
        config = Configuration.read(stored.document)
        if is_fault(config):
            raise msgspec.DecodeError(config.reason)
        self.stored, self.config, self.deltas, self.is_consistent = stored, config, {}, True
        self.outcomes, self.isolation = Outcomes(stored), CacheIsolation(stored)

    def deltas_since(self, version: int, digest: bytes, newest: int | None = None):
        """Return the encoded deltas from a version with this digest to `newest`, or None if they are not all kept."""
        versions = range(version + 1, (self.stored.version if newest is None else newest) + 1)
        if (
            not all(each in self.deltas for each in versions)
            or not versions
            or self.deltas[version + 1][0] != digest
        ):
            return None
        return [self.deltas[each][1] for each in versions]

    def examine(self, change: dict):
        """Turn a requested change into an entry; only the head does this.

        Returns:
            The entry, None when the change was made already, or a fault.
        """
        if change["t"] != "config":
            return change | {"keepMs": self.keepMs, "most": self.claimsMost}
        digest = self._change_digest(change)
        previous = self.outcomes.find(change["id"])
        if previous:
            is_same = previous.digest == digest[:DIGEST_CHARS]
            return None if is_same else CHANGE_ID_REUSED.with_reason(change["id"])
        delta = self._compute_delta(change)
        if is_fault(delta):
            return delta
        common_fields = {"id": change["id"], "digest": digest, "author": change.get("author", "")}
        if delta is None:
            return {"t": "noted", "version": self.stored.version} | common_fields
        return {
            "t": "config",
            "version": self.stored.version + 1,
            "delta": delta,
            "mark": self.config.apply(delta).digest(),
        } | common_fields

    @staticmethod
    def _change_digest(change):
        """Return the digest that detects another change under the same id."""
        content = (
            [change[name] for name in ("base", "op", "document")]
            if change["op"] in ("put", "patch")
            else {name: part for name, part in change.items() if name not in ("t", "id", "author")}
        )
        return hashlib.sha256(
            msgspec.json.encode(content, order="sorted" if isinstance(content, dict) else None)
        ).hexdigest()

    def _compute_delta(self, change):
        """Return the new values of the entries that a change touches, None where nothing changes, or a fault."""
        if change["op"] == "raise":
            return self._raise_weights(change["model"], change["weights"])
        delta = self._requested_delta(change)
        if is_fault(delta):
            return delta
        return self._with_generation(delta, EDITION if "edition" in change else CORES)

    def _requested_delta(self, change):
        """Return the new values of the entries that an operator's change asks for, or a fault."""
        fault = self._check_base(change)
        if is_fault(fault):
            return fault
        op, document = change["op"], change["document"]
        if op in ("put", "patch"):
            fault = _reserved_field_fault(document)
            if fault is not None:
                return fault
            return self.config.put(document) if op == "put" else self.config.patch(document)
        if op not in ("replace", "items"):
            return INVALID_CONFIG.with_reason(f"op `{op}` is not known")
        tables = document | (
            {"edition": self._edition_table(change)} if "edition" in change else {}
        )
        return (self.config.replace if op == "replace" else self.config.items)(
            tables, change.get("ensure", {})
        )

    def _with_generation(self, delta, edition_name):
        """Return a checked change that keeps or raises the generation of shared prefixes.

        It is kept in the entry `edition_name`. Whatever an operator sends, it never falls.
        """
        config, changed_config = self.config, self.config.apply(delta)
        generation = self.isolation.required_generation(
            config.document, changed_config.document, config.changed_names(delta, "tenants")
        )
        if generation == shared_cache_generation(changed_config.document):
            return delta
        edition = changed_config.raws.get("edition", {}).get(edition_name, {"number": 0})
        return config.with_entry(
            delta, "edition", edition_name, edition | {GENERATION_FIELD: generation}
        )

    def _check_base(self, change):
        """Return a fault if a change is based on another version or edition than the current one."""
        if "edition" in change:
            return self._check_base_edition(change["edition"], change["onEdition"])
        base, newest = change["base"], self.stored.version
        if base < newest and base < self.outcomes.horizon().version:
            return CHANGE_FORGOTTEN.with_reason(f"base {base}, newest {newest}")
        return (
            None
            if base == newest
            else VERSION_CONFLICT.with_reason(f"base {base}, newest {newest}")
        )

    def _check_base_edition(self, edition, base):
        """Return a fault if a change with the operator's own numbers is not based on the current edition.

        Numbers only grow, so a change refused with VERSION_CONFLICT can never be accepted later. A change based on a future
        number gets BASE_VERSION_AHEAD, as a delayed duplicate of it may be accepted once that number is current.
        """
        current = self.config.document.edition.get(EDITION)
        number = current.number if current else 0
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

    def _edition_table(self, change):
        """Return the edition table after a change: replaced where `op` is `replace` and gives one, else merged."""
        given, current = (
            change["document"].get("edition", {}).get(EDITION),
            self.config.raws.get("edition", {}).get(EDITION, {}),
        )
        is_replaced = given is not None and change["op"] == "replace"
        return {
            EDITION: (given if is_replaced else merge(current, given or {}))
            | {"number": change["edition"]}
        }

    def _raise_weights(self, model, weights):
        current = self.config.raws.get("models", {}).get(model)
        if current is None or not current["weights"].isdecimal():
            return INVALID_CONFIG.with_reason(
                f"$.models.{model}: no such model with numbered weights"
            )
        return (
            None
            if int(current["weights"]) >= weights
            else self.config.items({"models": {model: current | {"weights": str(weights)}}}, {})
        )

    def apply(self, entry: dict):
        """Apply one entry."""
        stored = self.stored
        if entry["t"] == "config":
            self._apply_config(entry)
            self._record_outcome(entry)
            self.on_config(entry | {"document": self.config})
        elif entry["t"] == "noted":
            self._record_outcome(entry)
        elif entry["t"] == "claims":
            stored.elapsedMs += entry["elapsedMs"]
            self._expire(stored.claims, entry.get("keepMs", self.keepMs))
            self._expire(stored.freed, FREED_KEPT_MS)
            if entry["id"] not in stored.batches:
                max_claims = entry.get("most", self.claimsMost)
                stored.batches[entry["id"]] = [
                    self._claim(max_claims, *each) for each in entry["ops"]
                ]
                self._trim(stored.batches, BATCHES_KEPT)

    def _record_outcome(self, entry):
        """Store the outcome of a change."""
        edition = self.config.document.edition.get(EDITION)
        self.outcomes.record(
            entry["id"],
            entry["version"],
            entry["digest"],
            entry["author"],
            edition.number if edition else 0,
        )

    def _apply_config(self, entry):
        """Set the next configuration from its delta, or from the whole document that an earlier log format has."""
        previous, base_digest = self.config, self.config.digest()
        if "delta" in entry:
            tenants = previous.changed_names(entry["delta"], "tenants")
            self.config = previous.apply(entry["delta"])
            self.is_consistent = self.is_consistent and self.config.digest() == entry["mark"]
            self.deltas[entry["version"]] = (base_digest, msgspec.msgpack.encode(entry["delta"]))
            self._trim(self.deltas, DELTAS_KEPT)
        else:
            self.config, self.deltas = Configuration.read(bytes(entry["document"])), {}
            tenants = list(previous.document.tenants)
        self.isolation.record(previous.document, self.config.document, tenants)
        self.stored.version = entry["version"]

    def _claim(self, max_claims, key, run, digest, op):
        stored = self.stored
        held = stored.claims.get(key)
        if op == CLAIM:
            if stored.freed.get(key, ("",))[0] == run:
                return WITHDRAWN
            if held and held[0] != run:
                return held[2] if held[1] == digest else "other body"
            if not held and len(stored.claims) >= max_claims:
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

    def _expire(self, table, keep_ms):
        """Remove the rows of a table that are older than `keep_ms`; a table is ordered by time."""
        while table:
            key = next(iter(table))
            if self.stored.elapsedMs - table[key][-1] <= keep_ms:
                return
            del table[key]

    @staticmethod
    def _trim(table, limit):
        while len(table) > limit:
            del table[next(iter(table))]
