"""Tests of followers of caches' reports."""

import asyncio
from types import SimpleNamespace

from swiftdeck.fault import PEER_TIMEOUT
from swiftdeck.gateway.following import FOLLOW_DELAY_S, CacheFollowers
from swiftdeck.gateway.interfaces import CacheReport, Part, Reports
from swiftdeck.gateway.kept import KeptTable
from tests.gateway.parts import SimCase, worker_registry

BOOK = [Part("book", 13000)]
STORE = "10.9.0.2:80"


class Source:
    """Caches whose responses a test sets; a request without one is held for its whole wait."""

    def __init__(self):
        self.answers, self.asked, self.closed, self.epochs = {}, [], [], {}

    def follower(self, addr):
        async def reports(since, wait_ms):
            self.asked.append((addr, since))
            if not self.answers.get(addr):
                await asyncio.sleep(wait_ms / 1000)
                return Reports(self.epochs.get(addr, 1), since, False, [])
            response = self.answers[addr].pop(0)
            self.epochs[addr] = getattr(response, "epoch", 1)
            return response

        return SimpleNamespace(reports=reports, close=lambda: self.closed.append(addr))


class FollowingTest(SimCase):
    def setUp(self):
        super().setUp()
        self.worker_registry, self.kept, self.source, self.sent = (
            worker_registry("w1", "w2"),
            KeptTable(),
            Source(),
            [],
        )
        self.addr = self.worker_registry.workers["w1"].listed.addr
        self.owned = {"w1", STORE}
        admission = SimpleNamespace(
            me=SimpleNamespace(addr="me"),
            worker_registry=self.worker_registry,
            owner=lambda name: "me" if name in self.owned else "other",
        )
        broadcast = SimpleNamespace(subscribe=lambda *_: None, publish=self.sent.append)
        self.following = CacheFollowers(
            admission, broadcast, self.kept, self.source, self.telemetry
        )
        self.following.stores = [STORE]
        self.within(self.following.start)
        self.within(lambda: self.following.expect_parts("w1", "1", ["book"], [13000], False))
        self.world.run(FOLLOW_DELAY_S + 0.6)

    def report(self, *reports, number=9, epoch=1, lost=False, addr=None):
        """Let a cache respond with reports, given as (part, tokens, is kept)."""
        self.source.answers.setdefault(addr or self.addr, []).append(
            Reports(epoch, number, lost, [CacheReport(1, "1", *report) for report in reports])
        )
        self.world.run(1.5)

    def tokens(self, holder="w1"):
        return self.kept.tokens(holder, "1", BOOK)

    def test_only_caches_owned_here_are_followed(self):
        self.assertEqual({addr for addr, _ in self.source.asked}, {self.addr, STORE})
        self.owned = {"w2"}
        self.world.run(FOLLOW_DELAY_S / 2)
        self.assertIn(self.source.asked[-1][0], (self.addr, STORE))
        self.world.run(1.5)
        self.assertEqual(
            (sorted(self.source.closed), self.source.asked[-1][0]),
            (sorted([self.addr, STORE]), self.worker_registry.workers["w2"].listed.addr),
        )

    def test_reports_of_shared_parts_are_noted_here_and_published(self):
        self.report(("book", 13000, True), ("nobodys", 500, True))
        self.assertEqual((self.tokens(), self.kept.parts.keys()), (13000, {("1", "book")}))
        (news,) = self.sent
        self.assertEqual(
            (news.holder, news.forget, list(news.parts), list(news.tokens)),
            ("w1", False, ["book"], [13000]),
        )
        self.report(("book", 13000, False), number=10)
        self.assertFalse(self.sent[-1].forget)
        self.assertEqual((self.tokens(), list(self.sent[-1].tokens)), (0, [0]))
        self.assertIn((self.addr, 9), self.source.asked)

    def test_all_large_parts_of_a_store_are_noted(self):
        self.report(("other", 9000, True), ("small", 90, True), addr=STORE)
        self.assertEqual(self.kept.tokens(STORE, "1", [Part("other", 9000)]), 9000)
        self.assertNotIn(("1", "small"), self.kept.parts)

    def test_after_a_gap_earlier_reports_are_discarded(self):
        self.report(("book", 13000, True))
        self.report(number=500, lost=True)
        self.assertEqual((self.tokens(), self.telemetry.count["reportGaps"]), (0, 1))

    def test_a_new_epoch_is_read_from_its_beginning(self):
        self.report(("book", 13000, True), number=50)
        self.report(number=3, epoch=2)
        self.assertEqual((self.tokens(), self.telemetry.count["reportGaps"]), (0, 1))
        asked = [since for addr, since in self.source.asked if addr == self.addr]
        self.assertIn(0, asked[asked.index(50) :])
        self.report(("book", 13000, True), number=4, epoch=2)
        self.assertEqual(self.tokens(), 13000)

    def test_a_failed_cache_is_read_again(self):
        self.report(("book", 13000, True))
        self.source.answers[self.addr] = [PEER_TIMEOUT]
        self.world.run(3)
        self.assertEqual(self.telemetry.count["reportsFailed"], 1)
        self.report(("book", 13000, True), number=12)
        self.assertEqual(self.tokens(), 13000)

    def test_parts_of_removed_workers_are_discarded(self):
        self.report(("book", 13000, True))
        self.worker_registry.apply_list([])
        self.world.run(1)
        self.assertEqual((self.kept.parts, self.kept.by_holder), ({}, {}))

    def test_a_number_that_decreases_means_a_restarted_cache(self):
        self.report(("book", 13000, True), number=50)
        self.report(number=7)
        self.assertEqual((self.tokens(), self.telemetry.count["reportGaps"]), (0, 1))
