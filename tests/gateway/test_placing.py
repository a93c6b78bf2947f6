"""Tests of placement."""

import random

from swiftdeck.config.document import Service
from swiftdeck.gateway.health import Judge
from swiftdeck.gateway.kept import KeptTable
from swiftdeck.gateway.placing import Placing
from tests.gateway.parts import SimCase, request, worker_registry

NAMES = [f"i-{at}" for at in range(9)]
STORE = "172.20.0.2:8165"


class PlacingTest(SimCase):
    def setUp(self):
        super().setUp()
        self.worker_registry, self.kept = worker_registry(*NAMES), KeptTable()
        self.workers = list(self.worker_registry.workers.values())
        self.judge = Judge(self.worker_registry, self.telemetry)
        self.placing = self.made()

    def made(self, seed=1):
        return Placing("z1", self.judge, self.kept, random.Random(seed), 2048)

    def order(self, wanted, workers=None, placing=None, salt="1"):
        workers = self.workers if workers is None else workers
        return self.within(
            lambda: [
                each.name for each in self.ordered(placing or self.placing, wanted, workers, salt)
            ]
        )

    def ordered(self, placing, wanted, workers, salt):
        if not placing.is_long(wanted):
            return placing.order_short(workers, self.workers)
        salts = {each.name: salt for each in self.workers}
        return [cost.worker for cost in placing.costs(wanted, workers, salts, self.workers)]

    def short(self, name="s", **more):
        return request(name, parts=[("small", 90), (name, 300)], **more)

    def test_the_lane_of_short_calls_is_the_same_at_every_router_whatever_is_shunned(self):
        lane = self.placing.short_lane(self.workers)
        self.assertEqual(len(lane), 3)
        self.assertEqual(self.made(9).short_lane(self.workers[::-1]), lane)
        for shunned in (NAMES[:4], sorted(lane)[:2], NAMES[5:]):
            for name in shunned:
                self.within(lambda: self.judge.shun(self.worker_registry.workers[name], 1))
            other = self.made(3)
            self.order(self.short(), placing=other)
            self.order(request(), placing=other)
            self.assertEqual(other.short_lane(self.workers), lane)
            self.world.run(2)

    def test_few_workers_are_all_in_the_lane(self):
        for count in (1, 2):
            self.assertEqual(
                self.placing.short_lane(self.workers[:count]), frozenset(NAMES[:count])
            )

    def test_short_calls_go_to_the_lane_while_it_is_calm(self):
        lane = self.placing.short_lane(self.workers)
        firsts = {self.order(self.short(f"s{at}"))[0] for at in range(40)}
        self.assertLessEqual(firsts, lane)
        self.assertGreater(len(firsts), 1)
        for name in lane:
            self.worker_registry.workers[name].running = 30
        self.assertNotIn(self.order(self.short())[0], lane)

    def test_long_prompts_leave_the_lane_alone_and_go_where_their_shared_parts_are_kept(self):
        lane = self.placing.short_lane(self.workers)
        for at in range(8):
            wanted = request(parts=[(f"book{at}", 13000), ("own", 3000)])
            first, *others = self.order(wanted)
            self.assertNotIn(first, lane)
            self.assertEqual(self.order(wanted, placing=self.made(7))[0], first)
            coordinator = next(each for each in others if each not in lane)
            self.kept.keep(coordinator, "1", f"book{at}", 13000)
            self.assertEqual(self.order(wanted)[0], coordinator)
            self.assertEqual(self.order(wanted, salt="2")[0], first)

    def test_prompts_that_share_a_book_meet_and_others_spread(self):
        first = {
            at: {
                self.order(request(f"r{n}", parts=[(f"book{at}", 13000), (f"own{n}", 3000)]))[0]
                for n in range(4)
            }
            for at in range(12)
        }
        self.assertEqual({len(each) for each in first.values()}, {1})
        self.assertGreater(len(set.union(*first.values())), 3)

    def test_shunned_workers_are_left_alone_while_others_are_there(self):
        wanted = request()
        first, second, *_ = self.order(wanted)
        self.within(lambda: self.judge.shun(self.worker_registry.workers[first], 1))
        self.assertNotIn(first, self.order(wanted))
        self.assertEqual(self.order(wanted)[0], second)
        self.assertEqual(self.order(wanted, workers=[]), [])
        self.assertEqual(self.order(wanted, workers=[self.worker_registry.workers[first]]), [first])

    def test_size_alone_says_whether_a_call_needs_a_place(self):
        self.assertEqual(
            [self.placing.is_long(request(tokens=tokens)) for tokens in (0, 2047, 2048, 17000)],
            [False, False, True, True],
        )

    def source(self, wanted, worker="i-0", salt="1", stores=(STORE,)):
        self.placing.follow({each: Service(store_addr=each) for each in stores})
        return self.within(
            lambda: self.placing.source(wanted, self.worker_registry.workers[worker], salt)
        )

    def target(self, wanted, salt="1", stores=(STORE,)):
        self.placing.follow({each: Service(store_addr=each) for each in stores})
        return self.within(lambda: self.placing.target(wanted, salt))

    def test_a_prefix_is_fetched_from_who_keeps_most_of_it(self):
        wanted = request(parts=[("a", 8000), ("b", 5000), ("own", 3000)])
        self.assertEqual(self.source(wanted), "")
        self.kept.keep("i-3", "1", "a", 8000)
        self.assertEqual(self.source(wanted), self.worker_registry.workers["i-3"].listed.addr)
        self.kept.keep(STORE, "1", "a", 8000)
        self.kept.keep(STORE, "1", "b", 5000)
        self.assertEqual(
            (self.source(wanted), self.source(wanted, stores=())),
            (STORE, self.worker_registry.workers["i-3"].listed.addr),
        )
        self.assertEqual((self.source(wanted, salt="2"), self.source(wanted, salt="1/t")), ("", ""))

    def test_nothing_is_fetched_that_is_there_or_short_or_kept_by_the_gone(self):
        wanted = request()
        self.kept.keep("i-gone", "1", "book", 13000)
        self.assertEqual(self.source(wanted), "")
        self.kept.keep("i-3", "1", "book", 13000)
        self.assertEqual(
            (self.source(wanted, worker="i-3"), self.source(request(tokens=500))), ("", "")
        )
        self.kept.keep("i-0", "1", "book", 13000)
        self.assertEqual(
            (self.source(wanted), self.source(request(parts=[("own", 9000)]))), ("", "")
        )

    def test_shared_parts_go_to_the_store_until_it_is_known_to_keep_them(self):
        wanted = request()
        self.assertEqual(self.target(wanted, "1"), STORE)
        self.assertEqual(
            [
                self.target(wanted, "1", ()),
                self.target(request(tokens=500), "1"),
                self.target(request(parts=[("own", 9000)]), "1"),
            ],
            ["", "", ""],
        )
        self.kept.keep(STORE, "1", "book", 13000)
        self.assertEqual((self.target(wanted, "1"), self.target(wanted, "2")), ("", STORE))

    def test_each_part_belongs_in_one_of_the_stores_that_are_up(self):
        stores = [f"172.20.0.{at}:80" for at in (2, 4, 5)]
        wanted = [request(parts=[(f"book{at}", 13000), ("own", 300)]) for at in range(60)]
        homes = [self.target(each, stores=stores) for each in wanted]
        self.assertGreater(min(homes.count(each) for each in stores), 10)
        self.assertEqual([self.target(each, stores=stores[::-1]) for each in wanted], homes)
        self.kept.down[stores[0]] = 1e9
        for home, each in zip(homes, wanted, strict=True):
            now = self.target(each, stores=stores)
            self.assertTrue(now == home or home == stores[0] != now, (home, now))

    def test_what_any_store_keeps_is_sent_to_none_and_is_fetched_from_there(self):
        stores = [f"172.20.0.{at}:80" for at in (2, 4, 5)]
        for store in stores:
            self.kept.keep(store, "1", "book", 13000)
            self.assertEqual(self.target(request(), stores=stores), "")
            self.assertEqual(self.source(request(), stores=stores), store)
            self.kept.forget(store)
