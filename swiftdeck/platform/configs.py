"""Converts the operator's configuration between the platform's form and the document's tables."""

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

TABLE_BY_LIST = {"routes": "paths", "backends": "services", "customers": "tenants"}
VERSION, PUT_ITEMS, REMOVE_NAMES = "version", "put-items", "remove-names"
FIELDS_KEY, LISTS_KEY = "fields", "lists"
FIRST_WEIGHTS_VERSION = "1"

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
NonEmptyString = Annotated[str, msgspec.Meta(min_length=1)]


class TrafficShare(msgspec.Struct):
    """The share of a route's requests that goes to a backend."""

    backend: Name
    share: NonNegativeFloat


class RouteItem(msgspec.Struct, rename="kebab"):
    """A route as the operator sends it."""

    name: Name
    hostname: NonEmptyString
    path_start: Annotated[str, msgspec.Meta(pattern=r"^/")]
    route_type: Literal["safe", "unsafe", "streaming"]
    timeout_ms: PositiveInt
    target_ms: NonNegativeInt = 0
    urgency: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    backend: Name | None = None
    traffic_split: Annotated[list[TrafficShare], msgspec.Meta(min_length=1)] | None = None
    tries: PositiveInt = 1
    public: bool = False
    pinned: bool = False
    resumable: bool = False
    gap_target_ms: NonNegativeInt | None = None

    def to_entry(self, raw_item):
        """Return the document's path; `raw_item` is the item as it was sent."""
        shares = self.traffic_split or [TrafficShare(self.backend, 1)]
        streaming = self.route_type == "streaming"
        return Path(
            host=self.hostname.lower(),
            prefix=self.path_start,
            services=[
                Backing(traffic_share.backend, traffic_share.share) for traffic_share in shares
            ],
            timeout_ms=self.timeout_ms,
            target_ms=self.target_ms,
            urgency=self.urgency,
            tries=self.tries,
            public=self.public,
            streaming=streaming,
            repeatable=self.route_type == "safe" or streaming and self.resumable,
            resumable=self.resumable,
            gap_ms=self.gap_target_ms or 0,
            told=raw_item,
        )


class ModelItem(msgspec.Struct):
    """A model that the workers of a backend run."""

    name: Name


class EngineFields(msgspec.Struct, rename="kebab"):
    """Capacity and models of a backend's workers."""

    capacity: NonNegativeInt = 0
    cache_tokens: NonNegativeInt = 0
    token_bytes: NonNegativeInt = 0
    network_mbps: NonNegativeFloat = 0
    max_in_flight: NonNegativeInt = 0
    models: list[ModelItem] = []


class BackendItem(msgspec.Struct, rename="kebab"):
    """A backend as the operator sends it: a group of workers or a store of prefixes."""

    name: Name
    health_path: str = ""
    max_conns: NonNegativeInt = 0
    engine: EngineFields | None = None
    cache_store: str = ""
    zone: str = ""
    cache_tokens: NonNegativeInt = 0
    token_bytes: NonNegativeInt = 0
    network_mbps: NonNegativeFloat = 0
    max_in_flight: NonNegativeInt = 0

    def to_entry(self, raw_item):
        """Return the document's service; `raw_item` is the item as it was sent."""
        engine = self.engine or EngineFields()
        return Service(
            models=self.model_names(),
            health_path=self.health_path,
            connections_most=self.max_conns,
            slots=engine.capacity,
            cache_tokens=engine.cache_tokens or self.cache_tokens,
            token_bytes=engine.token_bytes or self.token_bytes,
            network_mbps=engine.network_mbps or self.network_mbps,
            followers_most=engine.max_in_flight or self.max_in_flight,
            store_addr=self.cache_store,
            zone=self.zone,
            told=raw_item,
        )

    def model_names(self):
        """Return the names of the models that its workers run."""
        return [model.name for model in self.engine.models] if self.engine else []


class CustomerItem(msgspec.Struct, rename="kebab"):
    """A customer as the operator sends it."""

    name: Name
    api_keys: list[NonEmptyString]
    urgency: Annotated[int, msgspec.Meta(ge=0, le=9)] | None = None
    isolated: bool = False

    def to_entry(self, raw_item):
        """Return the document's tenant; `raw_item` is the item as it was sent."""
        return Tenant(
            keys=[key_digest(key) for key in self.api_keys],
            apart=self.isolated,
            urgency=self.urgency,
            told=raw_item,
        )


