"""Tests of `wire/mesh.py`."""

import asyncio
import socket
import unittest
from unittest import mock

from swiftdeck.fault import BAD_FRAME, PEER_TIMEOUT, PEER_UNREACHABLE, UNKNOWN_KIND
from swiftdeck.sim.world import World
from swiftdeck.wire.link import Link
from swiftdeck.wire.mesh import HEAD, Mesh
from swiftdeck.wire.messages import NUMBERS, Done, ListAsk, ListReturn


class MeshTest(unittest.TestCase):
    def test_a_request_gets_its_response_and_a_malformed_frame_does_no_harm(self):
        world, meshes = World(), {}

        async def serve():
            mesh = meshes["a"] = Mesh("10.0.0.1:7000")
            mesh.register(ListAsk, lambda message, sender: ListReturn(age_ms=5))
            await mesh.start()

        async def run():
            mesh = Mesh("10.0.0.2:7000")
            await mesh.start()
            transport, _ = await asyncio.get_running_loop().create_connection(
                asyncio.Protocol, "10.0.0.1", 7000
            )
            transport.write(b"\x00\x00\x00\x05\xff\xff\xff\xff\xff")
            first = await mesh.request("10.0.0.1:7000", ListAsk())
            second = await mesh.request("10.0.0.1:7000", Done())
            third = await mesh.request("10.0.0.9:7000", ListAsk())
            return first.age_ms, second.code, third.code

        world.start("a", "10.0.0.1", serve)
        world.start("b", "10.0.0.2", lambda: asyncio.sleep(0))
        self.assertEqual(world.run_task("b", run), (5, UNKNOWN_KIND.code, PEER_UNREACHABLE.code))
        self.assertEqual(meshes["a"].count["faults.%d" % BAD_FRAME.code], 1)

    def test_a_response_is_accepted_only_on_the_link_of_its_request(self):
        world, meshes = World(), {}

        async def answer_late(message, sender):
            await asyncio.sleep(0.2)
            return ListReturn(age_ms=5)

        async def serve():
            mesh = Mesh("10.0.0.1:7000")
            mesh.register(ListAsk, answer_late)
            await mesh.start()

        def encode_response(exchange):
            head = HEAD.pack(NUMBERS[ListReturn], exchange, True, 0)
            return head + bytes(ListReturn(age_ms=99))

        async def run():
            mesh = meshes["b"] = Mesh("10.0.0.2:7000")
            await mesh.start()
            request = asyncio.ensure_future(mesh.request("10.0.0.1:7000", ListAsk()))
            await asyncio.sleep(0.1)
            exchange = next(iter(mesh.pending))
            frame = encode_response(exchange)
            transport, _ = await asyncio.get_running_loop().create_connection(
                asyncio.Protocol, "10.0.0.2", 7000
            )
            transport.write(len(frame).to_bytes(4, "big") + frame)
            mesh.datagrams.sendto(frame, ("10.0.0.2", 7000))
            return (await request).age_ms

        world.start("a", "10.0.0.1", serve)
        world.start("b", "10.0.0.2", lambda: asyncio.sleep(0))
        self.assertEqual(world.run_task("b", run), 5)
        self.assertEqual(meshes["b"].count["returnsMisplaced"], 2)

    def request_in_pieces(self, receiving_timeout_ms, piece_interval_s):
        """Send a request whose response arrives in pieces; return the result and the seconds."""
        world = World()
        body = bytes(ListReturn(age_ms=5, body=b"x" * 4000))

        class SlowPeer(asyncio.Protocol):
            def connection_made(self, transport):
                self.transport = transport

            def data_received(self, data):
                _, exchange, _, _ = HEAD.unpack_from(data, 4)
                frame = HEAD.pack(NUMBERS[ListReturn], exchange, True, 0) + body
                data = len(frame).to_bytes(4, "big") + frame
                for offset in range(0, len(data), 512):
                    piece = data[offset : offset + 512]
                    delay_s = piece_interval_s * (offset // 512)
                    asyncio.get_running_loop().call_later(delay_s, self.transport.write, piece)

        async def serve():
            await asyncio.get_running_loop().create_server(SlowPeer, "10.0.0.1", 7000)

        async def run():
            mesh = Mesh("10.0.0.2:7000")
            await mesh.start()
            start_s = asyncio.get_running_loop().time()
            response = await mesh.request("10.0.0.1:7000", ListAsk(), 300, receiving_timeout_ms)
            return response, asyncio.get_running_loop().time() - start_s

        world.start("a", "10.0.0.1", serve)
        world.start("b", "10.0.0.2", lambda: asyncio.sleep(0))
        return world.run_task("b", run)

    def test_only_a_response_that_is_being_received_extends_the_timeout(self):
        response, elapsed_s = self.request_in_pieces(2000, 0.1)
        self.assertEqual(response.age_ms, 5)
        self.assertGreater(elapsed_s, 0.7)
        response, elapsed_s = self.request_in_pieces(0, 0.1)
        self.assertEqual(response.code, PEER_TIMEOUT.code)
        self.assertLess(elapsed_s, 0.35)
        response, elapsed_s = self.request_in_pieces(2000, 0.9)
        self.assertEqual(response.code, PEER_TIMEOUT.code)
        self.assertLess(elapsed_s, 1.2)

    def test_a_message_to_several_addresses_is_encoded_once(self):
        world, received, encoded = World(), [], []
        addrs = [f"10.0.0.{host}:7000" for host in (2, 3, 4)]

        def listen(addr):
            async def main():
                mesh = Mesh(addr)
                mesh.register(
                    ListReturn, lambda message, sender: received.append((addr, message.age_ms))
                )
                await mesh.start()

            return main

        async def send():
            mesh = Mesh("10.0.0.1:7000")
            encode = mesh._encode
            mesh._encode = lambda *args: encoded.append(args) or encode(*args)
            await mesh.start()
            mesh.send_all(addrs, ListReturn(age_ms=1))
            mesh.send_datagrams(addrs, ListReturn(age_ms=2))
            await asyncio.sleep(0.5)
            return dict(mesh.sent), mesh.sent_bytes["ListReturn"]

        for host, addr in enumerate(addrs, 2):
            world.start(addr, f"10.0.0.{host}", listen(addr))
        world.start("a", "10.0.0.1", lambda: asyncio.sleep(0))
        sent, size = world.run_task("a", send)
        self.assertEqual(sorted(received), [(addr, age) for addr in addrs for age in (1, 2)])
        self.assertEqual((len(encoded), sent), (2, {"ListReturn": 6}))
        self.assertGreater(size, 0)

    def request_with_trickle(self, pieces):
        """Send a request with a 300 ms timeout; its response arrives in tenths, 0.1 s apart.

        Only the first `pieces` tenths are sent. Returns the result and the seconds it took.
        """
        world = World()

        def trickle(link, data):
            framed = len(data).to_bytes(4, "big") + data
            loop, size = asyncio.get_running_loop(), len(framed) // 10 + 1
            for index in range(pieces):
                part = framed[index * size : (index + 1) * size]
                loop.call_later(0.1 * index, link.transport.write, part)
            return True

        async def serve():
            mesh = Mesh("10.0.0.1:7000")
            mesh.register(ListAsk, lambda message, sender: ListReturn(body=b"x" * 9000))
            await mesh.start()

        async def run():
            mesh = Mesh("10.0.0.2:7000")
            await mesh.start()
            await mesh.request("10.0.0.1:7000", Done())
            start_s = asyncio.get_running_loop().time()
            with mock.patch.object(Link, "send", patched):
                response = await mesh.request("10.0.0.1:7000", ListAsk(), 300, 2000)
            return response, asyncio.get_running_loop().time() - start_s

        send = Link.send

        def patched(link, data):
            return trickle(link, data) if len(data) > 9000 else send(link, data)

        world.start("a", "10.0.0.1", serve)
        world.start("b", "10.0.0.2", lambda: asyncio.sleep(0))
        return world.run_task("b", run)

    def test_a_response_that_trickles_in_is_awaited(self):
        response, elapsed_s = self.request_with_trickle(10)
        self.assertEqual((len(response.body), round(elapsed_s, 1)), (9000, 0.9))

    def test_a_response_that_stops_midway_times_out(self):
        response, elapsed_s = self.request_with_trickle(5)
        self.assertEqual(response.code, PEER_TIMEOUT.code)
        self.assertLess(elapsed_s, 1.2)


class ClosedTest(unittest.TestCase):
    async def send_after_close(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            addr = "127.0.0.1:%d" % free.getsockname()[1]
        mesh = Mesh(addr)
        await mesh.start()
        mesh.close()
        await asyncio.sleep(0)
        mesh.send_datagram(addr, ListAsk())
        return mesh.count["castsFailed"], mesh.sent["ListAsk"]

    def test_a_datagram_after_the_close_is_not_sent(self):
        """Uses a real socket, whose closed transport would raise an exception of its own."""
        self.assertEqual(asyncio.run(self.send_after_close()), (0, 0))
