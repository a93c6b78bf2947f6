"""A configuration in force: its checked entries, with a digest that each change carries on."""

import hashlib

import msgspec

from swiftdeck.config.document import (
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

KINDS = {
    "models": Model,
    "tenants": Tenant,
    "routes": Route,
    "services": Service,
    "paths": Path,
    "limits": Limits,
    "edition": Edition,
}
BYTES_MOST = 16 << 20


def _mark(table, name, entry):
    """What one entry adds to the digest, and its size."""
    data = msgspec.json.encode(entry, order="sorted")
    return int.from_bytes(
        hashlib.blake2b(f"{table}/{name}/".encode() + data, digest_size=16).digest(), "big"
    ), len(data) + len(name) + 4


def _changes(held, part):
    """The entries that a table's part of a change touches.

    The part is a map of entries, none for a table that goes, or a pair of entries and an order.
    """
    return dict.fromkeys(held) if part is None else part if isinstance(part, dict) else part[0]


def _difference(held, part):
    """The part of a change that makes a table another one.

    It holds the entries that differ, with the names in order where that differs too.
    """
    changes = {name: None for name in held if name not in part} | {
        name: entry for name, entry in part.items() if name not in held or held[name] != entry
    }
    order = [*(name for name in held if name in part), *(name for name in part if name not in held)]
    return changes if order == list(part) else (changes, list(part))


class Configuration:
    """Never changed in place: a change gives the next one, and costs what it touches."""

    __slots__ = ("raws", "document", "mark", "size", "_bytes", "_next")

    def __init__(self, raws, document, mark=0, size=0):
        self.raws, self.document, self.mark, self.size, self._bytes, self._next = (
            raws,
            document,
            mark,
            size,
            None,
            (None, None),
        )

    @classmethod
    def empty(cls):
        """Nothing yet."""
        return cls({}, Document())

    @classmethod
    def read(cls, data: bytes):
        """A whole one from its text, or a fault."""
        try:
            raws = msgspec.json.decode(data or b"{}")
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return INVALID_CONFIG.with_reason(f"$: {error}")
        empty = cls.empty()
        delta = empty.put(raws)
        return delta if is_fault(delta) else empty.apply(delta)

    def bytes(self) -> bytes:
        """The whole text."""
        if self._bytes is None:
            self._bytes = msgspec.json.encode(self.raws)
        return self._bytes

    def digest(self) -> bytes:
        """Equal only where all entries are."""
        return self.mark.to_bytes(16, "big")

    def patch(self, asked: dict):
        """The entries that a JSON merge patch changes, as they will be, or a fault."""
        return self._checked(
            {
                table: part
                if not isinstance(part, dict)
                else {
                    name: merge(self.raws.get(table, {}).get(name), entry)
                    for name, entry in part.items()
                }
                for table, part in asked.items()
            }
        )

    def put(self, whole):
        """The entries in which a whole document differs, or a fault."""
        if not isinstance(whole, dict):
            return INVALID_CONFIG.with_reason("$: expected an object")
        delta = {table: None for table in self.raws if table not in whole}
        for table, part in whole.items():
            if not isinstance(part, dict):
                delta[table] = part if part is not None else False
                continue
            held = self.raws.get(table, {})
            fresh = {
                name: entry
                for name, entry in part.items()
                if name not in held or held[name] != entry
            }
            gone = {name: None for name in held if name not in part}
            if fresh or gone or table not in self.raws:
                delta[table] = gone | fresh
            if None in fresh.values():
                return INVALID_CONFIG.with_reason(f"$.{table}: an entry is null")
        return self._checked(delta)

    def replace(self, tables: dict, ensure: dict):
        """The entries in which whole tables differ, and those to be there that aren't, or a fault.

        Other tables stay.
        """
        wrong = next(
            (
                table
                for table, part in tables.items()
                if not isinstance(part, dict) or None in part.values()
            ),
            None,
        )
        if wrong is not None:
            return INVALID_CONFIG.with_reason(f"$.{wrong}: expected an object of entries")
        wholes = {
            table: part | self._missing(ensure.get(table, {}), part)
            for table, part in tables.items()
        }
        return self._checked(
            self._added(ensure, tables)
            | {
                table: delta
                for table, part in wholes.items()
                if (delta := _difference(self.raws.get(table, {}), part))
            }
        )

    def items(self, tables: dict, ensure: dict):
        """The entries put or removed whole, and those to be there that aren't, or a fault."""
        wrong = next((table for table, part in tables.items() if not isinstance(part, dict)), None)
        if wrong is not None:
            return INVALID_CONFIG.with_reason(f"$.{wrong}: expected an object")
        delta = self._added(ensure, {})
        for table, part in tables.items():
            held = self.raws.get(table, {})
            delta[table] = delta.get(table, {}) | {
                name: entry for name, entry in part.items() if entry != held.get(name)
            }
        return self._checked({table: part for table, part in delta.items() if part})

    def _added(self, ensure, but):
        return {
            table: missing
            for table, part in ensure.items()
            if table not in but and (missing := self._missing(part, self.raws.get(table, {})))
        }

    @staticmethod
    def _missing(part, held):
        return {name: entry for name, entry in part.items() if name not in held}

    def _checked(self, delta):
        for table, part in delta.items():
            if table not in KINDS:
                return INVALID_CONFIG.with_reason(f"$: unknown table `{table}`")
            if part is not None and not isinstance(part, (dict, tuple)):
                return INVALID_CONFIG.with_reason(f"$.{table}: expected an object")
            for name, entry in _changes({}, part).items():
                try:
                    msgspec.convert(name, Name)
                    if entry is not None:
                        msgspec.convert(entry, KINDS[table])
                except msgspec.ValidationError as error:
                    return INVALID_CONFIG.with_reason(told(error, f"$.{table}.{name}"))
        fresh = self.apply(delta)
        if fresh.size > BYTES_MOST:
            return INVALID_CONFIG.with_reason(f"$: configuration is over {BYTES_MOST} bytes")
        first = next(fresh.document.dangling(), None)
        self._next = (delta, fresh)
        return delta if first is None else INVALID_CONFIG.with_reason(first)

    def apply(self, delta: dict) -> "Configuration":
        """The configuration after a checked change; an entry of None is removed."""
        if delta is self._next[0]:
            return self._next[1]
        raws, typed, mark, size = dict(self.raws), {}, self.mark, self.size
        for table, part in delta.items():
            held = raws.get(table, {})
            changes = _changes(held, part)
            kept, shown = dict(held), dict(getattr(self.document, table))
            for name, entry in changes.items():
                if name in kept:
                    old_mark, old_size = _mark(table, name, kept[name])
                    mark, size = mark - old_mark, size - old_size
                if entry is None:
                    kept.pop(name, None)
                    shown.pop(name, None)
                else:
                    kept[name], shown[name] = entry, msgspec.convert(entry, KINDS[table])
                    new_mark, new_size = _mark(table, name, entry)
                    mark, size = mark + new_mark, size + new_size
            if isinstance(part, (list, tuple)):
                kept = {name: kept[name] for name in part[1]}
            raws[table], typed[table] = kept, shown
            if part is None:
                del raws[table]
        old = self.document
        document = Document(**{table: typed.get(table, getattr(old, table)) for table in KINDS})
        return Configuration(raws, document, mark % (1 << 128), size)
