"""The configuration that operators put: checked whole, merged by patches."""

import hashlib
import re
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}\Z")]
Count = Annotated[int, msgspec.Meta(ge=1, le=100000)]
Ms = Annotated[int, msgspec.Meta(ge=0, le=3600000)]
Amount = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
Part = Annotated[float, msgspec.Meta(ge=0)]
EDITION, LIMITS = "operator", "callers"


class Model(msgspec.Struct, forbid_unknown_fields=True, rename=None):
    """What is said of the workers of one model."""

    weights: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    cap: Count = 16
    idleMs: Ms = 7500
    pauseMs: Ms = 3100
    lineMax: Count = 64
    adapts: bool = False
    capLeast: Count = 4
    fetchMs: Ms = 1500
    fetches: bool = True
    fetchLeast: Annotated[int, msgspec.Meta(ge=0)] = 8192


class Tenant(msgspec.Struct, forbid_unknown_fields=True):
    """Who may call, by digests of keys, whether its prefixes are kept apart, and its rank.

    Rank 0 is the highest.
    """

    keys: list[Annotated[str, msgspec.Meta(pattern=r"^sha256:[0-9a-f]{64}$")]] = []
    apart: bool = False
    urgency: int | None = None
    told: dict = {}


class Route(msgspec.Struct, forbid_unknown_fields=True):
    """Which calls go to which model, and how they may be tried."""

    model: Name
    repeatable: bool = False
    single: bool = False
    tenants: list[Name] = []
    waitMs: Ms = 10000
    horizonMs: Annotated[int, msgspec.Meta(ge=100, le=3600000)] = 120000
    firstPieceMs: Annotated[int, msgspec.Meta(ge=100, le=3600000)] = 30000
    pieceMs: Annotated[int, msgspec.Meta(ge=100, le=3600000)] = 15000


class Service(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """Workers that are alike, or a store of prefixes at an address."""

    models: list[Name] = []
    health_path: str = ""
    connections_most: Amount = 0
    slots: Amount = 0
    cache_tokens: Amount = 0
    token_bytes: Amount = 0
    network_mbps: Part = 0
    followers_most: Amount = 0
    store_addr: str = ""
    zone: str = ""
    told: dict = {}


class Backing(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """A service's part of a split."""

    service: Name
    share: Part


class Path(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """A route by host and path prefix."""

    host: str
    prefix: str
    services: Annotated[list[Backing], msgspec.Meta(min_length=1)]
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)]
    target_ms: Amount = 0
    urgency: int = 5
    tries: Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)] = 1
    public: bool = False
    streaming: bool = False
    repeatable: bool = False
    resumable: bool = False
    gap_ms: Amount = 0
    told: dict = {}


class Limits(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """What a caller may send, how long its head may take, and how long it may sit idle."""

    head_bytes: Amount = 16384
    body_bytes: Amount = 4 << 20
    head_wait_ms: Amount = 3000
    idle_ms: Amount = 15000
    told: dict = {}


class Edition(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """The operator's own number of the configuration, and what holds for all callers.

    `keyed` says whether callers need a tenant's key, `walls` how often tenants were set apart:
    what a tenant made before that lies among what all share, so `walls` goes up with each and
    names other prefixes for all.
    """

    number: Amount
    keyed: bool = True
    walls: Amount = 0
    told: dict = {}


class Document(msgspec.Struct, forbid_unknown_fields=True):
    """A whole configuration; `told` in an entry is what its operator sent for it, unchanged."""

    models: dict[Name, Model] = {}
    tenants: dict[Name, Tenant] = {}
    routes: dict[Name, Route] = {}
    services: dict[Name, Service] = {}
    paths: dict[Name, Path] = {}
    limits: dict[Name, Limits] = {}
    edition: dict[Name, Edition] = {}

    def dangling(self):
        """Paths of names that point nowhere, and of keys that two tenants share."""
        yield from (
            f"$.routes.{name}.model: no model `{route.model}`"
            for name, route in self.routes.items()
            if route.model not in self.models
        )
        yield from (
            f"$.routes.{name}.tenants[{at}]: no tenant `{tenant}`"
            for name, route in self.routes.items()
            for at, tenant in enumerate(route.tenants)
            if tenant not in self.tenants
        )
        seen = {}
        for name, tenant in self.tenants.items():
            for at, key in enumerate(tenant.keys):
                if seen.setdefault(key, name) != name:
                    yield f"$.tenants.{name}.keys[{at}]: key is also of tenant `{seen[key]}`"
        yield from (
            f"$.models.{name}.capLeast: is above cap"
            for name, model in self.models.items()
            if model.adapts and model.capLeast > model.cap
        )
        yield from self._dangling_paths()

    def _dangling_paths(self):
        yield from (
            f"$.paths.{name}.services[{at}].service: no service `{backing.service}`"
            for name, path in self.paths.items()
            for at, backing in enumerate(path.services)
            if backing.service not in self.services
        )
        yield from (
            f"$.paths.{name}.services: shares sum to 0"
            for name, path in self.paths.items()
            if not sum([backing.share for backing in path.services])
        )
        seen = {}
        for name, path in self.paths.items():
            first = seen.setdefault((path.host, path.prefix), name)
            if first != name:
                yield f"$.paths.{name}.prefix: host and prefix are also of path `{first}`"


def told(error, path):
    """A fault's text with the path to the field in front."""
    text = str(error)
    found = re.search(r" - at `\$([^`]*)`$", text)
    return f"{path}{found.group(1)}: {text[: found.start()]}" if found else f"{path}: {text}"


def merge(target, patch):
    """JSON merge patch, RFC 7396."""
    if not isinstance(patch, dict):
        return patch
    kept = dict(target) if isinstance(target, dict) else {}
    return {
        name: merge(kept.get(name), patch[name]) if name in patch else kept[name]
        for name in [*kept, *(name for name in patch if name not in kept)]
        if patch.get(name, kept) is not None
    }


def key_digest(key: str) -> str:
    """How a tenant's key stands in a configuration."""
    return "sha256:" + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
