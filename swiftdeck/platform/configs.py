"""The operator's configuration, between the platform's form and the tables of ours."""

import hashlib
from typing import Annotated, Literal

import msgspec

from swiftdeck.config.document import (
    EDITION,
    LIMITS,
    Backing,
    Limits,
    Name,
    Path,
    Service,
    Tenant,
    key_digest,
    told,
)
from swiftdeck.fault import INVALID_CONFIG, is_fault

TABLES = {"routes": "paths", "backends": "services", "customers": "tenants"}
VERSION, PUT_ITEMS, REMOVE_NAMES = "version", "put-items", "remove-names"
FIELDS, LISTS = "fields", "lists"
FIRST_WEIGHTS = "1"

Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
Above = Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Text = Annotated[str, msgspec.Meta(min_length=1)]


class Share(msgspec.Struct):
    """A part of a route's requests."""

    backend: Name
    share: Amount


class RouteItem(msgspec.Struct, rename="kebab"):
    """One of the operator's routes."""

    name: Name
    hostname: Text
    path_start: Annotated[str, msgspec.Meta(pattern=r"^/")]
    route_type: Literal["safe", "unsafe", "streaming"]
    timeout_ms: Above
    target_ms: Count = 0
    urgency: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    backend: Name | None = None
    traffic_split: Annotated[list[Share], msgspec.Meta(min_length=1)] | None = None
    tries: Above = 1
    public: bool = False
    pinned: bool = False
    resumable: bool = False
    gap_target_ms: Count | None = None

    def entry(self, item):
        """The path of ours."""
        parts = self.traffic_split or [Share(self.backend, 1)]
        streaming = self.route_type == "streaming"
        return Path(
            host=self.hostname.lower(),
            prefix=self.path_start,
            services=[Backing(part.backend, part.share) for part in parts],
            timeout_ms=self.timeout_ms,
            target_ms=self.target_ms,
            urgency=self.urgency,
            tries=self.tries,
            public=self.public,
            streaming=streaming,
            repeatable=self.route_type == "safe" or streaming and self.resumable,
            resumable=self.resumable,
            gap_ms=self.gap_target_ms or 0,
            told=item,
        )


class ModelItem(msgspec.Struct):
    """A model that the workers of a service run."""

    name: Name


class Engine(msgspec.Struct, rename="kebab"):
    """How the workers of a service run models."""

    capacity: Count = 0
    cache_tokens: Count = 0
    token_bytes: Count = 0
    network_mbps: Amount = 0
    max_in_flight: Count = 0
    models: list[ModelItem] = []


class BackendItem(msgspec.Struct, rename="kebab"):
    """One of the operator's services, or a store of prefixes."""

    name: Name
    health_path: str = ""
    max_conns: Count = 0
    engine: Engine | None = None
    cache_store: str = ""
    zone: str = ""
    cache_tokens: Count = 0
    token_bytes: Count = 0
    network_mbps: Amount = 0
    max_in_flight: Count = 0

    def entry(self, item):
        """The service of ours."""
        engine = self.engine or Engine()
        return Service(
            models=self.models(),
            health_path=self.health_path,
            connections_most=self.max_conns,
            slots=engine.capacity,
            cache_tokens=engine.cache_tokens or self.cache_tokens,
            token_bytes=engine.token_bytes or self.token_bytes,
            network_mbps=engine.network_mbps or self.network_mbps,
            followers_most=engine.max_in_flight or self.max_in_flight,
            store_addr=self.cache_store,
            zone=self.zone,
            told=item,
        )

    def models(self):
        """The names of its models."""
        return [model.name for model in self.engine.models] if self.engine else []


class CustomerItem(msgspec.Struct, rename="kebab"):
    """One of the operator's tenants."""

    name: Name
    api_keys: list[Text]
    urgency: Annotated[int, msgspec.Meta(ge=0, le=9)] | None = None
    isolated: bool = False

    def entry(self, item):
        """The tenant of ours."""
        return Tenant(
            keys=[key_digest(key) for key in self.api_keys],
            apart=self.isolated,
            urgency=self.urgency,
            told=item,
        )


class LimitsItem(msgspec.Struct, rename="kebab"):
    """What a client may send, and how slowly."""

    max_header_bytes: Count = Limits().head_bytes
    max_body_bytes: Count = Limits().body_bytes
    header_wait_ms: Count = Limits().head_wait_ms
    idle_ms: Count = Limits().idle_ms

    def entry(self, item):
        """The limits of ours."""
        return Limits(
            head_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            head_wait_ms=self.header_wait_ms,
            idle_ms=self.idle_ms,
            told=item,
        )


class Whole(msgspec.Struct):
    """A whole configuration of the operator."""

    version: Above
    routes: list[RouteItem]
    backends: list[BackendItem]
    limits: LimitsItem | None = None
    customers: list[CustomerItem] | None = None


class Items(msgspec.Struct, rename="kebab"):
    """The items that a change puts, by list."""

    routes: list[RouteItem] = []
    backends: list[BackendItem] = []
    limits: LimitsItem | None = None
    customers: list[CustomerItem] | None = None


class Changes(msgspec.Struct, rename="kebab"):
    """A change of named items."""

    version: Above
    put_items: Items = msgspec.field(default_factory=Items)
    remove_names: dict[str, list[Name]] = {}


class Weights(msgspec.Struct):
    """New weights of a model."""

    model: Name
    version: Above


def _read(body, form):
    """A body in its form and as it was sent, or a fault with the path to the field."""
    try:
        read = msgspec.json.decode(body, type=form)
        raw = msgspec.json.decode(body)
        msgspec.msgpack.encode(raw)
        return read, raw
    except msgspec.ValidationError as error:
        return INVALID_CONFIG.with_reason(told(error, "$"))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        return INVALID_CONFIG.with_reason(f"$: {error}")


