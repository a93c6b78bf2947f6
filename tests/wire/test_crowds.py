"""Tests of `wire/link.py` and `wire/mesh.py` with strangers that keep to no limit."""

import asyncio
import unittest
from unittest import mock

from swiftdeck.sim.world import World
from swiftdeck.wire.limits import MeshLimits
from swiftdeck.wire.link import FRAMES_AT_ONCE, FRAMES_PER_TURN, LENGTH, Link
from swiftdeck.wire.mesh import HEAD, Mesh
from swiftdeck.wire.messages import NUMBERS, ListAsk, ListReturn

FRAME_BYTES = 100000


def frame(message, exchange=0):
    """Return the frame of a message with its length before it."""
    data = HEAD.pack(NUMBERS[type(message)], exchange, False, 0) + bytes(message)
    return LENGTH.pack(len(data)) + data


async def make_link(mesh):
    """Return a link, which needs a running loop."""
    return Link(mesh)


class Stranger(asyncio.Protocol):
    """A process that writes pieces to a node and keeps its connection."""

    def __init__(self, *pieces, reads=True):
        self.pieces, self.reads, self.received, self.is_closed = pieces, reads, bytearray(), False

    def connection_made(self, transport):
        if not self.reads:
            transport.pause_reading()
        for piece in self.pieces:
            transport.write(piece)

    def data_received(self, data):
        self.received += data

    def connection_lost(self, error):
        self.is_closed = True


