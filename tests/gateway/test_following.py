"""Tests of followers of caches' reports."""

import asyncio
from types import SimpleNamespace

from swiftdeck.fault import PEER_TIMEOUT
from swiftdeck.gateway.following import OWNED_S, Following
from swiftdeck.gateway.interfaces import CacheReport, Part, Reports
from swiftdeck.gateway.kept import KeptTable
from tests.gateway.parts import SimCase, worker_registry

BOOK = [Part("book", 13000)]
STORE = "10.9.0.2:80"


class Source:
    """Caches whose answers a test sets; a call that has nothing to tell is held."""

    def __init__(self):
        self.answers, self.asked, self.closed, self.epochs = {}, [], [], {}

    def follower(self, addr):
        async def reports(since, wait_ms):
            self.asked.append((addr, since))
            if not self.answers.get(addr):
                await asyncio.sleep(wait_ms / 1000)
                return Reports(self.epochs.get(addr, 1), since, False, [])
            told = self.answers[addr].pop(0)
            self.epochs[addr] = getattr(told, "epoch", 1)
            return told

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
        self.mine = {"w1", STORE}
        admission = SimpleNamespace(
            me=SimpleNamespace(addr="me"),
            worker_registry=self.worker_registry,
            owner=lambda name: "me" if name in self.mine else "other",
        )
        broadcast = SimpleNamespace(subscribe=lambda *_: None, publish=self.sent.append)
        self.following = Following(admission, broadcast, self.kept, self.source, self.telemetry)
        self.following.stores = [STORE]
        self.within(self.following.start)
        self.within(lambda: self.following.will_keep("w1", "1", ["book"], [13000], False))
        self.world.run(OWNED_S + 0.6)

    def told(self, *reports, number=9, epoch=1, lost=False, addr=None):
        """Let a cache answer with reports of (part, tokens, is kept)."""
        self.source.answers.setdefault(addr or self.addr, []).append(
            Reports(epoch, number, lost, [CacheReport(1, "1", *report) for report in reports])
        )
        self.world.run(1.5)

    def tokens(self, holder="w1"):
        return self.kept.tokens(holder, "1", BOOK)

    def test_only_what_is_owned_here_is_followed(self):
        self.assertEqual({addr for addr, _ in self.source.asked}, {self.addr, STORE})
        self.mine = {"w2"}
        self.world.run(OWNED_S / 2)
        self.assertIn(self.source.asked[-1][0], (self.addr, STORE))
        self.world.run(1.5)
        self.assertEqual(
            (sorted(self.source.closed), self.source.asked[-1][0]),
            (sorted([self.addr, STORE]), self.worker_registry.workers["w2"].listed.addr),
        )

    def test_reports_of_shared_parts_are_known_here_and_told_to_the_others(self):
        self.told(("book", 13000, True), ("nobodys", 500, True))
        self.assertEqual((self.tokens(), self.kept.parts.keys()), (13000, {("1", "book")}))
        (news,) = self.sent
        self.assertEqual(
            (news.holder, news.forget, list(news.parts), list(news.tokens)),
            ("w1", False, ["book"], [13000]),
        )
        self.told(("book", 13000, False), number=10)
        self.assertFalse(self.sent[-1].forget)
        self.assertEqual((self.tokens(), list(self.sent[-1].tokens)), (0, [0]))
        self.assertIn((self.addr, 9), self.source.asked)

    def test_of_a_store_all_large_parts_count(self):
        self.told(("other", 9000, True), ("small", 90, True), addr=STORE)
        self.assertEqual(self.kept.tokens(STORE, "1", [Part("other", 9000)]), 9000)
        self.assertNotIn(("1", "small"), self.kept.parts)

    def test_after_a_gap_only_what_is_told_is_known(self):
        self.told(("book", 13000, True))
        self.told(number=500, lost=True)
        self.assertEqual((self.tokens(), self.telemetry.count["reportGaps"]), (0, 1))

    def test_a_new_epoch_is_read_from_its_beginning(self):
        self.told(("book", 13000, True), number=50)
        self.told(number=3, epoch=2)
        self.assertEqual((self.tokens(), self.telemetry.count["reportGaps"]), (0, 1))
        asked = [since for addr, since in self.source.asked if addr == self.addr]
        self.assertIn(0, asked[asked.index(50) :])
        self.told(("book", 13000, True), number=4, epoch=2)
        self.assertEqual(self.tokens(), 13000)

    def test_a_cache_that_fails_is_asked_again_from_where_it_was_or_from_the_beginning(self):
        self.told(("book", 13000, True))
        self.source.answers[self.addr] = [PEER_TIMEOUT]
        self.world.run(3)
        self.assertEqual(self.telemetry.count["reportsFailed"], 1)
        self.told(("book", 13000, True), number=12)
        self.assertEqual(self.tokens(), 13000)

    def test_workers_that_are_gone_are_forgotten(self):
        self.told(("book", 13000, True))
        self.worker_registry.apply_list([])
        self.world.run(1)
        self.assertEqual((self.kept.parts, self.kept.by_holder), ({}, {}))

    def test_a_number_that_goes_back_is_another_life(self):
        self.told(("book", 13000, True), number=50)
        self.told(number=7)
        self.assertEqual((self.tokens(), self.telemetry.count["reportGaps"]), (0, 1))
