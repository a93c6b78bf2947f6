"""Crowds at the routers' address for clients."""

import unittest

from swiftdeck.soak import payloads
from swiftdeck.soak.crowd import Crowd, CrowdSize
from tests.crowds.case import MEBIBYTE, CrowdCase

BODY_BYTES = 4 * MEBIBYTE
"""The `max-body-bytes` of the site's configuration."""
PUBLIC, PRIVATE = "/public/1", "/safe/1"
MANY, FEWER_THAN_SLOTS = CrowdSize(64), CrowdSize(16)
"""The workers of a plain route have 24 slots."""
REQUESTS_AHEAD = 60000
USUAL = ("Swiftdeck-Request-Id: crowd-1", "Swiftdeck-Time-Left-Ms: 6000")
KEYED = (*USUAL, "Authorization: Bearer key-b1")


class ClientsTest(CrowdCase):
    def crowd(self, payload, size=MANY, reads=True):
        """Run one crowd at the router's address for clients."""
        self.run_crowds(lambda site: [Crowd(site.routers[0].http, payload, size, reads)])

    def test_large_bodies_that_are_whole(self):
        self.crowd(lambda: payloads.whole_body(PUBLIC, BODY_BYTES, *USUAL))

    def test_large_bodies_that_are_whole_without_the_usual_headers(self):
        self.crowd(lambda: payloads.whole_body(PUBLIC, BODY_BYTES))

    def test_large_bodies_that_stop_short_of_their_end(self):
        self.crowd(lambda: payloads.body_short_of_its_end(PUBLIC, BODY_BYTES, *USUAL))

    def test_large_bodies_in_chunks_that_stop_short_of_their_end(self):
        self.crowd(
            lambda: payloads.chunked_body_without_end(PUBLIC, BODY_BYTES - 65536, 60000, *USUAL)
        )

    def test_large_bodies_in_tiny_chunks(self):
        self.crowd(lambda: payloads.chunked_body_without_end(PUBLIC, BODY_BYTES, 2, *USUAL))

    def test_bodies_announced_far_over_the_limit(self):
        self.crowd(lambda: payloads.endless_body(PUBLIC, *USUAL))

    def test_bodies_that_grow_far_over_the_limit(self):
        self.crowd(lambda: payloads.endless_chunks(PUBLIC, *USUAL))

    def test_chunk_lines_without_end(self):
        self.crowd(lambda: payloads.endless_chunk_line(PUBLIC, *USUAL))

    def test_trailers_without_end(self):
        self.crowd(lambda: payloads.endless_trailers(PUBLIC, *USUAL))

    def test_heads_without_end(self):
        self.crowd(payloads.endless_head)


class RequestsAheadTest(CrowdCase):
    def crowd(self, request, size=MANY):
        """Run one crowd that sends requests ahead and reads no answer."""

        def payload():
            return payloads.requests_ahead(request, REQUESTS_AHEAD)

        self.run_crowds(lambda site: [Crowd(site.routers[0].http, payload, size, reads=False)])

    def test_requests_without_the_usual_headers(self):
        self.crowd(payloads.request_head(PUBLIC, method="GET"))

    def test_requests_without_a_host(self):
        self.crowd(b"GET / HTTP/1.1\r\n\r\n")

    def test_requests_for_heads_without_the_usual_headers(self):
        self.crowd(payloads.request_head(PUBLIC, method="HEAD"))

    def test_requests_that_are_answered_by_workers(self):
        self.crowd(payloads.request_head(PUBLIC, *USUAL, method="GET"))

    def test_requests_behind_one_that_takes_long(self):
        self.crowd(payloads.request_head("/slow-once/1", *KEYED, method="GET"), FEWER_THAN_SLOTS)


class OpenConnectionsTest(CrowdCase):
    def crowd(self, payload):
        """Run one crowd with more connections than there are descriptors."""
        self.run_crowds(
            lambda site: [Crowd(site.routers[0].http, payload, CrowdSize(600, rounds=3))]
        )

    def test_connections_that_send_nothing(self):
        self.crowd(payloads.nothing)

    def test_connections_that_send_the_beginning_of_a_head(self):
        self.crowd(payloads.partial_head)


class ReadinessTest(CrowdCase):
    def crowd(self, payload, size=MANY, reads=True):
        """Run one crowd at the address of the router's readiness."""
        self.run_crowds(lambda site: [Crowd(site.routers[0].operations, payload, size, reads)])

    def test_large_bodies_that_stop_short_of_their_end(self):
        self.crowd(lambda: payloads.body_short_of_its_end("/v1/status", BODY_BYTES))

    def test_requests_ahead_for_the_readiness(self):
        request = payloads.request_head("/swiftdeck/ready", method="GET")
        self.crowd(lambda: payloads.requests_ahead(request, REQUESTS_AHEAD), reads=False)

    def test_requests_ahead_for_the_status(self):
        request = payloads.request_head("/v1/status", method="GET")
        self.crowd(lambda: payloads.requests_ahead(request, 20000), reads=False)

    def test_connections_that_send_nothing(self):
        self.crowd(payloads.nothing, CrowdSize(600, rounds=3))


if __name__ == "__main__":
    unittest.main()
