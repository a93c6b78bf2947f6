"""The records of a run by kind, the bounds of the rules, and the configurations that may be in force."""

from collections import defaultdict

import attrs

FOREVER = 1 << 60
LINK, PROCESS = "link", "process"
"""What a trouble concerns: a machine's links, or its processes alone."""


@attrs.frozen
class Bounds:
    """Figures of the rules, in milliseconds and shares, and when which machine was in trouble."""

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
        """Whether a machine and the core were calm for long enough before a time, and since another."""
        begin_ms = (at_ms if since_ms is None else since_ms) - self.contact_ms
        return not any(
            a <= at_ms and b >= begin_ms
            for name, a, b, *_ in self.troubles
            if name == machine or name.startswith("core")
        )

    def settled_stretches(self, begin_ms, end_ms):
        """Lengths of the stretches of a span in which the core was settled and no link was in trouble."""
        unsettled = sorted(
            (a, b + self.contact_ms)
            for name, a, b, *kind in self.troubles
            if name.startswith("core") or LINK in kind
        )
        lengths, since_ms = [], begin_ms
        for a, b in unsettled:
            if a > since_ms:
                lengths.append(min(a, end_ms) - since_ms)
            since_ms = max(since_ms, b)
            if since_ms >= end_ms:
                return [each for each in lengths if each > 0]
        return [each for each in [*lengths, end_ms - since_ms] if each > 0]


class Records:
    """The records by kind, and what follows from them for several rules."""

    def __init__(self, items):
        self.items = sorted(items, key=lambda item: item["atMs"])
        self.by_kind = defaultdict(list)
        for item in self.items:
            self.by_kind[item["kind"]].append(item)
        self.tries = {item["id"]: item for item in self.of("try")}
        self.runs = defaultdict(list)
        for item in self.of("run"):
            self.runs[item["id"]].append(item)
        told = {item["version"]: item["atMs"] for item in self.of("told") if item["status"] == 200}
        refused = {
            item["version"] for item in self.of("told") if item["status"] and item["status"] != 200
        }
        self.configs = [
            read_config(item, told.get(item["version"], FOREVER))
            for item in self.of("sent")
            if not item["bad"] and (item["version"] not in refused or item["version"] in told)
        ]

    def of(self, *kinds):
        """Records of some kinds."""
        return [item for kind in kinds for item in self.by_kind[kind]]

    def key_holders(self, key):
        """Tenants that any configuration gives a key to."""
        return {config.keys[key] for config in self.configs if key in config.keys}

    def route(self, asked):
        """A configuration's route of a try, the newest that has one."""
        return next(
            (
                found
                for config in reversed(self.configs)
                if (found := config.find(asked)) is not None
            ),
            None,
        )

    def may_repeat(self, asked):
        """Whether a try may run more than once."""
        route = self.route(asked)
        return route is not None and (route["route-type"] == "safe" or bool(route.get("resumable")))


@attrs.frozen
class Config:
    """One configuration that may be in force."""

    version: int
    sent_ms: int
    told_ms: int
    routes: list
    keys: dict
    apart: dict
    keyed: bool

    def find(self, asked):
        """The route of a try, or None."""
        fits = [
            each
            for each in self.routes
            if each["hostname"] == asked["host"] and asked["target"].startswith(each["path-start"])
        ]
        return max(fits, key=lambda each: len(each["path-start"]), default=None)

    def services(self, asked):
        """Services that may run a try."""
        route = self.find(asked)
        if (
            route is None
            or not route.get("public")
            and self.keyed
            and asked["key"] not in self.keys
        ):
            return set()
        return {
            each["backend"] for each in route.get("traffic-split") or () if each["share"] > 0
        } or {route["backend"]}


def read_config(item, told_ms):
    """A configuration from its record."""
    document = item["document"]
    customers = document.get("customers")
    return Config(
        item["version"],
        item["atMs"],
        told_ms,
        document["routes"],
        {key: each["name"] for each in customers or () for key in each["api-keys"]},
        {each["name"]: bool(each.get("isolated")) for each in customers or ()},
        customers is not None,
    )
