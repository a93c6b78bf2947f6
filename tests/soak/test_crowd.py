"""Tests of `soak/crowd.py`."""

import asyncio
import unittest

from swiftdeck.soak.crowd import Crowd, CrowdSize

UNREAD_BYTES = 8 << 20
"""More than the kernel takes for a peer that reads nothing yet."""


class CrowdTest(unittest.TestCase):
    def test_a_crowd_ends_beside_a_connection_that_closed_once_its_bytes_were_taken(self):
        async def meet():
            writers = []
            server = await asyncio.start_server(
                lambda reader, writer: writers.append((reader, writer)), "127.0.0.1", 0, limit=1
            )
            _, port = server.sockets[0].getsockname()
            crowd = Crowd(f"127.0.0.1:{port}", lambda: [b"x" * UNREAD_BYTES], CrowdSize(1))
            crowd.start()
            async with asyncio.timeout(20):
                while not writers:
                    await asyncio.sleep(0.01)
                ((reader, writer),) = writers
                writer.write_eof()
                (connection,) = crowd.connections
                while not connection.transport.is_closing():
                    await asyncio.sleep(0)
                await reader.read(UNREAD_BYTES)
                while not connection.is_closed:
                    await reader.read(UNREAD_BYTES)
                await crowd.close()
            writer.close()
            server.close()
            return connection.is_closed

        self.assertTrue(asyncio.run(meet()))


if __name__ == "__main__":
    unittest.main()
