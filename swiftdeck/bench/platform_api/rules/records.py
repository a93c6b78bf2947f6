"""The records of a run by kind, the bounds of the rules, and the configurations that may be in force."""

from collections import defaultdict

import attrs

FOREVER = 1 << 60
LINK, PROCESS = "link", "process"
"""The scope of a fault: the links of a machine, or its processes alone."""


@attrs.frozen
class Bounds:
    """Bounds of the rules, and the faults of the run.

    `troubles` has [machine, begin in ms, end in ms, scope] of each fault.
    """

    contact_ms: int = 3000
    drain_ms: int = 3000
    apply_within_ms: int = 2000
    lease_ms: int = 3000
    version_ms: int = 8000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10000
    extra_retries: int = 20
    checks_fences: bool = True
    troubles: list = attrs.Factory(list)
    grace_ms: int = 8000
    loss_slack_ms: int = 200
    recovery_ms: int = 12000
    gone_ms: int = 500

    def in_touch(self, machine, at_ms, since_ms=None):
        """Return whether a machine and all cores were free of faults from `contact_ms` before `since_ms` up to `at_ms`."""
        begin_ms = (at_ms if since_ms is None else since_ms) - self.contact_ms
        return not any(
            trouble_begin_ms <= at_ms and trouble_end_ms >= begin_ms
            for name, trouble_begin_ms, trouble_end_ms, *_ in self.troubles
            if name == machine or name.startswith("core")
        )

    def settled_stretches(self, begin_ms, end_ms):
        """Return the lengths in ms of the parts of a span without a fault of a core or a link, nor one in the `contact_ms` before."""
        unsettled = sorted(
            (trouble_begin_ms, trouble_end_ms + self.contact_ms)
            for name, trouble_begin_ms, trouble_end_ms, *scope in self.troubles
            if name.startswith("core") or LINK in scope
        )
        lengths, since_ms = [], begin_ms
        for unsettled_begin_ms, unsettled_end_ms in unsettled:
            if unsettled_begin_ms > since_ms:
                lengths.append(min(unsettled_begin_ms, end_ms) - since_ms)
            since_ms = max(since_ms, unsettled_end_ms)
            if since_ms >= end_ms:
                return [length for length in lengths if length > 0]
        return [length for length in [*lengths, end_ms - since_ms] if length > 0]


class Records:
    """The records by kind, with the attempts, runs and configurations that several rules use."""

    def __init__(self, items):
        self.items = sorted(items, key=lambda item: item["atMs"])
        self.by_kind = defaultdict(list)
        for item in self.items:
            self.by_kind[item["kind"]].append(item)
        self.tries = {item["id"]: item for item in self.of("try")}
        self.runs = defaultdict(list)
        for item in self.of("run"):
            self.runs[item["id"]].append(item)
        acknowledged_ms = {
            item["version"]: item["atMs"] for item in self.of("told") if item["status"] == 200
        }
        rejected = {
            item["version"] for item in self.of("told") if item["status"] and item["status"] != 200
        }
        self.configs = [
            read_config(item, acknowledged_ms.get(item["version"], FOREVER))
            for item in self.of("sent")
            if not item["bad"]
            and (item["version"] not in rejected or item["version"] in acknowledged_ms)
        ]

    def of(self, *kinds):
        """Return the records of some kinds."""
        return [item for kind in kinds for item in self.by_kind[kind]]

    def key_holders(self, key):
        """Return the tenants that hold a key in any configuration."""
        return {
            config.tenants_by_key[key] for config in self.configs if key in config.tenants_by_key
        }

    def is_isolated(self, tenant, at_ms):
        """Return whether each configuration that may be in force at a time, and names a tenant, isolates it.

        These are the newest one acknowledged by then and those sent after it. A tenant that none of
        them names counts as the newest acknowledged one that names it says. Before any such
        acknowledgement the tenant counts as in the first configuration that names it.
        """
        naming = sorted(
            (config for config in self.configs if tenant in config.isolation_by_tenant),
            key=lambda config: config.version,
        )
        acknowledged = [config for config in naming if config.acknowledged_ms <= at_ms]
        newest = next(iter(acknowledged[-1:] or naming[:1]), None)
        return newest is not None and all(
            config.isolation_by_tenant[tenant]
            for config in naming
            if config is newest or config.version > newest.version and config.sent_ms <= at_ms
        )

    def route(self, attempt):
        """Return the route of an attempt in the newest configuration that has one, or None."""
        return next(
            (
                route
                for config in reversed(self.configs)
                if (route := config.find_route(attempt)) is not None
            ),
            None,
        )

    def may_repeat(self, attempt):
        """Return whether an attempt may run more than once."""
        route = self.route(attempt)
        return route is not None and (route["route-type"] == "safe" or bool(route.get("resumable")))


@attrs.frozen
class Config:
    """One configuration that may be in force, with the times at which it was sent and acknowledged."""

    version: int
    sent_ms: int
    acknowledged_ms: int
    routes: list
    tenants_by_key: dict
    isolation_by_tenant: dict
    needs_key: bool

    def find_route(self, attempt):
        """Return the route of an attempt (the one with the longest matching path), or None."""
        matching_routes = [
            route
            for route in self.routes
            if route["hostname"] == attempt["host"]
            and attempt["target"].startswith(route["path-start"])
        ]
        return max(matching_routes, key=lambda route: len(route["path-start"]), default=None)

    def services(self, attempt):
        """Return the services that may run an attempt."""
        route = self.find_route(attempt)
        if (
            route is None
            or not route.get("public")
            and self.needs_key
            and attempt["key"] not in self.tenants_by_key
        ):
            return set()
        return {
            part["backend"] for part in route.get("traffic-split") or () if part["share"] > 0
        } or {route["backend"]}


def read_config(item, acknowledged_ms):
    """Return the configuration of a `sent` record."""
    document = item["document"]
    customers = document.get("customers")
    return Config(
        item["version"],
        item["atMs"],
        acknowledged_ms,
        document["routes"],
        {key: customer["name"] for customer in customers or () for key in customer["api-keys"]},
        {customer["name"]: bool(customer.get("isolated")) for customer in customers or ()},
        customers is not None,
    )