def _entries(path, read, raw):
    """The entries of a list by name, or a fault."""
    entries = {}
    for at, (item, as_sent) in enumerate(zip(read or [], raw or [], strict=True)):
        if item.name in entries:
            return INVALID_CONFIG.with_reason(f"{path}[{at}].name: `{item.name}` is there twice")
        if isinstance(item, RouteItem) and item.backend is None and item.traffic_split is None:
            return INVALID_CONFIG.with_reason(
                f"{path}[{at}]: neither `backend` nor `traffic-split`"
            )
        entries[item.name] = msgspec.to_builtins(item.entry(as_sent))
    return entries


def _tables(path, read, raw):
    """The entries of each list of ours that is there, or a fault."""
    tables = {
        TABLES[name]: _entries(f"{path}.{name}", getattr(read, name), raw[name])
        for name in TABLES
        if raw.get(name) is not None
    }
    fault = next(filter(is_fault, tables.values()), None)
    if fault is not None:
        return fault
    return tables | (
        {"limits": {LIMITS: msgspec.to_builtins(read.limits.entry(raw["limits"]))}}
        if read.limits
        else {}
    )


def _models(read):
    """The models to be there, with the weights that they begin with."""
    return {
        "models": {
            name: {"weights": FIRST_WEIGHTS} for item in read.backends for name in item.models()
        }
    }


def _named(items):
    """The items of a list that isn't ours by name, or none where it isn't one of named items."""
    is_named = isinstance(items, list) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in items
    )
    named = {item["name"]: [item] for item in items} if is_named else {}
    return named if is_named and len(named) == len(items) else None


def _others(raw):
    """What else a whole configuration tells: lists of named items, and any other field."""
    others = {
        name: value for name, value in raw.items() if name not in (*TABLES, VERSION, "limits")
    }
    lists = {name: named for name, value in others.items() if (named := _named(value)) is not None}
    return {
        LISTS: lists,
        FIELDS: {name: value for name, value in others.items() if name not in lists},
    }


def _change(op, kind, body, base, **fields):
    digest = hashlib.sha256(msgspec.json.encode([kind, base, body], order="sorted")).hexdigest()
    return f"{kind}-{digest}", {"t": "config", "op": op, "author": kind, **fields}


def whole(body: bytes, base: int):
    """The change id and the change for a whole configuration on top of a number, or a fault."""
    got = _read(body, Whole)
    if is_fault(got):
        return got
    read, raw = got
    tables = _tables("$", read, raw)
    if is_fault(tables):
        return tables
    edition = {"number": read.version, "keyed": read.customers is not None, "told": _others(raw)}
    document = (
        {"paths": {}, "services": {}, "tenants": {}, "limits": {}}
        | tables
        | {"edition": {EDITION: edition}}
    )
    return _change(
        "replace",
        "put",
        raw,
        base,
        document=document,
        ensure=_models(read),
        edition=read.version,
        onEdition=base,
    )


def items(body: bytes, base: int):
    """The change id and the change for a change of named items on top of a number, or a fault."""
    got = _read(body, Changes)
    if is_fault(got):
        return got
    read, raw = got
    put, gone = raw.get(PUT_ITEMS, {}), read.remove_names
    tables = _tables(f"$.{PUT_ITEMS}", read.put_items, put)
    if is_fault(tables):
        return tables
    lists = {name: _named(part) for name, part in put.items() if name not in (*TABLES, "limits")}
    wrong = next((name for name, named in lists.items() if named is None), None)
    if wrong is not None:
        return INVALID_CONFIG.with_reason(
            f"$.{PUT_ITEMS}.{wrong}: expected a list of items with names"
        )
    removed = {table: dict.fromkeys(gone.get(name, [])) for name, table in TABLES.items()}
    document = {
        table: entries
        for table in {**removed, **tables}
        if (entries := removed.get(table, {}) | tables.get(table, {}))
    }
    lists = {
        name: dict.fromkeys(gone.get(name, [])) | lists.get(name, {})
        for name in {**lists, **gone}
        if name not in TABLES
    }
    edition = ({"keyed": True} if read.put_items.customers is not None else {}) | (
        {"told": {LISTS: lists}} if lists else {}
    )
    return _change(
        "items",
        "patch",
        raw,
        base,
        document=document | ({"edition": {EDITION: edition}} if edition else {}),
        ensure=_models(read.put_items),
        edition=read.version,
        onEdition=base,
    )


def weights(body: bytes):
    """The change id and the change for new weights of a model, or a fault."""
    got = _read(body, Weights)
    if is_fault(got):
        return got
    read, _ = got
    return _change(
        "raise", "weights", [read.model, read.version], 0, model=read.model, weights=read.version
    )


def shown(document: dict) -> dict:
    """The operator's configuration as it stands in a document of ours."""
    edition = document.get("edition", {}).get(EDITION, {})
    others, limits = edition.get("told", {}), document.get("limits", {}).get(LIMITS)
    lists = {
        name: [entry["told"] for entry in document.get(table, {}).values() if entry.get("told")]
        for name, table in TABLES.items()
    }
    return (
        {VERSION: edition.get("number", 0)}
        | (
            lists
            if edition.get("keyed")
            else {name: lists[name] for name in lists if name != "customers"}
        )
        | ({"limits": limits["told"]} if limits else {})
        | {
            name: [item for (item,) in named.values()]
            for name, named in others.get(LISTS, {}).items()
        }
        | others.get(FIELDS, {})
    )
