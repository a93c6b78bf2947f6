"""Crowds whose connections are opened again whenever they end."""

import unittest

from swiftdeck.soak import payloads
from swiftdeck.soak.crowd import Crowd, CrowdGroup, CrowdSize
from tests.crowds.case import MEBIBYTE, CrowdCase
from tests.crowds.test_clients import BODY_BYTES, KEYED, PUBLIC, REQUESTS_AHEAD, USUAL
from tests.crowds.test_cores import BODY_BYTES as OPERATORS_BODY_BYTES
from tests.crowds.test_cores import CONFIG, STALE_BASE

ENDLESS_ROUNDS = 1000000
MANY = CrowdSize(200, rounds=ENDLESS_ROUNDS)
LEAVING = CrowdSize(64, rounds=ENDLESS_ROUNDS, leaves=True)
FRAME_BYTES = 6 * MEBIBYTE


class ReconnectingTest(CrowdCase):
    crowd_wait_s = 10.0
    """Such a crowd never has sent all."""

    def crowd_at_router(self, payload, size=MANY, reads=True):
        """Run one crowd at the router's address for clients."""
        self.run_crowds(lambda site: [Crowd(site.routers[0].http, payload, size, reads)])

    def crowds_at(self, addresses):
        """Run crowds at some addresses at once that send nothing, or the beginning of a head."""
        return CrowdGroup(
            [
                Crowd(address, payload, MANY)
                for address in addresses
                for payload in (payloads.nothing, payloads.partial_head)
            ]
        )

    def test_requests_ahead_whose_answers_are_read(self):
        request = payloads.request_head(PUBLIC, *USUAL, method="GET")
        self.crowd_at_router(lambda: payloads.requests_ahead(request, REQUESTS_AHEAD))

    def test_requests_ahead_whose_answers_are_not_read(self):
        request = payloads.request_head(PUBLIC, method="GET")
        self.crowd_at_router(lambda: payloads.requests_ahead(request, REQUESTS_AHEAD), reads=False)

    def test_requests_that_are_always_worked_on(self):
        request = payloads.request_head("/slow-once/1", *KEYED, method="GET")
        self.crowd_at_router(lambda: [request])

    def test_bodies_whose_clients_leave_before_their_end(self):
        self.crowd_at_router(
            lambda: payloads.body_short_of_its_end(PUBLIC, BODY_BYTES, *USUAL), LEAVING
        )

    def test_bodies_of_operators_who_leave_before_their_end(self):
        def payload():
            return payloads.body_short_of_its_end(
                CONFIG, OPERATORS_BODY_BYTES, STALE_BASE, method="PUT"
            )

        self.run_crowds(lambda site: [Crowd(site.cores[0].http, payload, LEAVING)])

    def test_frames_whose_senders_leave_before_their_end(self):
        def payload():
            return payloads.frame_short_of_its_end(FRAME_BYTES, FRAME_BYTES - 1)

        self.run_crowds(
            lambda site: [
                Crowd(site.routers[0].inner, payload, LEAVING),
                Crowd(site.cores[0].inner, payload, LEAVING),
            ]
        )

    def test_all_addresses_of_a_router(self):
        def addresses(site):
            router = site.routers[0]
            return [router.http, router.operations, router.inner]

        self.run_crowds(lambda site: [self.crowds_at(addresses(site))])

    def test_all_addresses_of_a_core(self):
        def addresses(site):
            return [site.cores[0].http, site.cores[0].inner]

        self.run_crowds(lambda site: [self.crowds_at(addresses(site))])


if __name__ == "__main__":
    unittest.main()
