"""Define a site: its machines, workers, first configuration and settings files."""

from pathlib import Path

import attrs

from swiftdeck.bench.platform_api.site_forms import (
    MachineLimits,
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
GUESTS = [Tenant(f"guest-{number}", (f"key-guest-{number}",)) for number in range(1, 5)]
"""Tenants that the simulated operators add, isolate, cease to isolate and remove."""
BOUNDS = SiteBounds()
GRACE_S = BOUNDS.grace_s
GENERATED_ROUTE_PREFIX = "change-"
"""Name prefix of the routes that the simulated operators add and remove."""
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


def generated_route(version) -> Route:
    """Return the route that the simulated operators add in configuration `version`."""
    return attrs.evolve(SAFE, name=f"{GENERATED_ROUTE_PREFIX}{version}", path=f"/change/{version}/")


def is_generated_route(name: str) -> bool:
    """Return whether the simulated operators added the route of this name."""
    return name.startswith(GENERATED_ROUTE_PREFIX)


class Site:
    """The machines and workers of a site in a block of loopback addresses.

    `limits` has the MachineLimits of the machines of a role.
    """

    def __init__(self, block, cores=3, routers=3, models=4, plain=3, limits=None):
        self.block, self.limits = block, limits or {}
        self.list_address = f"{block.ip(LIST_HOST)}:{HTTP_PORT}"
        self.store_address = f"{block.ip(STORE_HOST)}:{HTTP_PORT}"
        self.cores = [self._machine("core", number, CORE_HOSTS) for number in range(1, cores + 1)]
        self.routers = [
            self._machine("router", number, ROUTER_HOSTS) for number in range(1, routers + 1)
        ]
        self.machines = {machine.name: machine for machine in [*self.cores, *self.routers]}
        names = [f"{MODEL_SERVICE}{number}" for number in range(1, models + 1)]
        names += [f"{PLAIN_SERVICE}{number}" for number in range(1, plain + 1)]
        self.workers = {
            name: f"{block.ip(WORKER_HOSTS + index)}:{HTTP_PORT}"
            for index, name in enumerate(names)
        }

    def _machine(self, role, number, hosts):
        zone = ZONES[number % len(ZONES)]
        return Machine(f"{role}{number}", role, zone, self.block.ip(hosts + number))

    def document(self):
        """Return the operator's first configuration."""
        services = SiteServices(
            MODEL, MODEL_SERVICE, PLAIN_SERVICE, self.store_address, store_zone=ZONES[0]
        )
        return configuration(ROUTES, services, TENANTS)

    def settings_text(self, machine, data_folder, is_founding, seed_order=0) -> str:
        """Return the text of a machine's settings file, with the seeds rotated by `seed_order`."""
        seeds = [f"{core.ip}:{HTTP_PORT}" for core in self.cores]
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
            limits=self.limits.get(machine.role, MachineLimits()),
        )
        return settings.text()

    def write_settings(self, folder, machine, is_founding=False, seed_order=0) -> Path:
        """Write a machine's settings file atomically; return its path."""
        path = Path(folder) / f"{machine.name}.toml"
        text = self.settings_text(machine, Path(folder) / machine.name, is_founding, seed_order)
        temporary_path = path.with_suffix(".new")
        temporary_path.write_text(text)
        temporary_path.replace(path)
        return path
