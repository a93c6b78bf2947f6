"""Cases of admission while coordinators and routers fail or freeze."""

from unittest import mock

from swiftdeck.traffic.claims import Claims
from tests.cases.bases import OpenConversationsCase


class CoordinatorsCase(OpenConversationsCase):
    """Conversations whose coordinator or router is killed, frozen or cut off."""

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

    def test_a_grant_that_lapsed_is_not_revived_by_a_hold_before_its_worker_is_reached(self):
        self.freeze_after_a_grant(True, link_s=0.2)

    def freeze_after_a_grant(self, is_claimed, link_s=0.0):
        """Freeze a router that has a grant until its place is another's; it then sends nothing.

        It is frozen when it has asked for its claim, or has it. `link_s` is how much longer its
        bytes take to the worker: with 0.2 s its hold is answered before its connection is.
        """
        town = self.town(cap=1, routers=4, idleMs=200, pauseMs=100, listOldMs=20000)
        keeper = town.keeper()
        name, other = [router for router in town.router_names() if router != keeper][:2]
        ip = town.addresses[name]["inner"].rpartition(":")[0]
        worker = town.site.workers[0]["addr"].rpartition(":")[0]
        town.world.net.slow[(ip, worker)] = link_s
        with mock.patch.object(Claims, "claim", self.freezing_claim(town, name, is_claimed)):
            late = self.call_at(town, name, "oita", ["b", "y"], idempotency="k")
            town.world.run(6)
            long = self.call_at(town, other, "saga", ["b", "z"])
            town.world.run(1)
            self.assertEqual(self.run_count(town), 1)
            town.up[name].lease.until_s += 20
            town.world.thaw(name)
            town.world.run(1)
            self.assertEqual(self.run_count(town), 1, is_claimed)
            town.world.run(until=lambda: late and long, limit_s=90)
        self.sound(town)

    def freezing_claim(self, town, name, is_claimed):
        """Give a claim that freezes a router once, when it has asked for it or has it."""
        claim, frozen = Claims.claim, []

        def freezes(claims, *call):
            held = claim(claims, *call)
            if claims is town.up[name].claims and not frozen:
                frozen.append(name)
                when = held.add_done_callback if is_claimed else town.world.loops[name].call_soon
                when(lambda *_: town.world.freeze(name))
            return held

        return freezes

    def call_at(self, town, name, tenant, parts, **options):
        """Make a long call at a router; gives the list that takes its return."""
        door = town.addresses[name]["http"]
        return town.spawn(
            lambda: town.caller.call(tenant, "check", parts, max_tokens=3200, door=door, **options)
        )

    def run_count(self, town):
        """How many calls began at workers."""
        return sum(item["kind"] == "run" for item in town.records)
