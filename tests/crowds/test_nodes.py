"""Crowds of strangers at the addresses by which the nodes talk to each other."""

import asyncio
import socket
import unittest

from swiftdeck.soak import payloads
from swiftdeck.soak.crowd import Crowd, CrowdGroup, CrowdSize
from swiftdeck.wire.link import LENGTH
from swiftdeck.wire.mesh import HEAD
from swiftdeck.wire.messages import NUMBERS, ConfigAsk, MemberList, OutcomeAsk
from tests.crowds.case import MEBIBYTE, CrowdCase, with_many_routes

MANY = CrowdSize(64)
EXCHANGE = 7
COPIES_ASKED, SLOW = 60, CrowdSize(8, pause_s=0.3)
"""How many copies each stranger asks for, slowly enough for a core that goes on meanwhile."""
DATAGRAM_BYTES, DATAGRAMS, DATAGRAM_PAUSE_S = 60000, 2000, 0.002
WAIT_MS = 30000


def frame(message, exchange=EXCHANGE, sender=b"127.0.0.1:1"):
    """Return the frame of a message."""
    head = HEAD.pack(NUMBERS[type(message)], exchange, False, len(sender))
    return head + sender + bytes(message)


def outcome_ask(size):
    """Return a question for the outcome of a change, of some size, that is willing to wait."""
    return OutcomeAsk(change_id="x" * size, wait_ms=WAIT_MS)


class DatagramCrowd(Crowd):
    """Sends many datagrams, at a pace at which their receiver doesn't lose them."""

    def __init__(self, address, data, count):
        super().__init__(address, payloads.nothing, CrowdSize(1))
        self.data, self.count = data, count

    async def _keep_open(self):
        self.opened = 1
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(self.count):
                sender.sendto(self.data, self.peer)
                await asyncio.sleep(DATAGRAM_PAUSE_S)


class NodesTest(CrowdCase):
    def crowd(self, payload, size=MANY, reads=True, document=None):
        """Run one crowd at the address of the router and then one at each core's."""
        self.run_crowds(
            lambda site: [
                Crowd(machine.inner, payload, size, reads)
                for machine in (*site.routers, *site.cores)
            ],
            document,
        )

    def test_frames_that_stop_short_of_their_end(self):
        self.crowd(lambda: payloads.frame_short_of_its_end(60 * MEBIBYTE, 6 * MEBIBYTE))

    def test_frames_announced_far_over_the_limit(self):
        self.crowd(lambda: payloads.frame_short_of_its_end(1 << 31, 1 << 30))

    def test_frames_of_an_unknown_kind(self):
        self.crowd(lambda: payloads.frames(b"\xff" * 1024, 10000))

    def test_configurations_asked_for_whose_copies_are_not_read(self):
        data = LENGTH.pack(len(frame(ConfigAsk()))) + frame(ConfigAsk())

        def payload():
            return [data] * COPIES_ASKED

        self.run_crowds(
            lambda site: [
                CrowdGroup([Crowd(core.inner, payload, SLOW, reads=False) for core in site.cores])
            ],
            with_many_routes,
        )

    def test_lists_of_members_asked_for_that_are_not_read(self):
        self.crowd(lambda: payloads.frames(frame(MemberList()), 50000), CrowdSize(8), reads=False)

    def test_requests_that_wait_for_long(self):
        self.crowd(lambda: payloads.frames(frame(outcome_ask(MEBIBYTE)), 12))

    def test_connections_that_send_nothing(self):
        self.crowd(payloads.nothing, CrowdSize(600, rounds=3))

    def test_connections_that_send_the_beginning_of_a_frame(self):
        self.crowd(lambda: payloads.frame_short_of_its_end(1000, 10), CrowdSize(600, rounds=3))

    def test_datagrams_that_wait_for_long(self):
        data = frame(outcome_ask(DATAGRAM_BYTES))
        self.run_crowds(
            lambda site: [
                CrowdGroup([DatagramCrowd(core.inner, data, DATAGRAMS) for core in site.cores])
            ]
        )


if __name__ == "__main__":
    unittest.main()
