"""Cases of admission: books, lines, moves and keepers that fail."""

import unittest
from unittest import mock

from swiftdeck.bench.checker import check
from swiftdeck.fault import LINE_FULL, WAITED_OUT
from swiftdeck.sim.town import Town
from swiftdeck.traffic.claims import Claims


class AdmissionCase(unittest.TestCase):
    """Conversations that start, wait, go on, pause, move and end."""

    def town(self, seed=1, cap=2, **more):
        settings = {
            name: more.pop(name)
            for name in list(more)
            if name in ("idleMs", "pauseMs", "lineMax", "adapts", "capLeast")
        }
        return Town(seed, **({"routers": 3, "workers": 1} | more)).start(cap=cap, **settings)

    def sound(self, town):
        self.assertEqual(check(town.records, {town.site.apart}), {})
        self.assertEqual(town.world.faults, [])

    def most_open(self, town, until, limit_s=120):
        """Let time pass and give the most conversations that any book had open."""
        most = 0

        def look():
            nonlocal most
            if town.keeper():
                most = max([most, *(len(book.open) for book in town.books().values())])
            return until()

        for _ in range(int(limit_s / 0.05)):
            town.world.run(0.05)
            if look():
                return most
        self.fail("not done in time")

    def open(self, town):
        return sum(len(book.open) for book in town.books().values())

    def test_starts_from_many_routers_at_once_never_pass_the_cap(self):
        town = self.town(cap=3)
        tenants = list(town.site.keys)
        box = [
            town.spawn(
                lambda number=number: town.caller.agent(tenants[number % 8], turns=3, gap=0.2)
            )
            for number in range(24)
        ]
        self.assertEqual(self.most_open(town, lambda: all(box)), 3)
        self.assertEqual([each[0] for each in box], [3] * 24)
        turns = [item["hitParts"] for item in town.records if item["kind"] == "prefill"]
        self.assertEqual(len(turns), 72)
        self.sound(town)

    def test_a_later_call_of_an_admitted_conversation_never_waits_behind_the_line(self):
        town = self.town(cap=1, pauseMs=60000, idleMs=60000)
        got = town.call("saga", "check", ["book", "mine"])
        waiting = town.spawn(lambda: town.caller.call("oita", "check", ["book", "other"]))
        town.world.run(1)
        again = town.call("saga", "check", [*got["parts"], "said", "more"])
        self.assertEqual(
            (again["status"], again["waitedMs"], again["usage"]["hitParts"]), (200, 0, 2)
        )
        self.assertFalse(waiting)
        last = town.call("saga", "check", [*again["parts"], "said", "end"], is_last=True)
        self.assertTrue(last["whole"])
        town.world.run(3)
        self.assertTrue(waiting and waiting[0]["whole"])
        self.sound(town)

    def test_sharing_the_long_book_is_no_continuation(self):
        town = self.town(cap=8)
        for number in range(3):
            town.call("saga", "check", ["the long book", f"case {number}"])
        self.assertEqual(self.open(town), 3)

    def test_the_line_serves_tenants_in_turn(self):
        town = self.town(cap=1, idleMs=300, pauseMs=100)
        large = [
            town.spawn(
                lambda number=number: town.caller.call(
                    "chikugo", "check", ["b", str(number)], is_last=True, max_tokens=320
                )
            )
            for number in range(12)
        ]
        town.world.run(0.3)
        small = town.spawn(lambda: town.caller.call("saga", "check", ["b", "small"], is_last=True))
        town.world.run(until=lambda: small, limit_s=60)
        self.assertLessEqual(sum(bool(each) for each in large), 3)
        self.assertTrue(small[0]["whole"])

    def test_a_full_line_and_a_long_wait_end_at_once_with_a_time_to_come_back(self):
        town = self.town(cap=1, lineMax=2, idleMs=60000, pauseMs=60000)
        town.change("PATCH", {"routes": {"check": {"waitMs": 3000}}})
        town.call("saga", "check", ["b", "first"])
        at_s = town.world.now
        box = [
            town.spawn(lambda number=number: town.caller.call("oita", "check", ["b", str(number)]))
            for number in range(4)
        ]
        town.world.run(0.5)
        full = [each[0] for each in box if each]
        self.assertEqual([each["code"] for each in full], [LINE_FULL.code] * 2)
        town.world.run(until=lambda: all(box), limit_s=10)
        self.assertLess(town.world.now - at_s, 3.5)
        late = [each[0] for each in box if each[0]["code"] == WAITED_OUT.code]
        self.assertEqual(len(late), 2)
        self.assertTrue(all(each["notRun"] and each["retryAfter"] for each in [*full, *late]))
        self.sound(town)

    def test_slots_come_back_from_paused_and_vanished_agents(self):
        town = self.town(cap=2, idleMs=7500, pauseMs=3100)
        for number in range(2):
            town.call("saga", "check", ["b", str(number)])
        at_s = town.world.now
        got = town.call("oita", "check", ["b", "later"])
        self.assertTrue(got["whole"])
        self.assertTrue(2.0 < town.world.now - at_s < 5.0, town.world.now - at_s)
        town.world.run(9)
        self.assertEqual(self.open(town), 0)
        self.sound(town)

    def test_slots_of_a_dead_router_come_back_once_its_lease_has_run_out(self):
        town = self.town(cap=1)
        keeper = town.keeper()
        victim = next(name for name in town.router_names() if name != keeper)
        town.spawn(
            lambda: town.caller.call(
                "saga", "check", ["b", "x"], max_tokens=20000, door=town.addresses[victim]["http"]
            )
        )
        town.world.run(1)
        self.assertEqual(self.open(town), 1)
        town.world.kill(victim, silent=True)
        at_s = town.world.now
        town.caller.doors = [town.addresses[name]["http"] for name in town.router_names()]
        got = town.call("oita", "check", ["b", "y"])
        self.assertTrue(got["whole"], got)
        self.assertLess(town.world.now - at_s, 9)

    def test_a_router_that_is_cut_off_adds_no_more_than_what_it_ran_and_only_until_that_ends(self):
        town = self.town(cap=2, routers=4, idleMs=8000, pauseMs=3000)
        name = next(each for each in town.router_names() if each != town.keeper())
        doors = [town.addresses[each]["http"] for each in town.router_names() if each != name]

        def running():
            ended = {item["run"] for item in town.records if item["kind"] == "ran"}
            return len(
                [
                    item
                    for item in town.records
                    if item["kind"] == "run" and item["run"] not in ended
                ]
            )

        own = [
            town.spawn(
                lambda number=number: town.caller.call(
                    "saga",
                    "check",
                    ["b", str(number)],
                    is_last=True,
                    max_tokens=12000,
                    door=town.addresses[name]["http"],
                )
            )
            for number in range(2)
        ]
        town.world.run(1)
        ip = town.addresses[name]["inner"].rpartition(":")[0]
        town.world.net.cut(
            [ip],
            [
                node["inner"].rpartition(":")[0]
                for each, node in town.addresses.items()
                if each != name
            ],
        )
        town.record("operator")("kill", target=name, id=1)
        cut = town.spawn(
            lambda: town.caller.call(
                "saga", "check", ["b", "cut off"], door=town.addresses[name]["http"]
            )
        )
        box = [
            town.spawn(lambda number=number: town.caller.agents("oita", turns=(1, 3), rest_s=0.1))
            for number in range(6)
        ]
        town.caller.doors, most, over = doors, 0, 0
        for _ in range(140):
            town.world.run(0.1)
            most, over = max(most, running()), over + (running() > 2)
        self.assertEqual((most, any(own)), (4, False))
        self.assertGreater(over, 10)
        town.world.net.heal()
        town.record("operator")("back", id=1, target=name)
        self.assertTrue(town.world.run(until=lambda: self.open(town) > 2, limit_s=3))
        town.world.run(until=lambda: all(own), limit_s=60)
        starts = [
            item
            for each in town.router_names()
            for item in town.up[each].decisions.items
            if item["kind"] == "start"
        ]
        self.assertTrue(all(item["open"] <= item["cap"] for item in starts))
        self.assertTrue(all(each[0]["whole"] for each in own))
        self.assertTrue(cut and cut[0]["notRun"])
        town.caller.stopping = True
        town.world.run(until=lambda: all(box), limit_s=60)
        self.sound(town)

    def test_a_new_keeper_counts_open_conversations_before_it_grants_a_start(self):
        for how in ("kill", "freeze", "cut"):
            town = self.town(cap=2, routers=4, idleMs=60000, pauseMs=60000)
            old = town.keeper()
            running = self.fill(town, self.other_doors(town, old))
            self.take_out(town, old, how)
            at_s, start = town.world.now, self.spawn_start(town)
            self.run_to_next_keeper(town, old)
            self.assertLess(town.world.now - at_s, 12, how)
            town.world.run(1)
            self.assertEqual(self.open(town), 2, how)
            if how == "freeze":
                town.world.thaw(old)
            town.world.net.heal()
            town.world.run(5)
            held = [
                name
                for name in town.router_names()
                for keeper in town.up[name].keepers.values()
                if keeper.duty.is_held()
            ]
            self.assertEqual(len(held), 1, how)
            self.assertTrue(not start or not start[0]["whole"], how)
            self.assertFalse(any(running), how)

    def other_doors(self, town, name):
        """Give the doors of all routers but one, to which callers go from now on."""
        doors = [town.addresses[other]["http"] for other in town.router_names() if other != name]
        town.caller.doors = doors
        return doors

    def fill(self, town, doors):
        """Begin two long conversations; gives the lists that take their returns."""
        running = [
            town.spawn(
                lambda number=number: town.caller.call(
                    "saga",
                    "check",
                    ["b", str(number)],
                    max_tokens=20000,
                    timeout_s=600,
                    door=doors[number],
                )
            )
            for number in range(2)
        ]
        town.world.run(1)
        return running

    def take_out(self, town, name, how):
        """Kill or freeze a process, or cut it from all others."""
        if how == "kill":
            town.world.kill(name)
        elif how == "freeze":
            town.world.freeze(name)
        else:
            ips = {
                other: node["inner"].rpartition(":")[0] for other, node in town.addresses.items()
            }
            alone = ips.pop(name)
            town.world.net.cut([alone], list(ips.values()))

    def spawn_start(self, town):
        """Begin a conversation that waits five seconds; gives the list that takes its return."""
        return town.spawn(lambda: town.caller.call("oita", "check", ["b", "new"], timeout_s=5))

    def run_to_next_keeper(self, town, old):
        """Let time pass until another router keeps the books."""
        town.world.run(until=lambda: town.keeper() not in (None, old), limit_s=20)

    def test_the_line_of_a_lost_keeper_stands_anew_in_the_order_of_waiting(self):
        for seed in (1, 2, 3):
            town = self.town(seed, cap=1, routers=4, idleMs=60000, pauseMs=60000)
            self.assertEqual(town.change("PATCH", {"routes": {"check": {"waitMs": 40000}}})[0], 200)
            old = town.keeper()
            doors = [town.addresses[name]["http"] for name in town.router_names() if name != old]
            long, order = self.queue_up(town, doors)
            town.world.kill(old)
            self.assertTrue(self.run_until_runs(town, 1 + len(order)))
            self.assertTrue(long[0]["whole"])
            tenants = [item["tenant"] for item in town.records if item["kind"] == "run"][1:]
            self.assertEqual(tenants, order)
            self.sound(town)

    def queue_up(self, town, doors):
        """Begin a long call at a worker for one, and let six tenants wait behind it.

        Gives the list that takes the return of the long call, and the tenants in their order.
        """
        long = town.spawn(
            lambda: town.caller.call(
                "saga", "check", ["b", "long"], is_last=True, max_tokens=4800, door=doors[0]
            )
        )
        town.world.run(1)
        order = ["chikugo", "hitoyoshi", "kumamoto", "miyazaki", "nagasaki", "oita"]
        for at, tenant in enumerate(order):
            town.spawn(
                lambda tenant=tenant, at=at: town.caller.call(
                    tenant, "check", ["b", tenant], is_last=True, door=doors[at % 3]
                )
            )
            town.world.run(0.23)
        return long, order

    def run_until_runs(self, town, count):
        """Let time pass until the workers ran so many calls; gives whether they did in time."""
        return town.world.run(
            until=lambda: sum(item["kind"] == "run" for item in town.records) == count,
            limit_s=60,
        )

    def test_a_place_lost_between_two_questions_is_taken_anew(self):
        town = self.town(cap=1, workers=2, lineMax=1, idleMs=60000, pauseMs=60000)
        keeper = town.keeper()
        alone = next(name for name in town.router_names() if name != keeper)
        doors = {"alone": town.addresses[alone]["http"], "keeper": town.addresses[keeper]["http"]}
        talks = [
            town.call("saga", "check", ["b", str(number)], door=doors["keeper"])
            for number in range(2)
        ]
        others = [
            town.spawn(
                lambda: town.caller.call(
                    "oita", "check", ["b", "z"], is_last=True, door=doors["keeper"]
                )
            )
        ]
        town.world.run(0.2)
        late = town.spawn(
            lambda: town.caller.call("nagasaki", "check", ["b", "y"], door=doors["alone"])
        )
        town.world.run(0.2)
        place = next(
            (name, each)
            for name, book in town.books().items()
            for each in book.line
            if each.tenant == "nagasaki"
        )
        ips = [town.addresses[name]["inner"].rpartition(":")[0] for name in (alone, keeper)]
        town.world.net.cut(ips[:1], ips[1:])
        town.world.run(until=lambda: not place[1].is_asking(), limit_s=2)

        async def leave():
            town.up["platform"].remove(place[0])

        town.world.do("platform", leave)
        town.world.run(0.7)
        town.world.net.heal()
        for talk in talks:
            if talk["worker"] != place[0]:
                town.call(
                    "saga",
                    "check",
                    [*talk["parts"], "said", "end"],
                    is_last=True,
                    door=doors["keeper"],
                )
        town.world.run(until=lambda: late and others[0], limit_s=60)
        self.assertTrue(late[0]["whole"], late)

    def test_a_keeper_frozen_while_it_renews_gathers_anew_when_it_wakes(self):
        town = self.town(routers=1)
        name = town.keeper()
        town.call("saga", "check", ["b", "x"])
        mesh, duty = town.up[name].mesh, next(iter(town.up[name].keepers.values())).duty
        town.world.freeze("core3")
        town.world.run(2)
        self.assertTrue(
            town.world.run(
                until=lambda: (
                    sum(asked.link.addr in town.seeds for asked in mesh.asked.values()) >= 3
                ),
                limit_s=5,
            )
        )
        left_s = duty.until_s - duty.loop.time()
        town.world.freeze(name)
        town.world.run(left_s + 0.1)
        town.world.thaw(name)
        self.assertTrue(town.world.run(until=lambda: town.keeper() == name, limit_s=8))
        self.assertTrue(town.call("saga", "check", ["b", "y"])["whole"])

    def test_a_router_frozen_with_a_grant_on_its_way_does_not_act_on_it_later(self):
        town = self.town(cap=1, routers=4, idleMs=200, pauseMs=100)
        keeper = town.keeper()
        frozen, door, other = [
            town.addresses[name]["http"] for name in town.router_names() if name != keeper
        ]
        name = next(name for name in town.router_names() if town.addresses[name]["http"] == frozen)
        first = town.spawn(
            lambda: town.caller.call(
                "saga", "check", ["b", "x"], is_last=True, max_tokens=800, door=door
            )
        )
        town.world.run(0.5)
        late = town.spawn(lambda: town.caller.call("oita", "check", ["b", "y"], door=frozen))
        town.world.run(
            until=lambda: any(len(book.line) for book in town.books().values()), limit_s=5
        )
        town.world.freeze(name)
        town.world.run(until=lambda: first, limit_s=60)
        town.world.run(5)
        long = town.spawn(
            lambda: town.caller.call("saga", "check", ["b", "z"], max_tokens=8000, door=other)
        )
        town.world.run(2)
        self.assertEqual(self.open(town), 1)
        before = len([item for item in town.records if item["kind"] == "run"])
        town.world.thaw(name)
        town.world.run(2)
        self.assertEqual(len([item for item in town.records if item["kind"] == "run"]), before)
        town.world.run(until=lambda: late and long, limit_s=90)
        self.sound(town)

    def test_a_grant_that_outlived_a_freeze_is_not_acted_on(self):
        for is_claimed in (False, True):
            self.freeze_after_a_grant(is_claimed)

    def freeze_after_a_grant(self, is_claimed):
        town = self.town(cap=1, routers=4, idleMs=200, pauseMs=100, listOldMs=20000)
        keeper = town.keeper()
        name, other = [each for each in town.router_names() if each != keeper][:2]
        ask, held = Claims.claim, []

        def freezes(claims, *what):
            got = ask(claims, *what)
            if claims is town.up[name].claims and not held:
                held.append(name)
                (got.add_done_callback if is_claimed else town.world.loops[name].call_soon)(
                    lambda *_: town.world.freeze(name)
                )
            return got

        def runs():
            return len([item for item in town.records if item["kind"] == "run"])

        with mock.patch.object(Claims, "claim", freezes):
            late = town.spawn(
                lambda: town.caller.call(
                    "oita",
                    "check",
                    ["b", "y"],
                    idempotency="k",
                    max_tokens=3200,
                    door=town.addresses[name]["http"],
                )
            )
            town.world.run(6)
            long = town.spawn(
                lambda: town.caller.call(
                    "saga", "check", ["b", "z"], max_tokens=3200, door=town.addresses[other]["http"]
                )
            )
            town.world.run(1)
            self.assertEqual(runs(), 1)
            town.up[name].lease.until_s += 20
            town.world.thaw(name)
            town.world.run(1)
            self.assertEqual(runs(), 1, is_claimed)
            town.world.run(until=lambda: late and long, limit_s=90)
        self.sound(town)

    def test_conversations_of_a_draining_worker_move_and_keep_their_admission(self):
        town = self.town(cap=2, workers=2, idleMs=60000, pauseMs=60000)
        talks = []
        for number in range(4):
            talks.append(town.call("saga", "check", ["b", f"case {number}"]))
        self.assertEqual(sorted(len(book.open) for book in town.books().values()), [2, 2])
        stream = town.spawn(
            lambda: town.caller.call(
                "saga", "check", [*talks[0]["parts"], "a", "b"], max_tokens=4000
            )
        )
        town.world.run(0.5)
        leaving = talks[0]["worker"]

        async def drain():
            town.up["platform"].drain(leaving)

        town.world.do("platform", drain)
        town.world.run(4)
        again = [town.call("saga", "check", [*talk["parts"], "said", "more"]) for talk in talks[1:]]
        self.assertTrue(
            all(
                each["whole"] and each["worker"] != leaving and each["waitedMs"] == 0
                for each in again
            )
        )
        town.world.run(until=lambda: stream, limit_s=60)
        self.assertTrue(stream[0]["whole"])
        late = town.call("oita", "check", ["b", "new"])
        self.assertEqual(late["code"], WAITED_OUT.code)
        counters = town.up[town.keeper()].counters()
        self.assertGreater(counters["movesOverCap"], 0)
        self.sound(town)

    def test_only_admitted_conversations_fetch_and_a_slow_link_costs_its_bound_once(self):
        town = self.town(cap=4, workers=2, idleMs=60000)
        long = "long " * 20000
        first = town.call("saga", "check", [long, "mine"])

        async def drain():
            town.up["platform"].drain(first["worker"])

        town.world.do("platform", drain)
        town.world.run(2)
        moved = town.call("saga", "check", [*first["parts"], "said", "x"])
        self.assertEqual((moved["usage"]["hitParts"], moved["whole"]), (2, True))
        fetches = [item["parts"] for item in town.records if item["kind"] == "fetch"]
        self.assertEqual(fetches[-1], 2)
        self.assertEqual(
            len([item for item in town.records if item["kind"] == "run"]), len(fetches)
        )

        async def swap():
            town.up["platform"].drain(first["worker"], False)
            town.up["platform"].drain(moved["worker"])

        town.world.do("platform", swap)
        town.world.run(2)
        town.up[moved["worker"]].link_s = 30.0
        at_s = town.world.now
        back = town.call("saga", "check", [*moved["parts"], "said", "y"])
        self.assertTrue(back["whole"])
        self.assertLess(town.world.now - at_s, 1.5 + 4.0)
        counters = town.up[town.keeper()].counters()
        self.assertGreaterEqual(
            sum(town.up[name].counters().get("fetches", 0) for name in town.router_names()),
            3,
            counters,
        )
        self.sound(town)

    def test_cache_reports_lost_doubled_and_late_only_cost_warmth(self):
        for quirk in ("lose reports", "double reports", "late reports"):
            town = self.town(cap=4, workers=2)
            for worker in town.site.workers:
                town.up[worker["name"]].quirk = quirk
            self.assertEqual(self.agents_served(town), [4] * 8, quirk)
            self.sound(town)

    def agents_served(self, town):
        """Let an agent of each tenant make four turns; gives how many each was served."""
        served = [
            town.spawn(lambda tenant=tenant: town.caller.agent(tenant, turns=4, gap=0.1))
            for tenant in town.site.keys
        ]
        town.world.run(until=lambda: all(served), limit_s=120)
        return [turns[0] for turns in served]

    def test_the_cap_rises_while_prefixes_survive_and_falls_when_they_do_not(self):
        town = self.town(cap=8, adapts=True, capLeast=2, pauseMs=8000, idleMs=9000)
        town.up["worker1"].cache.room = 30000
        town.caller.book["check"] = "rules "
        for number in range(8):
            town.spawn(lambda number=number: town.caller.agents("saga", turns=(10, 14), rest_s=0.1))
        caps = []
        with mock.patch("swiftdeck.traffic.keeper.ADAPT_S", 5.0):
            for _ in range(25):
                town.world.run(2)
                caps += [book.cap for book in town.books().values()]
        self.assertEqual(caps[0], 2)
        most = caps.index(max(caps))
        self.assertGreater(caps[most], 3)
        self.assertLess(min(caps[most:]), caps[most])
