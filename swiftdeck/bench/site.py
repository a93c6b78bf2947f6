"""The two sites of the brief as plans: machines, zones, workers, tenants and a configuration."""

import itertools

import attrs

from swiftdeck.config.document import key_digest

TENANTS = {
    "hinokuni": [
        "chikugo",
        "hitoyoshi",
        "kumamoto",
        "miyazaki",
        "nagasaki",
        "oita",
        "saga",
        "yatsushiro",
    ],
    "serraria": ["araucaria", "bracatinga", "canela", "cedro", "imbuia", "ipe", "jatoba", "peroba"],
}


ZONES = 3
CORE_PORT, HTTP_PORT, STAND_IN_PORT = 7000, 8000, 9000


@attrs.frozen
class Site:
    """Where everything of a site stands.

    `cores` and `routers` are dicts of name, inner and http address and zone; `workers` are entries
    of the platform's list. `keys` has the key of each tenant, `agents` the number of its agents;
    the tenant `apart` shares no prefixes.
    """

    name: str
    model: str
    cores: list
    routers: list
    workers: list
    platform: str
    store: str
    keys: dict
    apart: str
    agents: dict
    tag_model: str

    def document(self, weights="w1", cap=4, **model) -> dict:
        """Return the first configuration of the site; `model` are more fields of its models."""
        return {
            "models": {
                name: {"weights": weights, "cap": cap} | model
                for name in sorted({self.model, self.tag_model})
            },
            "tenants": {
                tenant: {"keys": [key_digest(key)], "apart": tenant == self.apart}
                for tenant, key in self.keys.items()
            },
            "routes": {
                "check": {"model": self.model, "waitMs": 10000},
                "tag": {
                    "model": self.tag_model,
                    "repeatable": True,
                    "single": True,
                    "waitMs": 8000,
                },
            },
        }

    def seeds(self):
        """Return three addresses by which processes find the others, fewer if fewer cores serve."""
        return [core["inner"] for core in self.cores[:3]]


class AddressPlan:
    """Gives addresses to processes.

    `ip` gives the IP of a machine. With one IP for all machines each process gets the next port.
    """

    def __init__(self, ip, base_port):
        self.ip, self.is_shared = ip, ip("a") == ip("b")
        self.ports = itertools.count(base_port)

    def address(self, machine, port) -> str:
        """Return the address of a process that has a port of its own on its machine."""
        return f"{self.ip(machine)}:{next(self.ports) if self.is_shared else port}"

    def node(self, role, number) -> dict:
        """Return the plan of a core or a router."""
        machine = f"{role}{number}"
        return {
            "name": machine,
            "inner": self.address(machine, CORE_PORT),
            "http": self.address(machine, HTTP_PORT),
            "zone": _zone(number),
        }

    def worker(self, number, model) -> dict:
        """Return the plan of a worker, as the platform lists it."""
        machine = f"worker{number}"
        return {
            "name": machine,
            "addr": self.address(machine, STAND_IN_PORT),
            "model": model,
            "zone": _zone(number),
            "draining": False,
        }


def _zone(number) -> str:
    return f"z{(number - 1) % ZONES + 1}"


def plan_site(
    name="hinokuni",
    ip=lambda machine: "127.0.0.1",
    base_port=21000,
    routers=9,
    workers=None,
    models=1,
    cores=3,
) -> Site:
    """Plan a site; `workers` is their number, or None for as many as the site has.

    With a second model a third of the workers serve that one.
    """
    is_hinokuni, plan = name == "hinokuni", AddressPlan(ip, base_port)
    count = workers or (6 if is_hinokuni else 9)
    model = "screener" if is_hinokuni else "classifier"
    tag_model = "tagger" if models > 1 else model
    tenants = TENANTS[name]

    def model_of(number):
        return tag_model if number > count - count // 3 else model

    return Site(
        name=name,
        model=model,
        cores=[plan.node("core", number) for number in range(1, cores + 1)],
        routers=[plan.node("router", number) for number in range(1, routers + 1)],
        workers=[plan.worker(number, model_of(number)) for number in range(1, count + 1)],
        platform=plan.address("platform", STAND_IN_PORT),
        store=plan.address("store", STAND_IN_PORT),
        keys={tenant: f"key-{tenant}" for tenant in tenants},
        apart=tenants[2],
        agents={tenant: 4 if at < 2 else 1 for at, tenant in enumerate(tenants)},
        tag_model=tag_model,
    )
