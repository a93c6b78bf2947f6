"""Crowds at the cores' address for operators."""

import unittest

from swiftdeck.soak import payloads
from swiftdeck.soak.crowd import Crowd, CrowdSize
from tests.crowds.case import MEBIBYTE, CrowdCase, with_many_routes

BODY_BYTES = 16 * MEBIBYTE - 1
"""The largest body that a core takes from an operator."""
CONFIG, OWN_CONFIG, CHANGES = "/swiftdeck/config", "/v1/config?base=0", "/v1/changes"
STALE_BASE = "If-Match: 999999"
LARGE, MANY, FEW = CrowdSize(32), CrowdSize(64), CrowdSize(4)
REQUESTS_AHEAD = 100000
ELEMENTS = b"[],{},1," * 8192


def json_of_many_elements(path, method, lines=()):
    """Yield a legal body whose JSON has as many elements as fit."""
    start = b'{"version":999999,"routes":[],"backends":[],"more":['
    count = (BODY_BYTES - len(start) - 4) // len(ELEMENTS)
    size = len(start) + count * len(ELEMENTS) + len(b"1]}")
    yield payloads.request_head(path, f"Content-Length: {size}", *lines, method=method)
    yield start
    for _ in range(count):
        yield ELEMENTS
    yield b"1]}"


class OperatorsTest(CrowdCase):
    def crowd(self, payload, size=LARGE, reads=True):
        """Run one crowd at the first core's address for operators."""
        self.run_crowds(lambda site: [Crowd(site.cores[0].http, payload, size, reads)])

    def test_large_bodies_that_stop_short_of_their_end(self):
        self.crowd(
            lambda: payloads.body_short_of_its_end(CONFIG, BODY_BYTES, STALE_BASE, method="PUT")
        )

    def test_large_bodies_that_are_whole(self):
        self.crowd(lambda: payloads.whole_body(CONFIG, BODY_BYTES, STALE_BASE, method="PUT"))

    def test_large_bodies_in_chunks_that_stop_short_of_their_end(self):
        self.crowd(
            lambda: payloads.chunked_body_without_end(CONFIG, BODY_BYTES - 65536, 60000, STALE_BASE)
        )

    def test_bodies_announced_far_over_the_limit(self):
        self.crowd(lambda: payloads.endless_body(CONFIG, STALE_BASE))

    def test_bodies_that_grow_far_over_the_limit(self):
        self.crowd(lambda: payloads.endless_chunks(CONFIG, STALE_BASE))

    def test_bodies_of_many_elements(self):
        self.crowd(lambda: json_of_many_elements(CONFIG, "PUT", [STALE_BASE]), FEW)

    def test_bodies_of_many_elements_at_the_own_interface(self):
        self.crowd(lambda: json_of_many_elements(OWN_CONFIG, "PUT"), FEW)

    def test_streams_of_changes_with_lines_that_do_not_end(self):
        self.crowd(lambda: payloads.chunked_body_without_end(CHANGES, BODY_BYTES - 65536, 60000))

    def test_streams_of_changes_that_stay_open(self):
        self.crowd(
            lambda: [payloads.request_head(CHANGES, "Transfer-Encoding: chunked")], CrowdSize(600)
        )

    def test_requests_ahead_without_the_usual_headers(self):
        request = payloads.request_head("/nothing", method="GET")
        self.crowd(lambda: payloads.requests_ahead(request, REQUESTS_AHEAD), MANY, False)

    def test_requests_ahead_for_heads(self):
        request = payloads.request_head("/v1/status", method="HEAD")
        self.crowd(lambda: payloads.requests_ahead(request, REQUESTS_AHEAD), MANY, False)

    def test_configurations_asked_for_that_are_not_read(self):
        request = payloads.request_head(CONFIG, method="GET")
        self.run_crowds(
            lambda site: [
                Crowd(core.http, lambda: [request * 8], CrowdSize(200), reads=False)
                for core in site.cores
            ],
            with_many_routes,
        )

    def test_connections_that_send_nothing(self):
        self.crowd(payloads.nothing, CrowdSize(600, rounds=3))


if __name__ == "__main__":
    unittest.main()