class LimitsItem(msgspec.Struct, rename="kebab"):
    """Limits on the size and the duration of client requests."""

    max_header_bytes: NonNegativeInt = Limits().head_bytes
    max_body_bytes: NonNegativeInt = Limits().body_bytes
    header_wait_ms: NonNegativeInt = Limits().head_wait_ms
    idle_ms: NonNegativeInt = Limits().idle_ms

    def to_entry(self, raw_item):
        """Return the document's limits; `raw_item` is the item as it was sent."""
        return Limits(
            head_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            head_wait_ms=self.header_wait_ms,
            idle_ms=self.idle_ms,
            told=raw_item,
        )


class WholeConfig(msgspec.Struct):
    """A whole configuration as the operator sends it."""

    version: PositiveInt
    routes: list[RouteItem]
    backends: list[BackendItem]
    limits: LimitsItem | None = None
    customers: list[CustomerItem] | None = None


class ItemsToPut(msgspec.Struct, rename="kebab"):
    """The items that a change adds or replaces, by list."""

    routes: list[RouteItem] = []
    backends: list[BackendItem] = []
    limits: LimitsItem | None = None
    customers: list[CustomerItem] | None = None


class ItemChanges(msgspec.Struct, rename="kebab"):
    """A change that puts and removes named items."""

    version: PositiveInt
    put_items: ItemsToPut = msgspec.field(default_factory=ItemsToPut)
    remove_names: dict[str, list[Name]] = {}


class WeightsChange(msgspec.Struct):
    """A change of the weights version of a model."""

    model: Name
    version: PositiveInt


def _decode(body, struct_type):
    """Return a body as `struct_type` and as plain objects, or a fault with the JSON path."""
    try:
        decoded = msgspec.json.decode(body, type=struct_type)
        raw = msgspec.json.decode(body)
        msgspec.msgpack.encode(raw)
        return decoded, raw
    except msgspec.ValidationError as error:
        return INVALID_CONFIG.with_reason(told(error, "$"))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        return INVALID_CONFIG.with_reason(f"$: {error}")


def _entries_by_name(path, items, raw_items):
    """Return the document entries of a list of items by name, or a fault."""
    entries = {}
    for index, (item, raw_item) in enumerate(zip(items or [], raw_items or [], strict=True)):
        if item.name in entries:
            return INVALID_CONFIG.with_reason(f"{path}[{index}].name: `{item.name}` is there twice")
        if isinstance(item, RouteItem) and item.backend is None and item.traffic_split is None:
            return INVALID_CONFIG.with_reason(
                f"{path}[{index}]: neither `backend` nor `traffic-split`"
            )
        entries[item.name] = msgspec.to_builtins(item.to_entry(raw_item))
    return entries


def _entries_by_table(path, decoded, raw):
    """Return the document entries of each list that is present, by table, or a fault."""
    tables = {
        TABLE_BY_LIST[name]: _entries_by_name(f"{path}.{name}", getattr(decoded, name), raw[name])
        for name in TABLE_BY_LIST
        if raw.get(name) is not None
    }
    fault = next(filter(is_fault, tables.values()), None)
    if fault is not None:
        return fault
    return tables | (
        {"limits": {LIMITS: msgspec.to_builtins(decoded.limits.to_entry(raw["limits"]))}}
        if decoded.limits
        else {}
    )


def _initial_models(config):
    """Return entries, with their first weights, for the models that must exist."""
    return {
        "models": {
            name: {"weights": FIRST_WEIGHTS_VERSION}
            for backend in config.backends
            for name in backend.model_names()
        }
    }


def _items_by_name(items):
    """Return the items of an unknown list by name, or None unless all have unique names."""
    has_names = isinstance(items, list) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in items
    )
    items_by_name = {item["name"]: [item] for item in items} if has_names else {}
    return items_by_name if has_names and len(items_by_name) == len(items) else None


