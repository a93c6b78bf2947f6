"""An immutable, validated configuration with a digest that is updated with each change."""

import hashlib

import msgspec

from swiftdeck.config.document import (
    CORES,
    Document,
    Edition,
    Limits,
    Model,
    Name,
    Path,
    Route,
    Service,
    Tenant,
    merge,
    told,
)
from swiftdeck.fault import INVALID_CONFIG, is_fault

ENTRY_TYPES = {
    "models": Model,
    "tenants": Tenant,
    "routes": Route,
    "services": Service,
    "paths": Path,
    "limits": Limits,
    "edition": Edition,
}
MAX_CONFIG_BYTES = 16 << 20


def _entry_digest(table, name, entry):
    """Return an entry's summand of the configuration digest and its size in bytes.

    The size counts the encoded entry, its name and 4 bytes of JSON punctuation.
    """
    data = msgspec.json.encode(entry, order="sorted")
    return int.from_bytes(
        hashlib.blake2b(f"{table}/{name}/".encode() + data, digest_size=16).digest(), "big"
    ), len(data) + len(name) + 4


def entry_changes(entries, table_change):
    """Return the entries that a change to one table touches, by name; None removes an entry.

    The change is a dictionary of entries, None when the whole table is removed, or a pair of
    changed entries and the names of all entries in their new order.
    """
    return (
        dict.fromkeys(entries)
        if table_change is None
        else table_change
        if isinstance(table_change, dict)
        else table_change[0]
    )


def _table_change(entries, new_entries):
    """Return the change that turns the entries of a table into the new entries.

    It holds the entries that differ. Where applying them would leave another order of entries than
    the new one, it is a pair of these entries and the names in their new order.
    """
    changes = {name: None for name in entries if name not in new_entries} | {
        name: entry
        for name, entry in new_entries.items()
        if name not in entries or entries[name] != entry
    }
    order = [
        *(name for name in entries if name in new_entries),
        *(name for name in new_entries if name not in entries),
    ]
    return changes if order == list(new_entries) else (changes, list(new_entries))


