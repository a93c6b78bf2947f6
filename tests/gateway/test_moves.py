"""Tests of transfers of cached prompt parts."""

from swiftdeck.config.document import Service
from swiftdeck.gateway.health import Judge
from swiftdeck.gateway.kept import KeptTable
from swiftdeck.gateway.moves import CROSS_ZONE_FACTOR, TRANSFER_SETUP_MS, transfer_ms
from swiftdeck.gateway.placing import Placing
from swiftdeck.gateway.worker_registry import WorkerRegistry
from tests.gateway.parts import SimCase, listed, request

STORE = "172.20.0.2:80"
FAST_MBPS, SLOW_MBPS = 370_000.0, 23_000.0


class MovesTest(SimCase):
    def setUp(self):
        super().setUp()
        self.registry, self.kept = WorkerRegistry(), KeptTable()
        zones = {"i-0": "z1", "i-1": "z1", "i-2": "z2"}
        self.registry.apply_list(
            [
                listed(name, zone=zone, at=index)
                for index, (name, zone) in enumerate(zones.items(), 1)
            ]
        )
        self.placing = Placing("z1", Judge(self.registry, self.telemetry), self.kept, self.random)
        self.follow(FAST_MBPS, SLOW_MBPS)

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

    def test_a_transfer_takes_the_time_of_its_bytes_over_the_slower_link(self):
        self.assertAlmostEqual(
            transfer_ms(13300, 18432, FAST_MBPS, True) - TRANSFER_SETUP_MS, 5.3, delta=0.1
        )
        self.assertAlmostEqual(
            transfer_ms(13300, 18432, SLOW_MBPS, True) - TRANSFER_SETUP_MS, 85.3, delta=0.1
        )
        near, far = (
            transfer_ms(13300, 18432, SLOW_MBPS, is_near) - TRANSFER_SETUP_MS
            for is_near in (True, False)
        )
        self.assertAlmostEqual(far / near, CROSS_ZONE_FACTOR)
        self.assertIsNone(transfer_ms(13300, 0, FAST_MBPS, True))
        self.assertIsNone(transfer_ms(13300, 18432, 0, True))

    def test_the_fastest_holder_is_the_source(self):
        self.keep(STORE)
        self.assertEqual(self.source(), STORE)
        self.keep("i-2")
        self.assertEqual(self.source(), self.addr("i-2"))
        self.keep("i-1")
        self.assertEqual(self.source(), self.addr("i-1"))

    def test_a_transfer_that_takes_longer_than_reading_is_not_made(self):
        self.keep(STORE)
        self.follow(FAST_MBPS, 500.0)
        self.assertEqual(self.source(), "")
        self.assertEqual(self.missing().shared, 13000)

    def test_a_shunned_holder_is_not_a_source(self):
        self.keep("i-1")
        self.within(lambda: self.placing.judge.shun(self.registry.workers["i-1"], 1))
        self.assertEqual(self.source(), "")

    def test_transferred_tokens_are_not_read(self):
        self.keep("i-1")
        missing_tokens = self.missing()
        self.assertEqual(
            (missing_tokens.tokens_to_read, missing_tokens.shared, missing_tokens.transferred),
            (3000, 0, 13000),
        )
        self.assertLess(missing_tokens.transfer_ms, 20)
