"""Tests of the admission books."""

from swiftdeck.gateway.pace import PRIOR_TOKENS_PER_MS
from swiftdeck.gateway.places import FILL, GRACE_S, Owners, PlaceTable, Wish
from tests.gateway.parts import SimCase

ROOM = 100000
FITS = int(ROOM * FILL / 17000)


class PlacesTest(SimCase):
    def setUp(self):
        super().setUp()
        self.place_table = PlaceTable(self.telemetry, None, lambda worker: ROOM)

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
        return [self.ask(f"c{at}") for at in range(FITS)]

    def end(self, call, **more):
        self.within(lambda: self.place_table.ended(call, **more))

    def tick(self, names=("w",)):
        self.within(lambda: self.place_table.tick(set(names)))

    def test_as_many_are_open_as_the_memory_holds_of_their_tokens(self):
        for tokens, most in ((17000, 5), (8000, 10), (42000, 2), (300000, 1)):
            place_table = self.place_table = PlaceTable(self.telemetry, None, lambda worker: ROOM)
            self.assertEqual(
                [self.ask(f"c{at}", tokens=tokens) for at in range(most + 3)],
                [True] * most + [False] * 3,
                tokens,
            )
            self.assertEqual(place_table.status(), {"w": {"open": most, "cap": most, "line": 0}})

    def test_what_is_told_to_be_read_runs_down_with_time_whichever_calls_run(self):
        told = []
        self.place_table.on_load = lambda worker, backlog, running: told.append((backlog, running))
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
        self.assertEqual(told, [(10000, 1), (20000, 2)])
        self.world.run(0.3)
        self.end("c1")
        self.assertAlmostEqual(told[-1][0], 20000 - 300 * PRIOR_TOKENS_PER_MS, delta=100)
        self.world.run(1)
        self.end("c2")
        self.assertEqual(told[-1], (0, 0))

    def test_books_of_workers_are_apart(self):
        self.fill()
        self.assertEqual((self.ask("x"), self.ask("x", worker="w2")), (False, True))

    def test_a_later_call_of_an_open_episode_looks_at_no_cap(self):
        self.fill()
        self.assertEqual([self.ask(f"again{at}", episode="e/c0") for at in range(5)], [True] * 5)
        self.assertEqual((self.ask("other"), len(self.place_table.of("w").open)), (False, FITS))

    def test_a_place_is_given_back_with_the_last_call_of_an_episode(self):
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
        self.assertIn("e", self.place_table.of("w").open)
        self.world.run(0.2)
        self.tick()
        self.assertEqual(self.place_table.place_table, {"w": self.place_table.of("w")})
        self.assertEqual(self.place_table.of("w").open, {})

    def test_who_waits_is_let_in_when_a_place_comes_free_and_no_sooner(self):
        self.fill()
        waiting = self.beside(lambda: self.place_table.ask(self.wish("late"), 2000))
        self.world.run(0.5)
        self.assertFalse(waiting.done())
        self.end("c1")
        self.world.run(0.01)
        self.tick()
        self.world.run(0.01)
        self.assertTrue(waiting.result())
        self.assertEqual(self.place_table.status()["w"], {"open": FITS, "cap": FITS, "line": 0})

    def test_the_line_serves_tenants_in_turn_and_each_first_come_first_served(self):
        self.fill()
        got = []

        async def stand(call, tenant):
            if await self.place_table.ask(self.wish(call, tenant=tenant), 5000):
                got.append(call)

        for call in ("x1", "x2", "x3", "x4", "y1", "z1", "y2"):
            self.beside(lambda: stand(call, call[0]))
            self.world.run(0.01)
        for _ in range(7):
            self.end(next(iter(next(iter(self.place_table.of("w").open.values())).running)))
            self.world.run(0.01)
            self.tick()
            self.world.run(0.01)
        self.assertEqual(got, ["x1", "y1", "z1", "x2", "y2", "x3", "x4"])

    def test_a_start_does_not_pass_those_who_wait(self):
        self.fill()
        waiting = self.beside(lambda: self.place_table.ask(self.wish("first"), 2000))
        self.world.run(0.1)
        book = self.place_table.of("w")
        book.leave(next(iter(book.open.values())))
        self.assertFalse(self.ask("second"))
        self.tick()
        self.world.run(0.01)
        self.assertTrue(waiting.result())

    def test_waits_are_bounded_in_time_and_in_number(self):
        self.fill()
        waiting = self.beside(lambda: self.place_table.ask(self.wish("late"), 300))
        self.world.run(0.29)
        self.assertFalse(waiting.done())
        self.world.run(0.02)
        self.assertFalse(waiting.result())
        self.assertEqual(self.place_table.status()["w"]["line"], 0)
        more = [
            self.beside(lambda: self.place_table.ask(self.wish(f"x{at}"), 5000))
            for at in range(self.place_table.line_most + 2)
        ]
        self.world.run(0.01)
        self.assertEqual([each.result() for each in more if each.done()], [False, False])

    def test_who_gives_up_leaves_the_line(self):
        self.fill()
        waiting = self.beside(lambda: self.place_table.ask(self.wish("late"), 5000))
        self.world.run(0.01)
        waiting.cancel()
        self.world.run(0.01)
        self.end("c0")
        self.world.run(0.5)
        self.tick()
        self.assertEqual(self.place_table.status()["w"], {"open": FITS - 1, "cap": FITS, "line": 0})

    def test_places_of_a_router_that_is_gone_come_back_at_their_calls_deadlines(self):
        self.fill()
        self.world.run(6.0 + GRACE_S - 0.1)
        self.assertFalse(self.ask("early"))
        self.world.run(0.2)
        self.tick()
        self.world.run(0.01)
        self.assertTrue(self.ask("late"))
        self.assertEqual(self.telemetry.count["placesReclaimed"], FITS)
        self.end("c0")
        self.assertEqual(list(self.place_table.calls), ["late"])

    def test_nothing_admitted_is_taken_back_when_there_is_less_room(self):
        self.fill()
        self.assertFalse(self.ask("large", tokens=90000))
        self.place_table.memory_of = lambda worker: ROOM / 4
        self.assertFalse(self.ask("x"))
        self.tick()
        self.assertEqual(
            (len(self.place_table.of("w").open), self.place_table.of("w").cap), (FITS, 1)
        )
        self.assertTrue(self.ask("again", episode="e/c0"))
        for at in range(FITS - 1):
            self.end(f"c{at}")
            self.world.run(0.01)
            self.assertFalse(self.ask(f"y{at}"))

    def test_books_of_workers_that_are_gone_are_forgotten_once_nothing_is_open(self):
        self.ask("c0")
        self.tick(())
        self.assertIn("w", self.place_table.place_table)
        self.end("c0")
        self.world.run(0.5)
        self.tick(())
        self.assertEqual(
            (self.place_table.place_table, self.place_table.tokens, self.place_table.calls),
            ({}, {}, {}),
        )

    def test_an_end_that_nobody_knows_does_nothing(self):
        self.end("never")
        self.ask("c0")
        self.end("c0")
        self.end("c0")
        self.assertEqual(len(self.place_table.of("w").open), 1)

    def read(self, call, worker="w", tokens=17000):
        wish = self.wish(call, worker=worker)
        asked = Wish(
            wish.call, wish.episode, wish.tenant, worker, tokens, wish.deadline_s, missing=tokens
        )
        self.assertTrue(self.do(lambda: self.place_table.ask(asked, 0)))

    def test_the_pace_is_told_by_prompts_that_were_read_alone(self):
        told = []
        self.place_table.on_reading = lambda worker, tokens, elapsed_ms: told.append(
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
        self.assertEqual(told, [("w", 17000), ("other", 9000)])


class OwnersTest(SimCase):
    def test_all_routers_name_the_same_owner_and_one_that_leaves_moves_only_its_own(self):
        routers, workers = [f"10.0.0.{at}:7000" for at in range(9)], [f"w{at}" for at in range(50)]
        one, two = Owners(), Owners()
        before = {each: one.of(each, routers) for each in workers}
        self.assertEqual(before, {each: two.of(each, list(routers)) for each in reversed(workers)})
        self.assertGreater(len(set(before.values())), 4)
        after = {each: one.of(each, routers[1:]) for each in workers}
        self.assertEqual(
            {each for each in workers if before[each] != after[each]},
            {each for each in workers if before[each] == routers[0]},
        )
        self.assertEqual(one.of("w", []), "")
