"""Tests of the admission of long calls."""

from swiftdeck.gateway.pace import PRIOR_TOKENS_PER_MS
from swiftdeck.gateway.places import FILL, RECLAIM_GRACE_S, Owners, PlaceTable, Wish
from tests.gateway.parts import SimCase

MEMORY_TOKENS = 100000
CAPACITY = int(MEMORY_TOKENS * FILL / 17000)


class PlacesTest(SimCase):
    def setUp(self):
        super().setUp()
        self.place_table = PlaceTable(self.telemetry, None, lambda worker: MEMORY_TOKENS)

    def wish(self, call, episode=None, tenant="t", tokens=17000, worker="w", left_s=6.0):
        return Wish(
            call,
            episode or f"e/{call}",
            tenant,
            worker,
            tokens,
            self.world.loops["here"].time() + left_s,
        )

    def ask(self, call, wait_ms=0, **more):
        return self.do(lambda: self.place_table.ask(self.wish(call, **more), wait_ms))

    def fill(self):
        return [self.ask(f"c{index}") for index in range(CAPACITY)]

    def end(self, call, **more):
        self.within(lambda: self.place_table.ended(call, **more))

    def tick(self, names=("w",)):
        self.within(lambda: self.place_table.tick(set(names)))

    def test_open_episodes_are_bounded_by_the_tokens_that_memory_holds(self):
        for tokens, capacity in ((17000, 5), (8000, 10), (42000, 2), (300000, 1)):
            place_table = self.place_table = PlaceTable(
                self.telemetry, None, lambda worker: MEMORY_TOKENS
            )
            self.assertEqual(
                [self.ask(f"c{index}", tokens=tokens) for index in range(capacity + 3)],
                [True] * capacity + [False] * 3,
                tokens,
            )
            self.assertEqual(
                place_table.status(), {"w": {"open": capacity, "cap": capacity, "line": 0}}
            )

    def test_the_reported_backlog_shrinks_with_time_whichever_calls_run(self):
        loads = []
        self.place_table.on_load = lambda worker, backlog, running: loads.append((backlog, running))
        for call in ("c1", "c2"):
            wish = self.wish(call)
            self.do(
                lambda: self.place_table.ask(
                    Wish(
                        *[
                            *(
                                getattr(wish, name)
                                for name in (
                                    "call",
                                    "episode",
                                    "tenant",
                                    "worker",
                                    "tokens",
                                    "deadline_s",
                                )
                            ),
                            10000,
                        ]
                    ),
                    0,
                )
            )
        self.assertEqual(loads, [(10000, 1), (20000, 2)])
        self.world.run(0.3)
        self.end("c1")
        self.assertAlmostEqual(loads[-1][0], 20000 - 300 * PRIOR_TOKENS_PER_MS, delta=100)
        self.world.run(1)
        self.end("c2")
        self.assertEqual(loads[-1], (0, 0))

    def test_workers_are_counted_separately(self):
        self.fill()
        self.assertEqual((self.ask("x"), self.ask("x", worker="w2")), (False, True))

    def test_later_calls_of_an_open_episode_are_not_subject_to_the_cap(self):
        self.fill()
        self.assertEqual(
            [self.ask(f"again{index}", episode="e/c0") for index in range(5)], [True] * 5
        )
        self.assertEqual(
            (self.ask("other"), len(self.place_table.slots_of("w").open)), (False, CAPACITY)
        )

    def test_a_place_is_freed_by_the_last_call_of_an_episode(self):
        self.fill()
        self.ask("again", episode="e/c0")
        self.end("c0")
        self.assertFalse(self.ask("other"))
        self.end("again")
        self.world.run(0.01)
        self.assertTrue(self.ask("other"))

    def test_an_episode_stays_open_for_a_pause_while_there_is_room(self):
        self.ask("c0", episode="e")
        self.end("c0")
        self.world.run(0.3)
        self.tick()
        self.assertIn("e", self.place_table.slots_of("w").open)
        self.world.run(0.2)
        self.tick()
        self.assertEqual(self.place_table.slots_by_worker, {"w": self.place_table.slots_of("w")})
        self.assertEqual(self.place_table.slots_of("w").open, {})

    def test_a_queued_call_is_admitted_only_when_a_place_is_free(self):
        self.fill()
        waiting = self.beside(lambda: self.place_table.ask(self.wish("late"), 2000))
        self.world.run(0.5)
        self.assertFalse(waiting.done())
        self.end("c1")
        self.world.run(0.01)
        self.tick()
        self.world.run(0.01)
        self.assertTrue(waiting.result())
        self.assertEqual(
            self.place_table.status()["w"], {"open": CAPACITY, "cap": CAPACITY, "line": 0}
        )

    def test_the_queue_serves_tenants_in_turn_and_each_in_order_of_arrival(self):
        self.fill()
        admitted = []

        async def queue_up(call, tenant):
            if await self.place_table.ask(self.wish(call, tenant=tenant), 5000):
                admitted.append(call)

        for call in ("x1", "x2", "x3", "x4", "y1", "z1", "y2"):
            self.beside(lambda: queue_up(call, call[0]))
            self.world.run(0.01)
        for _ in range(7):
            self.end(next(iter(next(iter(self.place_table.slots_of("w").open.values())).running)))
            self.world.run(0.01)
            self.tick()
            self.world.run(0.01)
        self.assertEqual(admitted, ["x1", "y1", "z1", "x2", "y2", "x3", "x4"])

    def test_a_new_episode_does_not_overtake_queued_calls(self):
        self.fill()
        waiting = self.beside(lambda: self.place_table.ask(self.wish("first"), 2000))
        self.world.run(0.1)
        slots = self.place_table.slots_of("w")
        slots.leave(next(iter(slots.open.values())))
        self.assertFalse(self.ask("second"))
        self.tick()
        self.world.run(0.01)
        self.assertTrue(waiting.result())

    def test_waits_are_bounded_in_time_and_number(self):
        self.fill()
        waiting = self.beside(lambda: self.place_table.ask(self.wish("late"), 300))
        self.world.run(0.29)
        self.assertFalse(waiting.done())
        self.world.run(0.02)
        self.assertFalse(waiting.result())
        self.assertEqual(self.place_table.status()["w"]["line"], 0)
        more = [
            self.beside(lambda: self.place_table.ask(self.wish(f"x{index}"), 5000))
            for index in range(self.place_table.max_queue_length + 2)
        ]
        self.world.run(0.01)
        self.assertEqual([each.result() for each in more if each.done()], [False, False])

    def test_a_cancelled_call_leaves_the_queue(self):
        self.fill()
        waiting = self.beside(lambda: self.place_table.ask(self.wish("late"), 5000))
        self.world.run(0.01)
        waiting.cancel()
        self.world.run(0.01)
        self.end("c0")
        self.world.run(0.5)
        self.tick()
        self.assertEqual(
            self.place_table.status()["w"], {"open": CAPACITY - 1, "cap": CAPACITY, "line": 0}
        )

    def test_places_of_a_lost_router_are_reclaimed_at_the_deadlines_of_their_calls(self):
        self.fill()
        self.world.run(6.0 + RECLAIM_GRACE_S - 0.1)
        self.assertFalse(self.ask("early"))
        self.world.run(0.2)
        self.tick()
        self.world.run(0.01)
        self.assertTrue(self.ask("late"))
        self.assertEqual(self.telemetry.count["placesReclaimed"], CAPACITY)
        self.end("c0")
        self.assertEqual(list(self.place_table.place_by_call), ["late"])

    def test_admitted_calls_stay_when_capacity_shrinks(self):
        self.fill()
        self.assertFalse(self.ask("large", tokens=90000))
        self.place_table.memory_of = lambda worker: MEMORY_TOKENS / 4
        self.assertFalse(self.ask("x"))
        self.tick()
        self.assertEqual(
            (len(self.place_table.slots_of("w").open), self.place_table.slots_of("w").cap),
            (CAPACITY, 1),
        )
        self.assertTrue(self.ask("again", episode="e/c0"))
        for index in range(CAPACITY - 1):
            self.end(f"c{index}")
            self.world.run(0.01)
            self.assertFalse(self.ask(f"y{index}"))

    def test_slots_of_a_lost_worker_are_dropped_once_nothing_is_open(self):
        self.ask("c0")
        self.tick(())
        self.assertIn("w", self.place_table.slots_by_worker)
        self.end("c0")
        self.world.run(0.5)
        self.tick(())
        self.assertEqual(
            (
                self.place_table.slots_by_worker,
                self.place_table.mean_tokens,
                self.place_table.place_by_call,
            ),
            ({}, {}, {}),
        )

    def test_the_end_of_an_unknown_call_is_ignored(self):
        self.end("never")
        self.ask("c0")
        self.end("c0")
        self.end("c0")
        self.assertEqual(len(self.place_table.slots_of("w").open), 1)

    def read(self, call, worker="w", tokens=17000):
        wish = self.wish(call, worker=worker)
        asked = Wish(
            wish.call, wish.episode, wish.tenant, worker, tokens, wish.deadline_s, missing=tokens
        )
        self.assertTrue(self.do(lambda: self.place_table.ask(asked, 0)))

    def test_only_prompts_that_were_read_alone_are_samples_of_the_pace(self):
        readings = []
        self.place_table.on_reading = lambda worker, tokens, elapsed_ms: readings.append(
            (worker, tokens)
        )
        self.read("alone")
        self.end("alone", first_event_ms=400)
        self.world.run(2)
        for call in ("first", "second"):
            self.read(call)
        self.read("elsewhere", worker="other", tokens=9000)
        for call in ("first", "second", "elsewhere"):
            self.end(call, first_event_ms=800)
        self.world.run(2)
        self.read("never")
        self.end("never")
        self.assertEqual(readings, [("w", 17000), ("other", 9000)])


class OwnersTest(SimCase):
    def test_routers_agree_on_owners_and_a_leaving_router_moves_only_its_workers(self):
        routers, workers = (
            [f"10.0.0.{index}:7000" for index in range(9)],
            [f"w{index}" for index in range(50)],
        )
        first, second = Owners(), Owners()
        before = {each: first.of(each, routers) for each in workers}
        self.assertEqual(
            before, {each: second.of(each, list(routers)) for each in reversed(workers)}
        )
        self.assertGreater(len(set(before.values())), 4)
        after = {each: first.of(each, routers[1:]) for each in workers}
        self.assertEqual(
            {each for each in workers if before[each] != after[each]},
            {each for each in workers if before[each] == routers[0]},
        )
        self.assertEqual(first.of("w", []), "")