def _unknown_fields(raw):
    """Return the unknown fields of a configuration: lists of named items, and the rest."""
    unknown = {
        name: value
        for name, value in raw.items()
        if name not in (*TABLE_BY_LIST, VERSION, "limits")
    }
    lists = {
        name: items_by_name
        for name, value in unknown.items()
        if (items_by_name := _items_by_name(value)) is not None
    }
    return {
        LISTS_KEY: lists,
        FIELDS_KEY: {name: value for name, value in unknown.items() if name not in lists},
    }


def _make_change(op, kind, body, base, **fields):
    digest = hashlib.sha256(msgspec.json.encode([kind, base, body], order="sorted")).hexdigest()
    return f"{kind}-{digest}", {"t": "config", "op": op, "author": kind, **fields}


def parse_whole(body: bytes, base: int):
    """Return the change id and the change for a whole configuration, or a fault.

    `base` is the number of the configuration that it replaces.
    """
    decoded = _decode(body, WholeConfig)
    if is_fault(decoded):
        return decoded
    config, raw = decoded
    tables = _entries_by_table("$", config, raw)
    if is_fault(tables):
        return tables
    edition = {
        "number": config.version,
        "keyed": config.customers is not None,
        "told": _unknown_fields(raw),
    }
    document = (
        {"paths": {}, "services": {}, "tenants": {}, "limits": {}}
        | tables
        | {"edition": {EDITION: edition}}
    )
    return _make_change(
        "replace",
        "put",
        raw,
        base,
        document=document,
        ensure=_initial_models(config),
        edition=config.version,
        onEdition=base,
    )


def parse_items(body: bytes, base: int):
    """Return the change id and the change for a change of named items, or a fault.

    `base` is the number of the configuration that the change builds on.
    """
    decoded = _decode(body, ItemChanges)
    if is_fault(decoded):
        return decoded
    changes, raw = decoded
    put, remove_names = raw.get(PUT_ITEMS, {}), changes.remove_names
    tables = _entries_by_table(f"$.{PUT_ITEMS}", changes.put_items, put)
    if is_fault(tables):
        return tables
    lists = {
        name: _items_by_name(value)
        for name, value in put.items()
        if name not in (*TABLE_BY_LIST, "limits")
    }
    invalid_list = next(
        (name for name, items_by_name in lists.items() if items_by_name is None), None
    )
    if invalid_list is not None:
        return INVALID_CONFIG.with_reason(
            f"$.{PUT_ITEMS}.{invalid_list}: expected a list of items with names"
        )
    removed = {
        table: dict.fromkeys(remove_names.get(name, [])) for name, table in TABLE_BY_LIST.items()
    }
    document = {
        table: entries
        for table in {**removed, **tables}
        if (entries := removed.get(table, {}) | tables.get(table, {}))
    }
    lists = {
        name: dict.fromkeys(remove_names.get(name, [])) | lists.get(name, {})
        for name in {**lists, **remove_names}
        if name not in TABLE_BY_LIST
    }
    edition = ({"keyed": True} if changes.put_items.customers is not None else {}) | (
        {"told": {LISTS_KEY: lists}} if lists else {}
    )
    return _make_change(
        "items",
        "patch",
        raw,
        base,
        document=document | ({"edition": {EDITION: edition}} if edition else {}),
        ensure=_initial_models(changes.put_items),
        edition=changes.version,
        onEdition=base,
    )


def parse_weights(body: bytes):
    """Return the change id and the change for new weights of a model, or a fault."""
    decoded = _decode(body, WeightsChange)
    if is_fault(decoded):
        return decoded
    change, _ = decoded
    return _make_change(
        "raise",
        "weights",
        [change.model, change.version],
        0,
        model=change.model,
        weights=change.version,
    )


def shown(document: dict) -> dict:
    """Return the operator's configuration that a document holds, in the platform's form."""
    edition = document.get("edition", {}).get(EDITION, {})
    unknown, limits = edition.get("told", {}), document.get("limits", {}).get(LIMITS)
    lists = {
        name: [entry["told"] for entry in document.get(table, {}).values() if entry.get("told")]
        for name, table in TABLE_BY_LIST.items()
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
            name: [item for (item,) in items_by_name.values()]
            for name, items_by_name in unknown.get(LISTS_KEY, {}).items()
        }
        | unknown.get(FIELDS_KEY, {})
    )
