"""What a site consists of: machines, workers, first configuration and settings files."""

from pathlib import Path

import attrs

from swiftdeck.bench.platform_api.site_forms import (
    MachineSettings,
    Route,
    SiteBounds,
    SiteServices,
    Tenant,
    configuration,
)
from swiftdeck.soak.addresses import (
    CORE_HOSTS,
    HTTP_PORT,
    LIST_HOST,
    ROUTER_HOSTS,
    STORE_HOST,
    WORKER_HOSTS,
    Machine,
)

MODEL, HOST, ZONES = "model-1", "site.example", ("z1", "z2", "z3")
MODEL_SERVICE, PLAIN_SERVICE = "models", "plain"
TENANTS = [
    Tenant("tenant-a", ("key-a1", "key-a2")),
    Tenant("tenant-b", ("key-b1",)),
    Tenant("isolated", ("key-i1",), is_isolated=True),
]
BOUNDS = SiteBounds()
GRACE_S = BOUNDS.grace_s
CHANGING = "change-"
"""How the names of routes begin that the stream of changes adds and takes away."""
STREAM = Route(
    "stream",
    HOST,
    "/stream/",
    "streaming",
    MODEL_SERVICE,
    target_ms=600,
    timeout_ms=7000,
    tries=2,
    is_pinned=True,
    gap_target_ms=250,
)
SAFE = Route("safe", HOST, "/safe/", "safe", PLAIN_SERVICE, tries=3)
ONCE = attrs.evolve(SAFE, name="once", path="/once/", kind="unsafe")
ROUTES = [
    STREAM,
    attrs.evolve(STREAM, name="resume", path="/resume/", tries=3, is_resumable=True),
    SAFE,
    ONCE,
    attrs.evolve(ONCE, name="slow-once", path="/slow-once/", target_ms=3000, timeout_ms=7000),
    attrs.evolve(SAFE, name="public", path="/public/", tries=2, is_public=True),
]


def changing_route(version) -> Route:
    """A route that the stream of changes adds and takes away."""
    return attrs.evolve(SAFE, name=f"{CHANGING}{version}", path=f"/change/{version}/")


def is_changing(name: str) -> bool:
    """Whether a route belongs to the stream of changes."""
    return name.startswith(CHANGING)


class Site:
    """The machines and workers of a site on a block of loopback addresses."""

    def __init__(self, block, cores=3, routers=3, models=4, plain=3):
        self.block = block
        self.list_address = f"{block.ip(LIST_HOST)}:{HTTP_PORT}"
        self.store_address = f"{block.ip(STORE_HOST)}:{HTTP_PORT}"
        self.cores = [self._machine("core", at, CORE_HOSTS) for at in range(1, cores + 1)]
        self.routers = [self._machine("router", at, ROUTER_HOSTS) for at in range(1, routers + 1)]
        self.machines = {each.name: each for each in [*self.cores, *self.routers]}
        names = [f"{MODEL_SERVICE}{at}" for at in range(1, models + 1)]
        names += [f"{PLAIN_SERVICE}{at}" for at in range(1, plain + 1)]
        self.workers = {
            name: f"{block.ip(WORKER_HOSTS + at)}:{HTTP_PORT}" for at, name in enumerate(names)
        }

    def _machine(self, role, number, hosts):
        zone = ZONES[number % len(ZONES)]
        return Machine(f"{role}{number}", role, zone, self.block.ip(hosts + number))

    def document(self):
        """The operator's first configuration."""
        services = SiteServices(
            MODEL, MODEL_SERVICE, PLAIN_SERVICE, self.store_address, store_zone=ZONES[0]
        )
        return configuration(ROUTES, services, TENANTS)

    def settings_text(self, machine, data_folder, is_founding, seed_order=0) -> str:
        """The platform's settings file of a machine; the seeds may come in another order."""
        seeds = [f"{each.ip}:{HTTP_PORT}" for each in self.cores]
        listen = (
            {"control": machine.http}
            if machine.role == "core"
            else {"front": machine.http, "readiness": machine.operations}
        )
        settings = MachineSettings(
            machine.name,
            machine.ip,
            machine.zone,
            inner_ports=[int(machine.inner.rpartition(":")[2])],
            seeds=seeds[seed_order:] + seeds[:seed_order],
            data_folder=str(data_folder),
            is_founding=is_founding,
            list_address=self.list_address,
            listen=listen,
            bounds=BOUNDS,
        )
        return settings.text()

    def write_settings(self, folder, machine, is_founding=False, seed_order=0) -> Path:
        """Write a machine's settings file whole, and give its path."""
        path = Path(folder) / f"{machine.name}.toml"
        text = self.settings_text(machine, Path(folder) / machine.name, is_founding, seed_order)
        fresh = path.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(path)
        return path
