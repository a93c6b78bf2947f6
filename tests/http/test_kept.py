"""Tests of `http/kept.py`."""

import asyncio
import unittest
from unittest import mock

from swiftdeck.fault import is_fault
from swiftdeck.http.kept import KeptJson
from swiftdeck.sim.world import World

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d"


class BackEnd(asyncio.Protocol):
    """Numbers its responses, and repeats those in `doubled` after `wait_s` seconds."""

    def __init__(self, doubled, wait_s):
        self.doubled, self.wait_s, self.count = doubled, wait_s, 0

    def connection_made(self, transport):
        self.transport = transport
        BackEnd.opened += 1

    def data_received(self, data):
        BackEnd.requests += 1
        self.transport.write(RESPONSE % BackEnd.requests)
        if BackEnd.requests in self.doubled:
            repeated = RESPONSE % BackEnd.requests
            self.transport.loop.call_later(self.wait_s, self.transport.write, repeated)


class KeptJsonTest(unittest.TestCase):
    def exchange(self, doubled, wait_s):
        """Make five exchanges; return their results and the number of connections used."""
        world, results = World(), []
        BackEnd.opened = BackEnd.requests = 0

        async def serve():
            loop = asyncio.get_running_loop()
            await loop.create_server(lambda: BackEnd(doubled, wait_s), "10.0.0.1", 80)

        async def call():
            connection = KeptJson("10.0.0.1:80")
            for _ in range(5):
                result = await connection.fetch("GET", "/")
                results.append(result.code if is_fault(result) else result[1])
                await asyncio.sleep(0.1)
            connection.close()

        world.start("s", "10.0.0.1", serve)
        world.start("c", "10.0.0.2", call)
        world.run(5)
        self.assertEqual(world.faults, [])
        return results, BackEnd.opened

    def test_exchanges_share_a_connection(self):
        self.assertEqual(self.exchange((), 0), ([1, 2, 3, 4, 5], 1))

    def test_a_repeated_response_does_not_answer_the_next_exchange(self):
        for wait_s in (0.0, 0.05):
            self.assertEqual(self.exchange((2, 4), wait_s), ([1, 2, 3, 4, 5], 3), wait_s)

    def test_without_the_check_for_leftover_bytes_responses_are_shifted(self):
        trailing = mock.PropertyMock(return_value=(b"", False))
        with mock.patch("h11.Connection.trailing_data", trailing):
            self.assertEqual(self.exchange((2,), 0.05)[0], [1, 2, 2, 3, 4])
