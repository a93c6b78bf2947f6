"""Tests of routes by host and prefix."""

import unittest

from swiftdeck.config.document import Backing, Document, Path
from swiftdeck.gateway.routes import RouteTable


def table(**paths):
    """Return a table of routes given as name=(host, prefix, shares by service)."""
    return RouteTable(
        Document(
            paths={
                name: Path(
                    host=host,
                    prefix=prefix,
                    timeout_ms=1000,
                    services=[Backing(service, share) for service, share in shares],
                )
                for name, (host, prefix, shares) in paths.items()
            }
        )
    )


class RoutesTest(unittest.TestCase):
    def setUp(self):
        one = [("s", 1)]
        self.table = table(
            top=("h.example", "/", one),
            a=("h.example", "/a/", one),
            ab=("h.example", "/a/b/", one),
            other=("o.example", "/x/", one),
            mixed=("Mixed.Example", "/m/", one),
        )

    def name(self, host, path):
        route = self.table.find(host, path)
        return route and route.name

    def test_the_longest_prefix_of_the_path_wins(self):
        for path, name in [
            ("/", "top"),
            ("/a", "top"),
            ("/a/", "a"),
            ("/a/1", "a"),
            ("/a/b", "a"),
            ("/a/b/", "ab"),
            ("/a/b/c/d", "ab"),
            ("/ab/b/", "top"),
            ("/a/bc/1", "a"),
            ("//", "top"),
        ]:
            self.assertEqual(self.name("h.example", path), name, path)

    def test_a_host_matches_in_any_case_and_with_a_port(self):
        for host in ("h.example", "H.Example", "h.example:8080"):
            self.assertEqual(self.name(host, "/a/1"), "a", host)
        self.assertEqual(self.name("mixed.example", "/m/1"), "mixed")

    def test_no_route_is_found_if_none_matches(self):
        for host, path in [
            ("", "/a/"),
            ("x.example", "/a/"),
            ("o.example", "/"),
            ("o.example", "/x"),
            ("o.example", "/xy/1"),
            ("o.example", ""),
            ("o.example", "*"),
            ("o.example", "http://o.example/x/"),
        ]:
            self.assertIsNone(self.name(host, path), (host, path))

    def test_a_route_splits_by_shares(self):
        route = table(r=("h", "/", [("a", 90), ("b", 10)])).find("h", "/")
        drawn = [route.service(at / 1000) for at in range(1000)]
        self.assertEqual((drawn.count("a"), drawn.count("b")), (900, 100))

    def test_a_share_of_zero_is_never_drawn(self):
        for shares in (
            [("none", 0), ("a", 3)],
            [("a", 3), ("none", 0)],
            [("a", 1), ("none", 0), ("a", 2)],
        ):
            route = table(r=("h", "/", shares)).find("h", "/")
            self.assertEqual(
                {route.service(draw) for draw in (0.0, 0.2, 0.34, 0.5, 0.999999999999)},
                {"a"},
                shares,
            )
