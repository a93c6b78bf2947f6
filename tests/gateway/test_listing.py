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
    """A list source that takes 10 ms to read and records the times of its reads."""

    def __init__(self, world):
        self.world, self.listing, self.reads, self.fails = world, [listed("w1")], [], False

    async def read(self):
        self.reads.append(self.world.now)
        listing = list(self.listing)
        await asyncio.sleep(0.01)
        return BAD_BACKEND_RESPONSE if self.fails else listing


class ListingTest(SimCase):
    def setUp(self):
        super().setUp()
        self.sources, self.listings = {}, {}
        addrs = [f"10.2.0.{index}:7000" for index in (1, 2, 3)]
        for index, addr in enumerate(addrs):
            self.world.start(addr, addr.partition(":")[0], lambda: self.serve(addr, addrs, index))
        self.world.run(3)

    async def serve(self, addr, addrs, index):
        telemetry, mesh = Telemetry(), Mesh(addr)
        me = Member(addr=addr, name=f"r{index}", role="router", zone="z1", incarnation=index + 1)
        membership = Membership(me, mesh, addrs, random.Random(index), 500, 2000, telemetry)
        worker_registry, self.sources[addr] = WorkerRegistry(), Source(self.world)
        self.listings[addr] = Listing(
            me, mesh, membership, self.sources[addr], worker_registry, telemetry
        )
        await mesh.start()
        membership.start()
        self.listings[addr].start()

    def names(self):
        return [sorted(each.worker_registry.workers) for each in self.listings.values()]

    def set_list(self, *names):
        for source in self.sources.values():
            source.listing = [listed(name) for name in names]

    def reads(self, since_s=0.0):
        return [
            sum(read_s > since_s for read_s in source.reads) for source in self.sources.values()
        ]

    def test_one_router_reads_and_all_know_the_age_of_the_reading(self):
        since_s = self.world.now
        self.world.run(10)
        count, *others = self.reads(since_s)
        self.assertEqual((self.names(), others), ([["w1"]] * 3, [0, 0]))
        self.assertTrue(14 <= count <= 18, count)
        for each in self.listings.values():
            self.assertLess(self.within(each.age_ms, each.me.addr), 700)

    def test_news_of_the_current_list_are_applied_without_encoding_it(self):
        listing = self.listings["10.2.0.3:7000"]
        news = ListNews(age_ms=10, digest=listing.digest, number=listing.number + 1)
        with mock.patch("swiftdeck.gateway.listing.digest_of") as digest_of:
            self.deliver("10.2.0.3:7000", news)
        digest_of.assert_not_called()
        self.assertEqual(listing.number, news.number)

    def test_a_change_reaches_all_routers_within_a_second(self):
        self.set_list("w1", "w2")
        self.world.run(0.8)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)

    def test_the_next_router_reads_when_no_news_arrive(self):
        for fail in (lambda: self.world.kill("10.2.0.1:7000"), lambda: None):
            fail()
            since_s = self.world.now
            self.set_list("w3")
            self.world.run(2.0)
            self.assertEqual(self.names()[1:], [["w3"]] * 2)
            self.world.run(3)
            self.assertGreater(self.reads(since_s)[1], 3)
            self.assertEqual(self.reads(since_s)[2], 0)

    def test_a_failed_reading_changes_nothing_and_other_routers_read(self):
        self.sources["10.2.0.1:7000"].fails = True
        self.set_list("w1", "w2")
        self.world.run(3)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)
        for each in self.sources.values():
            each.fails = True
        self.set_list("w9")
        self.world.run(5)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)
        self.assertGreater(
            self.within(self.listings["10.2.0.2:7000"].age_ms, "10.2.0.2:7000"), 4000
        )

    def test_an_older_reading_never_replaces_a_newer_one(self):
        listing = self.listings["10.2.0.3:7000"]
        body, digest = msgspec.json.encode(list(listing.entries.values())), listing.digest
        self.set_list("w1", "w2")
        self.world.run(1)
        self.within(
            lambda: listing.on_news(ListNews(age_ms=5000, digest=digest, body=body), ""),
            "10.2.0.3:7000",
        )
        self.assertEqual(sorted(listing.worker_registry.workers), ["w1", "w2"])

    def deliver(self, addr, news):
        """Deliver news to a router, possibly long after they were sent."""
        listing = self.listings[addr]
        self.within(lambda: listing.on_news(news, "10.2.0.1:7000"), addr)

    def full_list_news(self, listing):
        """Return a router's full list as it would send it now."""
        body = msgspec.json.encode(list(listing.entries.values()))
        return ListNews(age_ms=10, digest=listing.digest, body=body, number=listing.number)

    def test_a_delayed_list_never_replaces_a_newer_one(self):
        late = self.full_list_news(self.listings["10.2.0.1:7000"])
        self.set_list("w1", "w2")
        self.world.run(8)
        listing = self.listings["10.2.0.3:7000"]
        seen = []
        listing.worker_registry.apply_list = lambda entries: seen.append(
            sorted(e.name for e in entries)
        )
        self.deliver("10.2.0.3:7000", late)
        self.world.run(3)
        self.assertEqual((seen, sorted(listing.entries)), ([], ["w1", "w2"]))

    def test_a_delayed_change_never_replaces_a_newer_list(self):
        received = self.record_news(self.listings["10.2.0.3:7000"])
        for names in (["w1", "w2"], ["w1"], ["w1", "w2"], ["w1"]):
            self.set_list(*names)
            self.world.run(2)
        late = next(each for each in received if each.body)
        self.assertEqual(late.base, self.listings["10.2.0.3:7000"].digest)
        self.deliver("10.2.0.3:7000", late)
        self.assertEqual(sorted(self.listings["10.2.0.3:7000"].entries), ["w1"])

    def test_delayed_news_do_not_reduce_the_age_of_a_list(self):
        addr = "10.2.0.3:7000"
        listing = self.listings[addr]
        late = ListNews(age_ms=10, digest=listing.digest, number=listing.number)
        self.world.run(1)
        for each in self.sources.values():
            each.fails = True
        self.world.run(5)
        self.deliver(addr, late)
        self.assertGreater(self.within(listing.age_ms, addr), 4000)

    def test_readings_of_a_restarted_reader_apply_at_once(self):
        addr, addrs = "10.2.0.1:7000", sorted(self.listings)
        self.world.run(5)
        self.world.kill(addr)
        self.world.start(addr, "10.2.0.1", lambda: self.serve(addr, addrs, 0))
        self.world.run(1)
        since_s = self.world.now
        self.set_list("w1", "w2")
        self.world.run(1.5)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)
        self.world.run(5)
        self.assertGreater(self.reads(since_s)[0], 6)
        self.assertEqual(self.reads(since_s + 2.5)[1:], [0, 0])

    def record_news(self, listing):
        """Return a list that collects the list news a router receives from now on."""
        received, handler = [], listing.on_news
        listing.mesh.register(
            ListNews, lambda news, sender: received.append(news) or handler(news, sender)
        )
        return received

    def test_only_the_changes_of_a_long_list_are_sent(self):
        names = [f"w{index}" for index in range(40)]
        self.set_list(*names)
        self.world.run(1)
        received = self.record_news(self.listings["10.2.0.2:7000"])
        self.set_list(*names[1:], "new")
        self.world.run(1.5)
        self.assertEqual(self.names(), [sorted([*names[1:], "new"])] * 3)
        (news,) = [each for each in received if each.body]
        changed = [each["name"] for each in msgspec.json.decode(news.body)]
        self.assertEqual((changed, news.gone), (["new"], ["w0"]))

    def test_a_router_without_the_base_of_a_change_gets_the_full_list(self):
        listing = self.listings["10.2.0.2:7000"]
        received = self.record_news(listing)
        listing.digest, listing.entries = b"other", {}
        self.set_list("w1", "w2")
        self.world.run(1)
        self.assertEqual(self.names(), [["w1", "w2"]] * 3)
        full_lists = [each for each in received if each.body and not each.base]
        self.assertEqual([len(msgspec.json.decode(each.body)) for each in full_lists], [2])
