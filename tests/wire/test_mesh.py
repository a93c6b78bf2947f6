"""Tests of `wire/mesh.py`."""

import asyncio
import socket
import unittest
from unittest import mock

from swiftdeck.fault import BAD_FRAME, PEER_TIMEOUT, PEER_UNREACHABLE, UNKNOWN_KIND
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import HEAD, Link, Mesh
from swiftdeck.wire.messages import NUMBERS, Done, ListAsk, ListReturn


class MeshTest(unittest.TestCase):
    def test_ask_returns_and_bad_frames_do_not_harm(self):
        world, meshes = World(), {}

        async def serve():
            mesh = meshes["a"] = Mesh("10.0.0.1:7000")
            mesh.register(ListAsk, lambda message, sender: ListReturn(age_ms=5))
            await mesh.start()

        async def ask():
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
        self.assertEqual(world.run_task("b", ask), (5, UNKNOWN_KIND.code, PEER_UNREACHABLE.code))
        self.assertEqual(meshes["a"].count["faults.%d" % BAD_FRAME.code], 1)

    def test_a_return_counts_only_on_the_link_of_its_question(self):
        world, meshes = World(), {}

        async def answer_late(message, sender):
            await asyncio.sleep(0.2)
            return ListReturn(age_ms=5)

        async def serve():
            mesh = Mesh("10.0.0.1:7000")
            mesh.register(ListAsk, answer_late)
            await mesh.start()

        def foreign_return(exchange):
            head = HEAD.pack(NUMBERS[ListReturn], exchange, True, 0)
            return head + bytes(ListReturn(age_ms=99))

        async def ask():
            mesh = meshes["b"] = Mesh("10.0.0.2:7000")
            await mesh.start()
            asking = asyncio.ensure_future(mesh.request("10.0.0.1:7000", ListAsk()))
            await asyncio.sleep(0.1)
            exchange = next(iter(mesh.asked))
            frame = foreign_return(exchange)
            transport, _ = await asyncio.get_running_loop().create_connection(
                asyncio.Protocol, "10.0.0.2", 7000
            )
            transport.write(len(frame).to_bytes(4, "big") + frame)
            mesh.datagrams.sendto(frame, ("10.0.0.2", 7000))
            return (await asking).age_ms

        world.start("a", "10.0.0.1", serve)
        world.start("b", "10.0.0.2", lambda: asyncio.sleep(0))
        self.assertEqual(world.run_task("b", ask), 5)
        self.assertEqual(meshes["b"].count["returnsMisplaced"], 2)

    def slow_answer(self, while_heard_ms, piece_s):
        """Ask over a link where the answer comes in pieces; gives what came, and after how long."""
        world = World()
        body = bytes(ListReturn(age_ms=5, body=b"x" * 4000))

        class Slow(asyncio.Protocol):
            def connection_made(self, transport):
                self.transport = transport

            def data_received(self, data):
                _, exchange, _, _ = HEAD.unpack_from(data, 4)
                frame = HEAD.pack(NUMBERS[ListReturn], exchange, True, 0) + body
                data = len(frame).to_bytes(4, "big") + frame
                for at in range(0, len(data), 512):
                    piece = data[at : at + 512]
                    delay_s = piece_s * (at // 512)
                    asyncio.get_running_loop().call_later(delay_s, self.transport.write, piece)

        async def serve():
            await asyncio.get_running_loop().create_server(Slow, "10.0.0.1", 7000)

        async def ask():
            mesh = Mesh("10.0.0.2:7000")
            await mesh.start()
            start_s = asyncio.get_running_loop().time()
            got = await mesh.request("10.0.0.1:7000", ListAsk(), 300, while_heard_ms)
            return got, asyncio.get_running_loop().time() - start_s

        world.start("a", "10.0.0.1", serve)
        world.start("b", "10.0.0.2", lambda: asyncio.sleep(0))
        return world.run_task("b", ask)

    def test_an_answer_that_still_comes_in_is_waited_for_and_no_other(self):
        got, took_s = self.slow_answer(2000, 0.1)
        self.assertEqual(got.age_ms, 5)
        self.assertGreater(took_s, 0.7)
        got, took_s = self.slow_answer(0, 0.1)
        self.assertEqual(got.code, PEER_TIMEOUT.code)
        self.assertLess(took_s, 0.35)
        got, took_s = self.slow_answer(2000, 0.9)
        self.assertEqual(got.code, PEER_TIMEOUT.code)
        self.assertLess(took_s, 1.2)

    def test_what_many_are_told_is_written_out_once(self):
        world, heard, written = World(), [], []
        addrs = [f"10.0.0.{at}:7000" for at in (2, 3, 4)]

        def listens(addr):
            async def main():
                mesh = Mesh(addr)
                mesh.register(
                    ListReturn, lambda message, sender: heard.append((addr, message.age_ms))
                )
                await mesh.start()

            return main

        async def tell():
            mesh = Mesh("10.0.0.1:7000")
            write = mesh._envelope
            mesh._envelope = lambda *what: written.append(what) or write(*what)
            await mesh.start()
            mesh.send_all(addrs, ListReturn(age_ms=1))
            mesh.send_datagrams(addrs, ListReturn(age_ms=2))
            await asyncio.sleep(0.5)
            return dict(mesh.sent), mesh.sent_bytes["ListReturn"]

        for at, addr in enumerate(addrs, 2):
            world.start(addr, f"10.0.0.{at}", listens(addr))
        world.start("a", "10.0.0.1", lambda: asyncio.sleep(0))
        sent, size = world.run_task("a", tell)
        self.assertEqual(sorted(heard), [(addr, age) for addr in addrs for age in (1, 2)])
        self.assertEqual((len(written), sent), (2, {"ListReturn": 6}))
        self.assertGreater(size, 0)

    def slow_return(self, pieces):
        """What a question with 300 ms of patience gets, and when, if its return trickles in."""
        world = World()

        def trickle(link, data):
            framed = len(data).to_bytes(4, "big") + data
            loop, size = asyncio.get_running_loop(), len(framed) // 10 + 1
            for at in range(pieces):
                part = framed[at * size : (at + 1) * size]
                loop.call_later(0.1 * at, link.transport.write, part)
            return True

        async def serve():
            mesh = Mesh("10.0.0.1:7000")
            mesh.register(ListAsk, lambda message, sender: ListReturn(body=b"x" * 9000))
            await mesh.start()

        async def ask():
            mesh = Mesh("10.0.0.2:7000")
            await mesh.start()
            await mesh.request("10.0.0.1:7000", Done())
            start_s = asyncio.get_running_loop().time()
            with mock.patch.object(Link, "send", patched):
                got = await mesh.request("10.0.0.1:7000", ListAsk(), 300, 2000)
            return got, asyncio.get_running_loop().time() - start_s

        send = Link.send

        def patched(link, data):
            return trickle(link, data) if len(data) > 9000 else send(link, data)

        world.start("a", "10.0.0.1", serve)
        world.start("b", "10.0.0.2", lambda: asyncio.sleep(0))
        return world.run_task("b", ask)

    def test_a_return_that_is_coming_in_is_waited_for(self):
        got, took_s = self.slow_return(10)
        self.assertEqual((len(got.body), round(took_s, 1)), (9000, 0.9))

    def test_a_return_that_stops_midway_is_given_up(self):
        got, took_s = self.slow_return(5)
        self.assertEqual(got.code, PEER_TIMEOUT.code)
        self.assertLess(took_s, 1.2)


class ClosedTest(unittest.TestCase):
    async def cast_after_close(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            addr = "127.0.0.1:%d" % free.getsockname()[1]
        mesh = Mesh(addr)
        await mesh.start()
        mesh.close()
        await asyncio.sleep(0)
        mesh.send_datagram(addr, ListAsk())
        return mesh.count["castsFailed"], mesh.sent["ListAsk"]

    def test_a_cast_of_a_mesh_that_is_closed_is_nothing(self):
        """On a real socket, whose transport fails by an exception of its own once it is closed."""
        self.assertEqual(asyncio.run(self.cast_after_close()), (0, 0))
