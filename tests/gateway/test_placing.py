"""Tests of the choice of workers, sources and stores."""

import random

from swiftdeck.config.document import Service
from swiftdeck.gateway.health import Judge
from swiftdeck.gateway.kept import KeptTable
from swiftdeck.gateway.placing import Placing
from tests.gateway.parts import SimCase, request, worker_registry

NAMES = [f"i-{index}" for index in range(9)]
STORE = "172.20.0.2:8165"


class PlacingTest(SimCase):
    def setUp(self):
        super().setUp()
        self.worker_registry, self.kept = worker_registry(*NAMES), KeptTable()
        self.workers = list(self.worker_registry.workers.values())
        self.judge = Judge(self.worker_registry, self.telemetry)
        self.placing = self.make_placing()

    def make_placing(self, seed=1):
        return Placing("z1", self.judge, self.kept, random.Random(seed), 2048)

    def order(self, prompt, workers=None, placing=None, salt="1"):
        workers = self.workers if workers is None else workers
        return self.within(
            lambda: [
                each.name for each in self.ordered(placing or self.placing, prompt, workers, salt)
            ]
        )

    def ordered(self, placing, prompt, workers, salt):
        if not placing.is_long(prompt):
            return placing.order_short(workers, self.workers)
        salts = {each.name: salt for each in self.workers}
        return [cost.worker for cost in placing.costs(prompt, workers, salts, self.workers)]

    def short(self, name="s", **more):
        return request(name, parts=[("small", 90), (name, 300)], **more)

    def test_all_routers_agree_on_the_short_lane_whatever_workers_are_shunned(self):
        lane = self.placing.short_lane(self.workers)
        self.assertEqual(len(lane), 3)
        self.assertEqual(self.make_placing(9).short_lane(self.workers[::-1]), lane)
        for shunned in (NAMES[:4], sorted(lane)[:2], NAMES[5:]):
            for name in shunned:
                self.within(lambda: self.judge.shun(self.worker_registry.workers[name], 1))
            other = self.make_placing(3)
            self.order(self.short(), placing=other)
            self.order(request(), placing=other)
            self.assertEqual(other.short_lane(self.workers), lane)
            self.world.run(2)

    def test_up_to_two_workers_are_all_in_the_lane(self):
        for count in (1, 2):
            self.assertEqual(
                self.placing.short_lane(self.workers[:count]), frozenset(NAMES[:count])
            )

    def test_short_calls_go_to_the_lane_while_its_load_is_low(self):
        lane = self.placing.short_lane(self.workers)
        firsts = {self.order(self.short(f"s{index}"))[0] for index in range(40)}
        self.assertLessEqual(firsts, lane)
        self.assertGreater(len(firsts), 1)
        for name in lane:
            self.worker_registry.workers[name].running = 30
        self.assertNotIn(self.order(self.short())[0], lane)

    def test_long_prompts_avoid_the_lane_and_go_where_their_shared_parts_are_cached(self):
        lane = self.placing.short_lane(self.workers)
        for index in range(8):
            prompt = request(parts=[(f"book{index}", 13000), ("own", 3000)])
            first, *others = self.order(prompt)
            self.assertNotIn(first, lane)
            self.assertEqual(self.order(prompt, placing=self.make_placing(7))[0], first)
            holder = next(each for each in others if each not in lane)
            self.kept.keep(holder, "1", f"book{index}", 13000)
            self.assertEqual(self.order(prompt)[0], holder)
            self.assertEqual(self.order(prompt, salt="2")[0], first)

    def test_prompts_with_the_same_shared_part_go_to_one_worker_and_others_spread(self):
        first = {
            index: {
                self.order(request(f"r{n}", parts=[(f"book{index}", 13000), (f"own{n}", 3000)]))[0]
                for n in range(4)
            }
            for index in range(12)
        }
        self.assertEqual({len(each) for each in first.values()}, {1})
        self.assertGreater(len(set.union(*first.values())), 3)

    def test_shunned_workers_are_avoided_while_others_are_available(self):
        prompt = request()
        first, second, *_ = self.order(prompt)
        self.within(lambda: self.judge.shun(self.worker_registry.workers[first], 1))
        self.assertNotIn(first, self.order(prompt))
        self.assertEqual(self.order(prompt)[0], second)
        self.assertEqual(self.order(prompt, workers=[]), [])
        self.assertEqual(self.order(prompt, workers=[self.worker_registry.workers[first]]), [first])

    def test_size_alone_decides_whether_a_call_is_long(self):
        self.assertEqual(
            [self.placing.is_long(request(tokens=tokens)) for tokens in (0, 2047, 2048, 17000)],
            [False, False, True, True],
        )

    def source(self, prompt, worker="i-0", salt="1", stores=(STORE,)):
        self.placing.follow({each: Service(store_addr=each) for each in stores})
        return self.within(
            lambda: self.placing.source(prompt, self.worker_registry.workers[worker], salt)
        )

    def target(self, prompt, salt="1", stores=(STORE,)):
        self.placing.follow({each: Service(store_addr=each) for each in stores})
        return self.within(lambda: self.placing.target(prompt, salt))

    def test_a_prefix_is_fetched_from_the_holder_of_most_of_it(self):
        prompt = request(parts=[("a", 8000), ("b", 5000), ("own", 3000)])
        self.assertEqual(self.source(prompt), "")
        self.kept.keep("i-3", "1", "a", 8000)
        self.assertEqual(self.source(prompt), self.worker_registry.workers["i-3"].listed.addr)
        self.kept.keep(STORE, "1", "a", 8000)
        self.kept.keep(STORE, "1", "b", 5000)
        self.assertEqual(
            (self.source(prompt), self.source(prompt, stores=())),
            (STORE, self.worker_registry.workers["i-3"].listed.addr),
        )
        self.assertEqual((self.source(prompt, salt="2"), self.source(prompt, salt="1/t")), ("", ""))

    def test_no_source_if_the_parts_are_present_or_short_or_their_holder_is_gone(self):
        prompt = request()
        self.kept.keep("i-gone", "1", "book", 13000)
        self.assertEqual(self.source(prompt), "")
        self.kept.keep("i-3", "1", "book", 13000)
        self.assertEqual(
            (self.source(prompt, worker="i-3"), self.source(request(tokens=500))), ("", "")
        )
        self.kept.keep("i-0", "1", "book", 13000)
        self.assertEqual(
            (self.source(prompt), self.source(request(parts=[("own", 9000)]))), ("", "")
        )

    def test_shared_parts_are_saved_to_the_store_until_it_is_known_to_have_them(self):
        prompt = request()
        self.assertEqual(self.target(prompt, "1"), STORE)
        self.assertEqual(
            [
                self.target(prompt, "1", ()),
                self.target(request(tokens=500), "1"),
                self.target(request(parts=[("own", 9000)]), "1"),
            ],
            ["", "", ""],
        )
        self.kept.keep(STORE, "1", "book", 13000)
        self.assertEqual((self.target(prompt, "1"), self.target(prompt, "2")), ("", STORE))

    def test_each_part_belongs_in_one_of_the_available_stores(self):
        stores = [f"172.20.0.{index}:80" for index in (2, 4, 5)]
        prompts = [request(parts=[(f"book{index}", 13000), ("own", 300)]) for index in range(60)]
        homes = [self.target(prompt, stores=stores) for prompt in prompts]
        self.assertGreater(min(homes.count(store) for store in stores), 10)
        self.assertEqual([self.target(prompt, stores=stores[::-1]) for prompt in prompts], homes)
        self.kept.down[stores[0]] = 1e9
        for home, prompt in zip(homes, prompts, strict=True):
            now = self.target(prompt, stores=stores)
            self.assertTrue(now == home or home == stores[0] != now, (home, now))

    def test_what_one_store_has_is_saved_to_none_and_fetched_from_there(self):
        stores = [f"172.20.0.{index}:80" for index in (2, 4, 5)]
        for store in stores:
            self.kept.keep(store, "1", "book", 13000)
            self.assertEqual(self.target(request(), stores=stores), "")
            self.assertEqual(self.source(request(), stores=stores), store)
            self.kept.forget(store)