class Configuration:
    """The configuration of the fleet: raw tables as stored, and the typed document made of them.

    An instance is never changed in place. Applying a change returns a new instance and hashes and
    converts only the entries that the change touches. `digest_sum` is the sum of the digests of all
    entries, modulo 2**128; `size` is the approximate encoded size in bytes.
    """

    __slots__ = (
        "raws",
        "document",
        "digest_sum",
        "size",
        "_bytes",
        "_operators_bytes",
        "_next",
    )

    def __init__(self, raws, document, digest_sum=0, size=0):
        self.raws, self.document, self.digest_sum, self.size = raws, document, digest_sum, size
        self._bytes, self._operators_bytes, self._next = None, None, (None, None)

    @classmethod
    def empty(cls):
        """Return a configuration without entries."""
        return cls({}, Document())

    @classmethod
    def read(cls, data: bytes):
        """Parse and check a whole configuration from JSON; return a fault if it is invalid."""
        try:
            raws = msgspec.json.decode(data or b"{}")
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return INVALID_CONFIG.with_reason(f"$: {error}")
        base = cls.empty()
        delta = base.put(raws)
        return delta if is_fault(delta) else base.apply(delta)

    def bytes(self) -> bytes:
        """Return the whole configuration as JSON."""
        if self._bytes is None:
            self._bytes = msgspec.json.encode(self.raws)
        return self._bytes

    def operators_bytes(self) -> bytes:
        """Return the configuration as JSON as operators sent it, without the entry of the cores."""
        if self._operators_bytes is None:
            self._operators_bytes = self._encode_without_cores()
        return self._operators_bytes

    def _encode_without_cores(self) -> bytes:
        edition = self.raws.get("edition", {})
        if CORES not in edition:
            return self.bytes()
        own_entries = {name: entry for name, entry in edition.items() if name != CORES}
        tables = {name: entries for name, entries in self.raws.items() if name != "edition"}
        return msgspec.json.encode(tables | ({"edition": own_entries} if own_entries else {}))

    def digest(self) -> bytes:
        """Return a 16-byte digest that is equal only where all entries are equal."""
        return self.digest_sum.to_bytes(16, "big")

    def patch(self, merge_patch: dict):
        """Return the entries that a JSON merge patch touches, as merged, or a fault."""
        return self._check(
            {
                table: table_patch
                if not isinstance(table_patch, dict)
                else {
                    name: merge(self.raws.get(table, {}).get(name), entry)
                    for name, entry in table_patch.items()
                }
                for table, table_patch in merge_patch.items()
            }
        )

    def put(self, new_document):
        """Return the entries in which a whole new document differs, or a fault."""
        if not isinstance(new_document, dict):
            return INVALID_CONFIG.with_reason("$: expected an object")
        delta = {table: None for table in self.raws if table not in new_document}
        for table, new_entries in new_document.items():
            if not isinstance(new_entries, dict):
                delta[table] = new_entries if new_entries is not None else False
                continue
            entries = self.raws.get(table, {})
            changed = {
                name: entry
                for name, entry in new_entries.items()
                if name not in entries or entries[name] != entry
            }
            removed = {name: None for name in entries if name not in new_entries}
            if changed or removed or table not in self.raws:
                delta[table] = removed | changed
            if None in changed.values():
                return INVALID_CONFIG.with_reason(f"$.{table}: an entry is null")
        return self._check(delta)

    def replace(self, tables: dict, ensure: dict):
        """Return the change that replaces whole tables, or a fault.

        Entries of `ensure` that are missing are added as well. Other tables stay as they are.
        """
        invalid_table = next(
            (
                table
                for table, new_entries in tables.items()
                if not isinstance(new_entries, dict) or None in new_entries.values()
            ),
            None,
        )
        if invalid_table is not None:
            return INVALID_CONFIG.with_reason(f"$.{invalid_table}: expected an object of entries")
        new_tables = {
            table: new_entries | self._absent(ensure.get(table, {}), new_entries)
            for table, new_entries in tables.items()
        }
        return self._check(
            self._missing_entries(ensure, tables)
            | {
                table: delta
                for table, new_entries in new_tables.items()
                if (delta := _table_change(self.raws.get(table, {}), new_entries))
            }
        )

    def items(self, tables: dict, ensure: dict):
        """Return the change that puts whole entries, or removes those given as None, or a fault.

        Entries of `ensure` that are missing are added as well.
        """
        invalid_table = next(
            (
                table
                for table, entry_changes in tables.items()
                if not isinstance(entry_changes, dict)
            ),
            None,
        )
        if invalid_table is not None:
            return INVALID_CONFIG.with_reason(f"$.{invalid_table}: expected an object")
        delta = self._missing_entries(ensure, {})
        for table, entry_changes in tables.items():
            entries = self.raws.get(table, {})
            delta[table] = delta.get(table, {}) | {
                name: entry for name, entry in entry_changes.items() if entry != entries.get(name)
            }
        return self._check(
            {table: entry_changes for table, entry_changes in delta.items() if entry_changes}
        )

    def changed_names(self, delta: dict, table: str) -> list[str]:
        """Return the names of the entries of a table that a checked change touches."""
        return list(entry_changes(self.raws.get(table, {}), delta.get(table, {})))

    def with_entry(self, delta: dict, table: str, name: str, entry: dict) -> dict:
        """Return a checked change that puts one more valid entry."""
        table_change = delta.get(table, {})
        put = entry_changes(self.raws.get(table, {}), table_change) | {name: entry}
        if not isinstance(table_change, (list, tuple)):
            return delta | {table: put}
        order = table_change[1]
        return delta | {table: (put, order if name in order else [*order, name])}

    def _missing_entries(self, ensure, excluded_tables):
        return {
            table: missing
            for table, required in ensure.items()
            if table not in excluded_tables
            and (missing := self._absent(required, self.raws.get(table, {})))
        }

    @staticmethod
    def _absent(required, entries):
        return {name: entry for name, entry in required.items() if name not in entries}

    def _check(self, delta):
        for table, table_change in delta.items():
            if table not in ENTRY_TYPES:
                return INVALID_CONFIG.with_reason(f"$: unknown table `{table}`")
            if table_change is not None and not isinstance(table_change, (dict, tuple)):
                return INVALID_CONFIG.with_reason(f"$.{table}: expected an object")
            for name, entry in entry_changes({}, table_change).items():
                try:
                    msgspec.convert(name, Name)
                    if entry is not None:
                        msgspec.convert(entry, ENTRY_TYPES[table])
                except msgspec.ValidationError as error:
                    return INVALID_CONFIG.with_reason(told(error, f"$.{table}.{name}"))
        candidate = self.apply(delta)
        if candidate.size > MAX_CONFIG_BYTES:
            return INVALID_CONFIG.with_reason(f"$: configuration is over {MAX_CONFIG_BYTES} bytes")
        conflict = next(candidate.document.conflicts(), None)
        self._next = (delta, candidate)
        return delta if conflict is None else INVALID_CONFIG.with_reason(conflict)

    def apply(self, delta: dict) -> "Configuration":
        """Return the configuration after a checked change; an entry of None is removed."""
        if delta is self._next[0]:
            return self._next[1]
        raws, typed_tables, digest_sum, size = dict(self.raws), {}, self.digest_sum, self.size
        for table, table_change in delta.items():
            entries = raws.get(table, {})
            changed_entries = entry_changes(entries, table_change)
            raw_entries, typed_entries = dict(entries), dict(getattr(self.document, table))
            for name, entry in changed_entries.items():
                if name in raw_entries:
                    old_digest, old_size = _entry_digest(table, name, raw_entries[name])
                    digest_sum, size = digest_sum - old_digest, size - old_size
                if entry is None:
                    raw_entries.pop(name, None)
                    typed_entries.pop(name, None)
                else:
                    raw_entries[name], typed_entries[name] = (
                        entry,
                        msgspec.convert(entry, ENTRY_TYPES[table]),
                    )
                    new_digest, new_size = _entry_digest(table, name, entry)
                    digest_sum, size = digest_sum + new_digest, size + new_size
            if isinstance(table_change, (list, tuple)):
                raw_entries = {name: raw_entries[name] for name in table_change[1]}
            raws[table], typed_tables[table] = raw_entries, typed_entries
            if table_change is None:
                del raws[table]
        old_document = self.document
        document = Document(
            **{
                table: typed_tables.get(table, getattr(old_document, table))
                for table in ENTRY_TYPES
            }
        )
        return Configuration(raws, document, digest_sum % (1 << 128), size)
