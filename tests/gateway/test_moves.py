"""Tests of moves of kept parts."""

from swiftdeck.config.document import Service
from swiftdeck.gateway.health import Judge
from swiftdeck.gateway.kept import KeptTable
from swiftdeck.gateway.moves import OTHER_ZONE, SETUP_MS, move_ms
from swiftdeck.gateway.placing import Placing
from swiftdeck.gateway.worker_registry import WorkerRegistry
from tests.gateway.parts import SimCase, listed, request

STORE = "172.20.0.2:80"
FAST, SLOW = 370_000.0, 23_000.0


class MovesTest(SimCase):
    def setUp(self):
        super().setUp()
        self.registry, self.kept = WorkerRegistry(), KeptTable()
        zones = {"i-0": "z1", "i-1": "z1", "i-2": "z2"}
        self.registry.apply_list(
            [listed(name, zone=zone, at=at) for at, (name, zone) in enumerate(zones.items(), 1)]
        )
        self.placing = Placing("z1", Judge(self.registry, self.telemetry), self.kept, self.random)
        self.follow(FAST, SLOW)

    def follow(self, worker_mbps, store_mbps, token_bytes=18432):
        worker = Service(token_bytes=token_bytes, network_mbps=worker_mbps)
        store = Service(store_addr=STORE, network_mbps=store_mbps, zone="z1")
        self.placing.follow({"s": worker, "store": store})

    def keep(self, *holders):
        for holder in holders:
            self.kept.keep(holder, "1", "book", 13000)

    def source(self):
        worker = self.registry.workers["i-0"]
        return self.within(lambda: self.placing.source(request(), worker, "1"))

    def missing(self):
        worker = self.registry.workers["i-0"]
        return self.within(lambda: self.placing.missing(request(), worker, "1"))

    def addr(self, name):
        return self.registry.workers[name].listed.addr

    def test_a_move_takes_its_bytes_over_the_slower_link(self):
        self.assertAlmostEqual(move_ms(13300, 18432, FAST, True) - SETUP_MS, 5.3, delta=0.1)
        self.assertAlmostEqual(move_ms(13300, 18432, SLOW, True) - SETUP_MS, 85.3, delta=0.1)
        near, far = (move_ms(13300, 18432, SLOW, is_near) - SETUP_MS for is_near in (True, False))
        self.assertAlmostEqual(far / near, OTHER_ZONE)
        self.assertIsNone(move_ms(13300, 0, FAST, True))
        self.assertIsNone(move_ms(13300, 18432, 0, True))

    def test_the_fastest_holder_is_named(self):
        self.keep(STORE)
        self.assertEqual(self.source(), STORE)
        self.keep("i-2")
        self.assertEqual(self.source(), self.addr("i-2"))
        self.keep("i-1")
        self.assertEqual(self.source(), self.addr("i-1"))

    def test_a_move_that_takes_longer_than_reading_is_left(self):
        self.keep(STORE)
        self.follow(FAST, 500.0)
        self.assertEqual(self.source(), "")
        self.assertEqual(self.missing().again, 13000)

    def test_a_holder_in_trouble_is_no_source(self):
        self.keep("i-1")
        self.within(lambda: self.placing.judge.shun(self.registry.workers["i-1"], 1))
        self.assertEqual(self.source(), "")

    def test_what_is_moved_is_not_read(self):
        self.keep("i-1")
        found = self.missing()
        self.assertEqual((found.to_read, found.again, found.moved), (3000, 0, 13000))
        self.assertLess(found.move_ms, 20)
