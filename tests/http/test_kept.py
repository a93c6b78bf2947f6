"""Tests of exchanges over one kept connection."""

import asyncio
import unittest
from unittest import mock

from swiftdeck.fault import is_fault
from swiftdeck.http.kept import KeptJson
from swiftdeck.sim.world import World

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d"


class BackEnd(asyncio.Protocol):
    """Numbers its answers; the given ones it gives twice, after a while."""

    def __init__(self, doubled, wait_s):
        self.doubled, self.wait_s, self.count = doubled, wait_s, 0

    def connection_made(self, transport):
        self.transport = transport
        BackEnd.opened += 1

    def data_received(self, data):
        BackEnd.asked += 1
        self.transport.write(ANSWER % BackEnd.asked)
        if BackEnd.asked in self.doubled:
            again = ANSWER % BackEnd.asked
            self.transport.loop.call_later(self.wait_s, self.transport.write, again)


class KeptJsonTest(unittest.TestCase):
    def talk(self, doubled, wait_s):
        """What five exchanges bring, and how many connections they take."""
        world, got = World(), []
        BackEnd.opened = BackEnd.asked = 0

        async def serve():
            loop = asyncio.get_running_loop()
            await loop.create_server(lambda: BackEnd(doubled, wait_s), "10.0.0.1", 80)

        async def call():
            kept = KeptJson("10.0.0.1:80")
            for _ in range(5):
                answer = await kept.fetch("GET", "/")
                got.append(answer.code if is_fault(answer) else answer[1])
                await asyncio.sleep(0.1)
            kept.close()

        world.start("s", "10.0.0.1", serve)
        world.start("c", "10.0.0.2", call)
        world.run(5)
        self.assertEqual(world.faults, [])
        return got, BackEnd.opened

    def test_exchanges_share_a_connection(self):
        self.assertEqual(self.talk((), 0), ([1, 2, 3, 4, 5], 1))

    def test_an_answer_that_comes_twice_is_no_answer_to_the_next_exchange(self):
        for wait_s in (0.0, 0.05):
            self.assertEqual(self.talk((2, 4), wait_s), ([1, 2, 3, 4, 5], 3), wait_s)

    def test_without_a_look_at_what_is_left_over_answers_are_shifted(self):
        trailing = mock.PropertyMock(return_value=(b"", False))
        with mock.patch("h11.Connection.trailing_data", trailing):
            self.assertEqual(self.talk((2,), 0.05)[0], [1, 2, 2, 3, 4])
