"""Cases of a router and a core of our own interface that stop with exchanges under way."""

import asyncio
import unittest
from unittest import mock

import msgspec

from swiftdeck.bench.checker import check
from swiftdeck.fault import STOPPING, UNDECIDED, WORKER_HANGS, WORKER_LOST
from swiftdeck.http.client import connect
from swiftdeck.http.server import HttpServer
from swiftdeck.sim.town import Town
from swiftdeck.traffic.call import Call

STOP_MS = 3000
ROUTES = {"check": {"waitMs": 9000, "firstPieceMs": 9000}}


async def waits_forever(*args):
    """A step that doesn't come to its end."""
    await asyncio.Event().wait()


class DrainingCase(unittest.TestCase):
    def town(self):
        town = Town(5, routers=2, workers=2, stopMs=STOP_MS, leaveMs=100).start()
        self.assertEqual(town.change("PATCH", {"routes": ROUTES})[0], 200)
        town.world.run(1)
        return town

    def stop(self, town, name):
        """Tell a process to stop, and let it come to its end; gives the seconds that it took."""
        begun_s, loop, box = town.world.now, town.world.loops[name], []
        town.world.run_in(name, lambda: box.append(loop.create_task(town.up[name].stop())))
        self.assertTrue(town.world.run(until=lambda: box[0].done(), limit_s=STOP_MS / 1000 + 2))
        self.assertIsNone(box[0].exception())
        town.world.kill(name)
        town.world.run(0.2)
        return town.world.now - begun_s

    def call(self, town, name, **more):
        """Begin a call at a router; its result will be in the list."""
        door = town.addresses[name]["http"]
        box = town.spawn(lambda: town.caller.call("saga", "check", ["b", "x"], door=door, **more))
        town.world.run(0.3)
        return box

    def quirk(self, town, quirk):
        for worker in town.site.workers:
            town.up[worker["name"]].quirk = quirk
            town.up[worker["name"]].record("quirk", quirk=quirk)

    def other(self, town):
        """A router that coordinates no model."""
        return next(each for each in town.router_names() if each != town.keeper())

    def assert_sound(self, town):
        self.assertEqual(check(town.records, {town.site.apart}), {})
        self.assertEqual(town.world.faults, [])
        counted = {
            name
            for node in town.all.values()
            for name, count in node.counters().items()
            if name.startswith("invariant.") and count
        }
        self.assertEqual(counted, set())

    def test_a_call_that_its_worker_leaves_open_gets_its_final_answer_at_the_end(self):
        town = self.town()
        self.quirk(town, "hang")
        name = self.other(town)
        box = self.call(town, name)
        self.stop(town, name)
        self.assertIn(box[0]["code"], (WORKER_LOST.code, WORKER_HANGS.code))
        self.assertFalse(box[0]["notRun"])
        self.assert_sound(town)

    def test_a_call_that_waits_for_a_place_is_promised_not_to_have_run(self):
        town = self.town()
        name = self.other(town)
        with mock.patch.object(Call, "_ask_keeper", waits_forever):
            box = self.call(town, name)
            self.stop(town, name)
        self.assertEqual((box[0]["code"], box[0]["notRun"]), (STOPPING.code, True))
        self.assert_sound(town)

    def test_a_call_that_comes_after_sigterm_is_refused_at_once(self):
        town = self.town()
        name = self.other(town)
        self.quirk(town, "hang")
        first = self.call(town, name)
        loop = town.world.loops[name]
        town.world.run_in(name, lambda: loop.create_task(town.up[name].stop()))
        town.world.run(0.5)
        late = self.call(town, name)
        self.assertEqual((late[0]["code"], late[0]["notRun"]), (STOPPING.code, True))
        self.assertFalse(first)
        town.world.run(4)
        self.assertTrue(first)
        self.assert_sound(town)

    def test_a_stream_of_decisions_ends_whole(self):
        town = self.town()
        name = self.other(town)

        async def follow():
            ip, _, port = town.addresses[name]["http"].rpartition(":")
            link = await connect(ip, int(port))
            got = await link.exchange("GET", "/v1/decisions")
            return await got.whole()

        box = town.spawn(follow)
        town.world.run(0.5)
        self.assertLess(self.stop(town, name), 2.0)
        self.assertIsInstance(box[0], bytes)
        self.assert_sound(town)

    def stream_of_changes(self, town, name):
        """An operator's stream of changes that stays open; what came back will be in the list."""

        async def send():
            ip, _, port = town.addresses[name]["http"].rpartition(":")
            link = await connect(ip, int(port))
            link.transport.write(
                b"POST /v1/changes HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\n{}\n\r\n"
            )
            got = bytearray()
            link.data_received = got.extend
            while not link.gone:
                await asyncio.sleep(0.05)
            return bytes(got)

        return town.spawn(send)

    def test_a_stream_of_changes_at_a_core_ends_whole(self):
        town = self.town()
        name = town.core_names()[-1]
        box = self.stream_of_changes(town, name)
        town.world.run(0.5)
        self.stop(town, name)
        self.assertTrue(box[0].endswith(b"0\r\n\r\n"), box[0])
        self.assert_sound(town)

    def test_an_operator_whose_change_is_under_way_hears_that_its_outcome_is_undecided(self):
        town = self.town()
        name = town.core_names()[-1]
        box = []
        with mock.patch.object(town.up[name].change_writer, "write", waits_forever):
            box = town.spawn(lambda: self.put(town, name))
            town.world.run(0.5)
            self.stop(town, name)
        self.assertEqual((box[0][0], box[0][1]["code"]), (UNDECIDED.status, UNDECIDED.code))
        self.assert_sound(town)

    async def put(self, town, name):
        """One change at a core, as it is answered."""
        ip, _, port = town.addresses[name]["http"].rpartition(":")
        link = await connect(ip, int(port))
        got = await link.exchange("PATCH", "/v1/config?base=1", [], b"{}")
        return got.status, msgspec.json.decode(await got.whole())

    def test_without_a_last_answer_the_invariant_catches_what_is_cut(self):
        town = self.town()
        name = town.core_names()[-1]

        async def cuts_all(server, limit_s, fault):
            for each in list(server.open):
                each.abort()
            await asyncio.sleep(0.01)

        with (
            mock.patch.object(town.up[name].change_writer, "write", waits_forever),
            mock.patch.object(HttpServer, "finish", cuts_all),
        ):
            town.spawn(lambda: self.put(town, name))
            town.world.run(0.5)
            self.stop(town, name)
        self.assertEqual(town.counters()["invariant.requestsCut"], 1)
