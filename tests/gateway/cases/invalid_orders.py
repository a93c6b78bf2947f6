"""Cases of invalid orders of every kind, at each core, connected and cut off."""

import unittest
from unittest import mock

import msgspec

from swiftdeck.http.client import fetch_json
from swiftdeck.platform import operator_api
from swiftdeck.platform.operator_api import CONFIG_PATH, WEIGHTS_PATH
from tests.gateway.orders import OrderCluster
from tests.gateway.platform_cluster import KEYS, MODEL, document, route

NOW, NEXT = 3, 9


def whole(number=NEXT, **more):
    """A whole configuration with some lists replaced."""
    return document() | {"version": number} | more


def items(number=NEXT, put=None, gone=None):
    """A change of named items."""
    return {"version": number, "put-items": put or {}, "remove-names": gone or {}}


def routes(*more):
    """Lists of a configuration with other routes."""
    return {"routes": [route("r-safe"), *more]}


def shared_keys():
    """Two tenants with one key."""
    return [{"name": name, "api-keys": KEYS["pair7"]} for name in ("nowu640", "pair7")]


BY_ITSELF = {
    "not JSON": ("PUT", msgspec.Raw(b'{"version":9'), NOW),
    "not an object": ("PUT", [], NOW),
    "fields missing": ("PUT", {"version": NEXT}, NOW),
    "no base": ("PUT", whole(), None),
    "no number as a base": ("PUT", whole(), "x"),
    "unknown service": ("PUT", whole(**routes(route("r-x", "/x/", "gone"))), NOW),
    "one prefix twice": ("PUT", whole(**routes(route("r-x", "/safe/", "app"))), NOW),
    "one name twice": ("PUT", whole(**routes(route("r-safe"))), NOW),
    "no weight at all": (
        "PUT",
        whole(
            **routes(
                route("r-x", "/x/", "app", **{"traffic-split": [{"backend": "app", "share": 0}]})
            )
        ),
        NOW,
    ),
    "no timeout": ("PUT", whole(**routes(route("r-x", "/x/", "app", **{"timeout-ms": 0}))), NOW),
    "one key of two": ("PUT", whole(customers=shared_keys()), NOW),
    "number not above": ("PUT", whole(NOW), NOW),
    "number below": ("PATCH", items(1), NOW),
    "items without a timeout": (
        "PATCH",
        items(put={"routes": [route("r-x", "/x/", "app", **{"timeout-ms": 0})]}),
        NOW,
    ),
}
BY_WHAT_IS_CURRENT = {
    "items of an unknown service": (
        "PATCH",
        items(put={"routes": [route("r-x", "/x/", "gone")]}),
        NOW,
    ),
    "a service in use goes": ("PATCH", items(gone={"backends": ["app"]}), NOW),
    "items with a key of another": (
        "PATCH",
        items(put={"customers": [{"name": "new", "api-keys": KEYS["pair7"]}]}),
        NOW,
    ),
    "an old base": ("PUT", whole(), 1),
}


class InvalidOrdersCase(unittest.TestCase):
    def ask(self, cluster, name, method, body, base, path=CONFIG_PATH):
        """The status that a core gives to one call."""
        headers = [("If-Match", str(base))] if base is not None else []
        addr = f"{cluster.machines[name]}:8080"
        got = cluster.operate(lambda: fetch_json(addr, method, path, body, headers, 1000))
        return got[0] if got else 0

    def said(self, cluster, orders, names):
        """Statuses by kind of order at some cores."""
        return {
            kind: {self.ask(cluster, name, *order) for name in names}
            for kind, order in orders.items()
        }

    def test_each_kind_gets_a_4xx_at_each_core(self):
        for cores in (3, 5):
            cluster = OrderCluster(1, cores).start()
            for orders in (BY_ITSELF, BY_WHAT_IS_CURRENT):
                for kind, said in self.said(cluster, orders, cluster.cores()).items():
                    self.assertTrue(said <= {400, 412}, (kind, said))
            weights = {
                "unknown": {"model": "x", "version": 2},
                "none": {"model": MODEL, "version": 0},
            }
            for body in weights.values():
                self.assertEqual(self.ask(cluster, "core2", "POST", body, None, WEIGHTS_PATH), 400)
            self.assertEqual(cluster.read("core1"), NOW)

    def said_cut_off(self, orders):
        """What each core says when it is cut off from the others, at once and when its lease has run out."""
        statuses = {}
        for position in (0, 1, -1):
            cluster = OrderCluster(2).start()
            name = cluster.member(position)
            cluster.cut(name)
            for wait_s in (0.05, 3.0):
                cluster.world.run(wait_s)
                for kind, said in self.said(cluster, orders, [name]).items():
                    statuses.setdefault(kind, set()).update(said)
        return statuses

    def test_at_a_cut_off_core_only_what_is_invalid_by_itself_is_refused(self):
        for kind, said in self.said_cut_off(BY_ITSELF).items():
            self.assertEqual(said, {400}, kind)
        for kind, said in self.said_cut_off(BY_WHAT_IS_CURRENT).items():
            self.assertTrue(said <= {503, 400, 412} and 503 in said, (kind, said))
        with mock.patch.object(operator_api, "invalid_by_itself", lambda change: None):
            said = self.said_cut_off({"unknown service": BY_ITSELF["unknown service"]})
        self.assertIn(503, said["unknown service"])
