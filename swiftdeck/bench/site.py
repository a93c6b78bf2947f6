"""The two sites of the brief as plans: machines, zones, workers, tenants and a configuration."""

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


@attrs.frozen
class Site:
    """Where everything of a site stands."""

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
        """The first configuration of the site."""
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
        """Three addresses by which processes find the others, fewer if fewer cores serve."""
        return [core["inner"] for core in self.cores[:3]]


def plan_site(
    name="hinokuni",
    ip=lambda machine: "127.0.0.1",
    base_port=21000,
    routers=9,
    workers=None,
    models=1,
    cores=3,
):
    """Plan a site; with one IP for all machines each process gets ports of its own."""
    is_hinokuni = name == "hinokuni"
    ports = iter(range(base_port, base_port + 1000))
    per_machine = ip("a") != ip("b")

    def addr(machine, port):
        return f"{ip(machine)}:{port if per_machine else next(ports)}"

    def node(role, number):
        machine = f"{role}{number}"
        return {
            "name": machine,
            "inner": addr(machine, 7000),
            "http": addr(machine, 8000),
            "zone": f"z{(number - 1) % 3 + 1}",
        }

    count = workers or (6 if is_hinokuni else 9)
    model = "screener" if is_hinokuni else "classifier"
    served = [model, "tagger"] if models > 1 else [model]
    tenants = TENANTS[name]
    return Site(
        name=name,
        model=model,
        cores=[node("core", number) for number in range(1, cores + 1)],
        routers=[node("router", number) for number in range(1, routers + 1)],
        workers=[
            {
                "name": f"worker{number}",
                "addr": addr(f"worker{number}", 9000),
                "model": served[-1 if number > count - count // 3 else 0],
                "zone": f"z{(number - 1) % 3 + 1}",
                "draining": False,
            }
            for number in range(1, count + 1)
        ],
        platform=addr("platform", 9000),
        store=addr("store", 9000),
        keys={tenant: f"key-{tenant}" for tenant in tenants},
        apart=tenants[2],
        agents={tenant: 4 if at < 2 else 1 for at, tenant in enumerate(tenants)},
        tag_model=served[-1],
    )
