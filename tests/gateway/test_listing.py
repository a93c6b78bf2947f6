"""Tests of the list of workers that routers share."""

import asyncio
import random
from unittest import mock

import msgspec

from swiftdeck.fault import BAD_BACKEND_RESPONSE
from swiftdeck.gateway.listing import Listing
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.member.membership import Membership
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import ListNews, Member
from tests.gateway.parts import SimCase, listed


class Source:
    """A list that is read in a set time, and remembers when."""

    def __init__(self, world):
        self.world, self.listing, self.reads, self.fails = world, [listed("w1")], [], False

    async def read(self):
        self.reads.append(self.world.now)
        got = list(self.listing)
        await asyncio.sleep(0.01)
        return BAD_BACKEND_RESPONSE if self.fails else got


class ListingTest(SimCase):
    def setUp(self):
        super().setUp()
        self.sources, self.parts = {}, {}
        addrs = [f"10.2.0.{at}:7000" for at in (1, 2, 3)]
        for at, addr in enumerate(addrs):
            self.world.start(addr, addr.partition(":")[0], lambda: self.serve(addr, addrs, at))
        self.world.run(3)

    async def serve(self, addr, addrs, at):
        telemetry, mesh = Telemetry(), Mesh(addr)
        me = Member(addr=addr, name=f"r{at}", role="router", zone="z1", incarnation=at + 1)
        membership = Membership(me, mesh, addrs, random.Random(at), 500, 2000, telemetry)
        worker_registry, self.sources[addr] = WorkerRegistry(), Source(self.world)
        self.parts[addr] = Listing(
            me, mesh, membership, self.sources[addr], worker_registry, telemetry
        )
        await mesh.start()
        membership.start()
        self.parts[addr].start()

    def names(self):
        return [sorted(each.worker_registry.workers) for each in self.parts.values()]

    def show(self, *names):
        for source in self.sources.values():
            source.listing = [listed(name) for name in names]

    def reads(self, since_s=0.0):
        return [sum(at > since_s for at in each.reads) for each in self.sources.values()]

    def test_one_reads_and_all_know_by_the_age_of_the_reading(self):
        since_s = self.world.now
        self.world.run(10)
        count, *others = self.reads(since_s)
        self.assertEqual((self.names(), others), ([["w1"]] * 3, [0, 0]))
        self.assertTrue(14 <= count <= 18, count)
        for each in self.parts.values():
            self.assertLess(self.within(each.age_ms, each.me.addr), 700)

    def test_news_of_the_list_that_is_held_are_taken_without_encoding_it(self):
        part = self.parts["10.2.0.3:7000"]
        news = ListNews(age_ms=10, digest=part.digest, number=part.number + 1)
        with mock.patch("swiftdeck.gateway.listing.digest_of") as digest_of:
            self.deliver("10.2.0.3:7000", news)
        digest_of.assert_not_called()
        self.assertEqual(part.number, news.number)

    def test_a_change_is_with_all_soon(self):
        self.show("w1", "w2")
        self.world.run(0.8)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)

    def test_the_next_reads_where_nothing_comes(self):
        for gone in (lambda: self.world.kill("10.2.0.1:7000"), lambda: None):
            gone()
            since_s = self.world.now
            self.show("w3")
            self.world.run(2.0)
            self.assertEqual(self.names()[1:], [["w3"]] * 2)
            self.world.run(3)
            self.assertGreater(self.reads(since_s)[1], 3)
            self.assertEqual(self.reads(since_s)[2], 0)

    def test_a_reading_that_fails_changes_nothing_and_others_try(self):
        self.sources["10.2.0.1:7000"].fails = True
        self.show("w1", "w2")
        self.world.run(3)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)
        for each in self.sources.values():
            each.fails = True
        self.show("w9")
        self.world.run(5)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)
        self.assertGreater(self.within(self.parts["10.2.0.2:7000"].age_ms, "10.2.0.2:7000"), 4000)

    def test_an_older_reading_never_replaces_a_newer_one(self):
        part = self.parts["10.2.0.3:7000"]
        body, digest = msgspec.json.encode(list(part.entries.values())), part.digest
        self.show("w1", "w2")
        self.world.run(1)
        self.within(
            lambda: part.on_news(ListNews(age_ms=5000, digest=digest, body=body), ""),
            "10.2.0.3:7000",
        )
        self.assertEqual(sorted(part.worker_registry.workers), ["w1", "w2"])

    def deliver(self, addr, news):
        """Bring news of an earlier time to a router."""
        part = self.parts[addr]
        self.within(lambda: part.on_news(news, "10.2.0.1:7000"), addr)

    def whole(self, part):
        """A whole list as a router tells it now."""
        body = msgspec.json.encode(list(part.entries.values()))
        return ListNews(age_ms=10, digest=part.digest, body=body, number=part.number)

    def test_a_list_that_comes_late_never_replaces_a_newer_one(self):
        late = self.whole(self.parts["10.2.0.1:7000"])
        self.show("w1", "w2")
        self.world.run(8)
        part = self.parts["10.2.0.3:7000"]
        seen = []
        part.worker_registry.apply_list = lambda entries: seen.append(
            sorted(e.name for e in entries)
        )
        self.deliver("10.2.0.3:7000", late)
        self.world.run(3)
        self.assertEqual((seen, sorted(part.entries)), ([], ["w1", "w2"]))

    def test_a_change_that_comes_late_never_replaces_a_newer_list(self):
        told = self.heard(self.parts["10.2.0.3:7000"])
        for names in (["w1", "w2"], ["w1"], ["w1", "w2"], ["w1"]):
            self.show(*names)
            self.world.run(2)
        late = next(each for each in told if each.body)
        self.assertEqual(late.base, self.parts["10.2.0.3:7000"].digest)
        self.deliver("10.2.0.3:7000", late)
        self.assertEqual(sorted(self.parts["10.2.0.3:7000"].entries), ["w1"])

    def test_news_that_come_late_make_a_list_no_younger(self):
        addr = "10.2.0.3:7000"
        part = self.parts[addr]
        late = ListNews(age_ms=10, digest=part.digest, number=part.number)
        self.world.run(1)
        for each in self.sources.values():
            each.fails = True
        self.world.run(5)
        self.deliver(addr, late)
        self.assertGreater(self.within(part.age_ms, addr), 4000)

    def test_a_reader_that_starts_again_is_believed_at_once(self):
        addr, addrs = "10.2.0.1:7000", sorted(self.parts)
        self.world.run(5)
        self.world.kill(addr)
        self.world.start(addr, "10.2.0.1", lambda: self.serve(addr, addrs, 0))
        self.world.run(1)
        since_s = self.world.now
        self.show("w1", "w2")
        self.world.run(1.5)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)
        self.world.run(5)
        self.assertGreater(self.reads(since_s)[0], 6)
        self.assertEqual(self.reads(since_s + 2.5)[1:], [0, 0])

    def heard(self, part):
        """What a part is told of the list from now on."""
        told, handle = [], part.on_news
        part.mesh.register(ListNews, lambda news, sender: told.append(news) or handle(news, sender))
        return told

    def test_of_a_long_list_only_what_changed_is_told(self):
        names = [f"w{at}" for at in range(40)]
        self.show(*names)
        self.world.run(1)
        told = self.heard(self.parts["10.2.0.2:7000"])
        self.show(*names[1:], "new")
        self.world.run(1.5)
        self.assertEqual(self.names(), [sorted([*names[1:], "new"])] * 3)
        (news,) = [each for each in told if each.body]
        changed = [each["name"] for each in msgspec.json.decode(news.body)]
        self.assertEqual((changed, news.gone), (["new"], ["w0"]))

    def test_who_does_not_hold_what_a_change_builds_on_is_told_the_whole(self):
        part = self.parts["10.2.0.2:7000"]
        told = self.heard(part)
        part.digest, part.entries = b"other", {}
        self.show("w1", "w2")
        self.world.run(1)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)
        whole = [each for each in told if each.body and not each.base]
        self.assertEqual([len(msgspec.json.decode(each.body)) for each in whole], [2])
