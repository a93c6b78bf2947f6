"""Cases of a router and a core of our own interface that stop with exchanges under way."""

import asyncio
import unittest
from unittest import mock

import msgspec

from swiftdeck.bench.checker import check
from swiftdeck.fault import OUTCOME_UNDECIDED, ROUTER_STOPPING, WORKER_LOST, WORKER_SILENT
from swiftdeck.http.client import connect
from swiftdeck.http.server import HttpServer
from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.traffic.call import Call

STOP_MS = 3000
ROUTES = {"check": {"waitMs": 9000, "firstPieceMs": 9000}}


async def waits_forever(*args):
    """A step that doesn't come to its end."""
    await asyncio.Event().wait()


class DrainingCase(unittest.TestCase):
    def cluster(self):
        cluster = SimCluster(5, routers=2, workers=2, stopMs=STOP_MS, leaveMs=100).start()
        self.assertEqual(cluster.change("PATCH", {"routes": ROUTES})[0], 200)
        cluster.world.run(1)
        return cluster

    def stop(self, cluster, name):
        """Tell a process to stop, and let it come to its end; gives the seconds that it took."""
        begun_s, loop, box = cluster.world.now, cluster.world.loops[name], []
        cluster.world.run_in(name, lambda: box.append(loop.create_task(cluster.up[name].stop())))
        self.assertTrue(cluster.world.run(until=lambda: box[0].done(), limit_s=STOP_MS / 1000 + 2))
        self.assertIsNone(box[0].exception())
        cluster.world.kill(name)
        cluster.world.run(0.2)
        return cluster.world.now - begun_s

    def call(self, cluster, name, **more):
        """Begin a call at a router; its result will be in the list."""
        door = cluster.addresses[name]["http"]
        box = cluster.spawn(
            lambda: cluster.caller.call("saga", "check", ["b", "x"], door=door, **more)
        )
        cluster.world.run(0.3)
        return box

    def quirk(self, cluster, quirk):
        for worker in cluster.site.workers:
            cluster.up[worker["name"]].quirk = quirk
            cluster.up[worker["name"]].record("quirk", quirk=quirk)

    def other(self, cluster):
        """A router that coordinates no model."""
        return next(each for each in cluster.router_names() if each != cluster.coordinator())

    def assert_sound(self, cluster):
        self.assertEqual(check(cluster.records, {cluster.site.apart}), {})
        self.assertEqual(cluster.world.faults, [])
        counted = {
            name
            for node in cluster.all.values()
            for name, count in node.counters().items()
            if name.startswith("invariant.") and count
        }
        self.assertEqual(counted, set())

    def test_a_call_that_its_worker_leaves_open_gets_its_final_answer_at_the_end(self):
        cluster = self.cluster()
        self.quirk(cluster, "hang")
        name = self.other(cluster)
        box = self.call(cluster, name)
        self.stop(cluster, name)
        self.assertIn(box[0]["code"], (WORKER_LOST.code, WORKER_SILENT.code))
        self.assertFalse(box[0]["notRun"])
        self.assert_sound(cluster)

    def test_a_call_that_waits_for_a_place_is_promised_not_to_have_run(self):
        cluster = self.cluster()
        name = self.other(cluster)
        with mock.patch.object(Call, "_ask_coordinator", waits_forever):
            box = self.call(cluster, name)
            self.stop(cluster, name)
        self.assertEqual((box[0]["code"], box[0]["notRun"]), (ROUTER_STOPPING.code, True))
        self.assert_sound(cluster)

    def test_a_call_that_comes_after_sigterm_is_refused_at_once(self):
        cluster = self.cluster()
        name = self.other(cluster)
        self.quirk(cluster, "hang")
        first = self.call(cluster, name)
        loop = cluster.world.loops[name]
        cluster.world.run_in(name, lambda: loop.create_task(cluster.up[name].stop()))
        cluster.world.run(0.5)
        late = self.call(cluster, name)
        self.assertEqual((late[0]["code"], late[0]["notRun"]), (ROUTER_STOPPING.code, True))
        self.assertFalse(first)
        cluster.world.run(4)
        self.assertTrue(first)
        self.assert_sound(cluster)

    def test_a_stream_of_decisions_ends_whole(self):
        cluster = self.cluster()
        name = self.other(cluster)

        async def follow():
            ip, _, port = cluster.addresses[name]["http"].rpartition(":")
            link = await connect(ip, int(port))
            got = await link.exchange("GET", "/v1/decisions")
            return await got.whole()

        box = cluster.spawn(follow)
        cluster.world.run(0.5)
        self.assertLess(self.stop(cluster, name), 2.0)
        self.assertIsInstance(box[0], bytes)
        self.assert_sound(cluster)

    def stream_of_changes(self, cluster, name):
        """An operator's stream of changes that stays open; what came back will be in the list."""

        async def send():
            ip, _, port = cluster.addresses[name]["http"].rpartition(":")
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

        return cluster.spawn(send)

    def test_a_stream_of_changes_at_a_core_ends_whole(self):
        cluster = self.cluster()
        name = cluster.core_names()[-1]
        box = self.stream_of_changes(cluster, name)
        cluster.world.run(0.5)
        self.stop(cluster, name)
        self.assertTrue(box[0].endswith(b"0\r\n\r\n"), box[0])
        self.assert_sound(cluster)

    def test_an_operator_whose_change_is_under_way_hears_that_its_outcome_is_undecided(self):
        cluster = self.cluster()
        name = cluster.core_names()[-1]
        box = []
        with mock.patch.object(cluster.up[name].change_writer, "write", waits_forever):
            box = cluster.spawn(lambda: self.put(cluster, name))
            cluster.world.run(0.5)
            self.stop(cluster, name)
        self.assertEqual(
            (box[0][0], box[0][1]["code"]), (OUTCOME_UNDECIDED.status, OUTCOME_UNDECIDED.code)
        )
        self.assert_sound(cluster)

    async def put(self, cluster, name):
        """One change at a core, as it is answered."""
        ip, _, port = cluster.addresses[name]["http"].rpartition(":")
        link = await connect(ip, int(port))
        got = await link.exchange("PATCH", "/v1/config?base=1", [], b"{}")
        return got.status, msgspec.json.decode(await got.whole())

    def test_without_a_last_answer_the_invariant_catches_what_is_cut(self):
        cluster = self.cluster()
        name = cluster.core_names()[-1]

        async def cuts_all(server, limit_s, fault):
            for each in list(server.open):
                each.abort()
            await asyncio.sleep(0.01)

        with (
            mock.patch.object(cluster.up[name].change_writer, "write", waits_forever),
            mock.patch.object(HttpServer, "finish", cuts_all),
        ):
            cluster.spawn(lambda: self.put(cluster, name))
            cluster.world.run(0.5)
            self.stop(cluster, name)
        self.assertEqual(cluster.counters()["invariant.requestsCut"], 1)
