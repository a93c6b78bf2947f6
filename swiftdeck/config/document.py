"""The schema of the configuration that operators put, and JSON merge patches for it."""

import hashlib
import re
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}\Z")]
Count = Annotated[int, msgspec.Meta(ge=1, le=100000)]
Ms = Annotated[int, msgspec.Meta(ge=0, le=3600000)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
# Names of the entries that are read from the tables `edition` and `limits`, one each.
EDITION, LIMITS = "operator", "callers"
CORES = "cores"
"""The entry of the table `edition` that the cores keep for themselves; operators don't see it."""
GENERATION_FIELD = "walls"
"""The field of an edition that has the generation of shared cached prefixes."""


class Model(msgspec.Struct, forbid_unknown_fields=True, rename=None):
    """Settings for all workers that serve one model."""

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
    """A tenant: digests of its API keys, and how its calls are treated.

    `apart` keeps its cached prefixes separate from those of other tenants. `urgency` is its rank,
    0 being the highest.
    """

    keys: list[Annotated[str, msgspec.Meta(pattern=r"^sha256:[0-9a-f]{64}$")]] = []
    apart: bool = False
    urgency: int | None = None
    told: dict = {}


class Route(msgspec.Struct, forbid_unknown_fields=True):
    """The model that serves calls of a route, with their retry rules and time limits."""

    model: Name
    repeatable: bool = False
    single: bool = False
    tenants: list[Name] = []
    waitMs: Ms = 10000
    horizonMs: Annotated[int, msgspec.Meta(ge=100, le=3600000)] = 120000
    firstPieceMs: Annotated[int, msgspec.Meta(ge=100, le=3600000)] = 30000
    pieceMs: Annotated[int, msgspec.Meta(ge=100, le=3600000)] = 15000


class Service(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """A group of identical workers, or a prefix store at `store_addr`."""

    models: list[Name] = []
    health_path: str = ""
    connections_most: NonNegativeInt = 0
    slots: NonNegativeInt = 0
    cache_tokens: NonNegativeInt = 0
    token_bytes: NonNegativeInt = 0
    network_mbps: NonNegativeFloat = 0
    followers_most: NonNegativeInt = 0
    store_addr: str = ""
    zone: str = ""
    told: dict = {}


class Backing(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """A service that a path sends traffic to, and its relative share of it."""

    service: Name
    share: NonNegativeFloat


class Path(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """A route that is selected by host and path prefix."""

    host: str
    prefix: str
    services: Annotated[list[Backing], msgspec.Meta(min_length=1)]
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)]
    target_ms: NonNegativeInt = 0
    urgency: int = 5
    tries: Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)] = 1
    public: bool = False
    streaming: bool = False
    repeatable: bool = False
    resumable: bool = False
    gap_ms: NonNegativeInt = 0
    told: dict = {}


class Limits(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """Limits on client connections: sizes of the request head and body, and wait times.

    `head_wait_ms` bounds the time until a request head is complete, `idle_ms` the time that a
    connection may stay idle.
    """

    head_bytes: NonNegativeInt = 16384
    body_bytes: NonNegativeInt = 4 << 20
    head_wait_ms: NonNegativeInt = 3000
    idle_ms: NonNegativeInt = 15000
    told: dict = {}


class Edition(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """The operator's own number of the configuration, and settings for all callers.

    `keyed` says whether callers need a tenant's key. The names of the cached prefixes that tenants
    share include `shared_cache_generation`, which the cores raise whenever nobody may find the
    prefixes made so far any more.
    """

    number: NonNegativeInt
    keyed: bool = True
    shared_cache_generation: NonNegativeInt = msgspec.field(default=0, name=GENERATION_FIELD)
    told: dict = {}


class Document(msgspec.Struct, forbid_unknown_fields=True):
    """A whole configuration; `told` of an entry is what the operator sent for it, unchanged."""

    models: dict[Name, Model] = {}
    tenants: dict[Name, Tenant] = {}
    routes: dict[Name, Route] = {}
    services: dict[Name, Service] = {}
    paths: dict[Name, Path] = {}
    limits: dict[Name, Limits] = {}
    edition: dict[Name, Edition] = {}

    def conflicts(self):
        """Yield a message for each conflict between entries.

        These are references to missing entries, API keys that two tenants share, adaptive caps
        whose minimum is above the cap, splits whose shares sum to 0, and duplicate host and prefix
        pairs.
        """
        yield from (
            f"$.routes.{name}.model: no model `{route.model}`"
            for name, route in self.routes.items()
            if route.model not in self.models
        )
        yield from (
            f"$.routes.{name}.tenants[{index}]: no tenant `{tenant}`"
            for name, route in self.routes.items()
            for index, tenant in enumerate(route.tenants)
            if tenant not in self.tenants
        )
        owners = {}
        for name, tenant in self.tenants.items():
            for index, key in enumerate(tenant.keys):
                if owners.setdefault(key, name) != name:
                    yield f"$.tenants.{name}.keys[{index}]: key is also of tenant `{owners[key]}`"
        yield from (
            f"$.models.{name}.capLeast: is above cap"
            for name, model in self.models.items()
            if model.adapts and model.capLeast > model.cap
        )
        yield from self._path_conflicts()

    def _path_conflicts(self):
        yield from (
            f"$.paths.{name}.services[{index}].service: no service `{backing.service}`"
            for name, path in self.paths.items()
            for index, backing in enumerate(path.services)
            if backing.service not in self.services
        )
        yield from (
            f"$.paths.{name}.services: shares sum to 0"
            for name, path in self.paths.items()
            if not sum([backing.share for backing in path.services])
        )
        path_of_prefix = {}
        for name, path in self.paths.items():
            other_path = path_of_prefix.setdefault((path.host, path.prefix), name)
            if other_path != name:
                yield f"$.paths.{name}.prefix: host and prefix are also of path `{other_path}`"


def shared_cache_generation(document: Document) -> int:
    """Return the generation that the names of shared cached prefixes include."""
    return max((each.shared_cache_generation for each in document.edition.values()), default=0)


def told(error, path):
    """Return the text of a validation error, preceded by the JSON path of the field."""
    text = str(error)
    location = re.search(r" - at `\$([^`]*)`$", text)
    return (
        f"{path}{location.group(1)}: {text[: location.start()]}" if location else f"{path}: {text}"
    )


def merge(target, patch):
    """Apply a JSON merge patch (RFC 7396); entries of the target keep their order."""
    if not isinstance(patch, dict):
        return patch
    old = dict(target) if isinstance(target, dict) else {}
    return {
        name: merge(old.get(name), patch[name]) if name in patch else old[name]
        for name in [*old, *(name for name in patch if name not in old)]
        if patch.get(name, old) is not None
    }


def key_digest(key: str) -> str:
    """Return the digest under which a configuration stores a tenant's key."""
    return "sha256:" + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