class CrowdTest(unittest.TestCase):
    def setUp(self):
        self.world, self.meshes = World(), []

    def serve(self, by_kind=None, **limits):
        """Start a mesh at 10.0.0.1:7000, with the handlers of some kinds of messages."""

        async def start():
            self.meshes.append(Mesh("10.0.0.1:7000", limits=MeshLimits(**limits)))
            for kind, handler in (by_kind or {}).items():
                self.meshes[0].register(kind, handler)
            await self.meshes[0].start()

        self.world.start("node", "10.0.0.1", start)
        self.world.run(1)
        return self.meshes[0]

    def connect(self, *strangers):
        """Let strangers connect to the mesh, one after another."""

        async def connect():
            for stranger in strangers:
                await asyncio.get_running_loop().create_connection(
                    lambda stranger=stranger: stranger, "10.0.0.1", 7000
                )

        self.world.start("strangers", "10.0.0.2", connect)
        self.world.run(1)
        return strangers

    def test_partial_frames_wait_in_no_more_memory_than_there_is_for_them(self):
        mesh = self.serve(partial_frame_bytes=3 * FRAME_BYTES)
        piece = LENGTH.pack(2 * FRAME_BYTES) + b"x" * (FRAME_BYTES - LENGTH.size)
        strangers = self.connect(*(Stranger(piece) for _ in range(5)))
        closed = [stranger.is_closed for stranger in strangers]
        self.assertEqual(closed, [True, True, False, False, False])
        self.assertEqual(mesh.partial_frames.used_bytes, 3 * FRAME_BYTES)
        (too_large,) = self.connect(Stranger(LENGTH.pack(3 * FRAME_BYTES)))
        self.assertTrue(too_large.is_closed)

    def test_a_frame_that_arrives_whole_gives_its_memory_back(self):
        received = []
        mesh = self.serve({ListReturn: lambda message, sender: received.append(message)})
        data = frame(ListReturn(body=b"x" * FRAME_BYTES))
        self.connect(Stranger(data[:50000], data[50000:] + data[:10], data[10:]))
        self.assertEqual([len(message.body) for message in received], [FRAME_BYTES] * 2)
        self.assertEqual(mesh.partial_frames.used_bytes, 0)

    def test_messages_wait_in_no_more_memory_than_there_is_for_them(self):
        async def wait(message, sender):
            await asyncio.sleep(10)

        mesh = self.serve({ListReturn: wait}, handled_message_bytes=3 * FRAME_BYTES)
        data = frame(ListReturn(body=b"x" * (FRAME_BYTES - 50)), exchange=7)
        strangers = self.connect(*(Stranger(data) for _ in range(5)))
        refused = [bool(stranger.received) for stranger in strangers]
        self.assertEqual(refused, [False] * 3 + [True] * 2)
        self.assertLessEqual(mesh.handled_messages.used_bytes, 3 * FRAME_BYTES)
        self.world.run(15)
        self.assertEqual((mesh.handled_messages.used_bytes, mesh.handler_count), (0, 0))

    def test_few_handlers_wait_at_a_time_and_some_of_each_link(self):
        async def wait(message, sender):
            await asyncio.sleep(10)

        limits = {"handlers": 10, "link_handlers": 8, "link_handlers_kept": 2}
        mesh = self.serve({ListReturn: wait, ListAsk: lambda *_: ListReturn()}, **limits)
        many = frame(ListReturn()) * 20
        self.connect(Stranger(many))
        self.assertEqual(mesh.handler_count, 8)
        self.connect(Stranger(many))
        self.assertEqual(mesh.handler_count, 10)
        _, asking = self.connect(Stranger(many), Stranger(frame(ListAsk(), exchange=1)))
        self.assertEqual(mesh.handler_count, 12)
        self.assertTrue(asking.received)

    def test_a_message_over_the_limit_of_its_kind_is_refused(self):
        received = []
        mesh = self.serve()
        mesh.register(ListReturn, lambda *_: received.append(1), size_limit=FRAME_BYTES)
        body = b"x" * FRAME_BYTES
        (stranger,) = self.connect(Stranger(frame(ListReturn(body=body), exchange=1)))
        self.assertEqual((received, bool(stranger.received)), ([], True))

    def test_unread_messages_wait_in_no_more_memory_than_there_is_for_them(self):
        body = b"x" * FRAME_BYTES
        limits = {"unread_message_bytes": 10 * FRAME_BYTES}
        mesh = self.serve({ListAsk: lambda *_: ListReturn(body=body)}, **limits)
        asks = frame(ListAsk(), exchange=1)
        self.connect(*(Stranger(asks * count, reads=False) for count in (20, 3, 5)))
        unread = sorted(link.unread_bytes() // FRAME_BYTES for link in mesh.links)
        self.assertEqual(unread, [3, 5])
        (reader,) = self.connect(Stranger(asks))
        self.assertGreater(len(reader.received), FRAME_BYTES)

    def test_messages_to_nodes_out_of_reach_wait_in_no_more_memory_than_there_is(self):
        mesh = self.serve(unread_message_bytes=3 * FRAME_BYTES)
        self.world.net.vanished.add("10.0.0.9")
        message = ListReturn(body=b"x" * (FRAME_BYTES - 50))

        async def send():
            for _ in range(5):
                mesh.send("10.0.0.9:7000", message)
            return mesh.waiting_bytes, mesh.count["sendsDropped"]

        waiting_bytes, dropped = self.world.run_task("node", send)
        self.assertLessEqual(waiting_bytes, 3 * FRAME_BYTES)
        self.assertEqual(dropped, 2)
        self.world.run(5)
        self.assertEqual(mesh.waiting_bytes, 0)

    def test_a_new_link_takes_the_place_of_the_one_that_has_been_silent_longest(self):
        mesh = self.serve({ListAsk: lambda *_: ListReturn()}, links=3)
        (node,) = self.connect(Stranger(frame(ListAsk(), exchange=1)))
        first, second = self.connect(Stranger(), Stranger(b"\0\0"))
        third, fourth = self.connect(Stranger(), Stranger())
        strangers = (node, first, second, third, fourth)
        closed = [stranger.is_closed for stranger in strangers]
        self.assertEqual(closed, [False, True, True, False, False])
        self.assertEqual(len(mesh.links), 3)

    def test_many_frames_of_many_links_leave_others_their_turn(self):
        received, at_once, in_turn = [], [], []

        def counting(counts, original):
            def counted(owner, *args):
                before = len(received)
                original(owner, *args)
                counts.append(len(received) - before)

            return counted

        self.serve({ListReturn: lambda message, sender: received.append(message)})
        count, links = 10 * FRAMES_PER_TURN, 5
        many = b"".join(frame(ListReturn(age_ms=1)) for _ in range(count))
        with (
            mock.patch.object(Link, "data_received", counting(at_once, Link.data_received)),
            mock.patch.object(Mesh, "_give_turn", counting(in_turn, Mesh._give_turn)),
        ):
            self.connect(*(Stranger(many) for _ in range(links)))
        self.assertEqual(len(received), count * links)
        self.assertEqual((max(at_once), max(in_turn)), (FRAMES_AT_ONCE, FRAMES_PER_TURN))

    def test_requests_are_dropped_once_their_link_is_gone(self):
        received = []
        mesh = self.serve({ListAsk: lambda *_: received.append(1)})
        link = self.world.run_task("node", lambda: make_link(mesh))
        link.transport, link.gone = mock.Mock(), True
        for exchange, handled in ((1, 0), (0, 1)):
            mesh.receive(frame(ListAsk(), exchange)[LENGTH.size :], link)
            self.assertEqual(len(received), handled)

    def test_a_node_gets_its_answer_while_strangers_wait(self):
        self.serve({ListAsk: lambda message, sender: ListReturn(age_ms=5)})
        self.connect(*(Stranger(LENGTH.pack(1000) + b"x") for _ in range(10)))

        async def ask():
            mesh = Mesh("10.0.0.3:7000")
            await mesh.start()
            return await mesh.request("10.0.0.1:7000", ListAsk())

        self.world.start("other", "10.0.0.3", lambda: asyncio.sleep(0))
        self.assertEqual(self.world.run_task("other", ask).age_ms, 5)


if __name__ == "__main__":
    unittest.main()
