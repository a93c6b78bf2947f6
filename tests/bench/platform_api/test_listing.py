"""Tests of the stand-in for the list of workers, read by the adapter."""

import asyncio
import unittest

from swiftdeck.bench.platform_api.listing import WorkerList
from swiftdeck.bench.record import ListRecord
from swiftdeck.fault import is_fault
from swiftdeck.platform.lists import PlatformList
from swiftdeck.sim.world import World


class ListingTest(unittest.TestCase):
    def setUp(self):
        self.world, self.items = World(1), []
        self.list = WorkerList(
            "10.0.0.9:80",
            ListRecord(self.items, "list", lambda: self.world.now),
            lag_ms=400,
            rate_per_s=5,
            page=2,
        )
        self.world.start("list", "10.0.0.9", self.list.start)
        self.world.start("here", "10.0.0.1", lambda: asyncio.sleep(0))
        self.world.run(0.1)

    def show(self, *names, state="ready"):
        entries = [
            {"id": name, "backend": "b", "address": "10.1.1.1:80", "server-state": state}
            for name in names
        ]
        self.world._within(self.world.loops["list"], lambda: self.list.show(entries))

    def read(self):
        return self.world.run_task("here", PlatformList("10.0.0.9:80").read)

    def names(self):
        return [worker.name for worker in self.read()]

    def test_entries_appear_after_the_lag(self):
        self.show("w1")
        self.assertEqual(self.names(), [])
        self.world.run(0.4)
        self.assertEqual(self.names(), ["w1"])

    def test_pages_and_rate_limit(self):
        self.show(*(f"w{index}" for index in range(5)))
        self.world.run(0.5)
        self.assertEqual(len(self.names()), 5)
        self.assertTrue(is_fault(self.read()))
        self.world.run(1)
        self.assertEqual((len(self.names()), self.list.over), (5, 1))

    def test_a_leaving_worker_is_recorded_when_it_is_shown(self):
        self.show("w1", "w2")
        self.show("w1", state="draining")
        self.world.run(0.5)
        self.assertEqual(
            [(item["worker"], item["state"], item["atMs"]) for item in self.items],
            [("w1", "draining", 500), ("w2", "gone", 500)],
        )
