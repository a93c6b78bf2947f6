"""Cases of admission while coordinators and routers fail or freeze."""

from unittest import mock

from swiftdeck.traffic.claims import Claims
from tests.cases.bases import OpenConversationsCase


class CoordinatorsCase(OpenConversationsCase):
    """Conversations whose coordinator or router is killed, frozen or cut off."""

    def test_slots_of_a_dead_router_come_back_once_its_lease_has_run_out(self):
        cluster = self.cluster(cap=1)
        coordinator = cluster.coordinator()
        victim = next(name for name in cluster.router_names() if name != coordinator)
        cluster.spawn(
            lambda: cluster.caller.call(
                "saga",
                "check",
                ["b", "x"],
                max_tokens=20000,
                door=cluster.addresses[victim]["http"],
            )
        )
        cluster.world.run(1)
        self.assertEqual(self.open(cluster), 1)
        cluster.world.kill(victim, silent=True)
        at_s = cluster.world.now
        cluster.caller.doors = [cluster.addresses[name]["http"] for name in cluster.router_names()]
        got = cluster.call("oita", "check", ["b", "y"])
        self.assertTrue(got["whole"], got)
        self.assertLess(cluster.world.now - at_s, 9)

    def test_a_router_that_is_cut_off_adds_no_more_than_what_it_ran_and_only_until_that_ends(self):
        cluster = self.cluster(cap=2, routers=4, idleMs=8000, pauseMs=3000)
        name = next(each for each in cluster.router_names() if each != cluster.coordinator())
        doors = [cluster.addresses[each]["http"] for each in cluster.router_names() if each != name]

        def running():
            ended = {item["run"] for item in cluster.records if item["kind"] == "ran"}
            return len(
                [
                    item
                    for item in cluster.records
                    if item["kind"] == "run" and item["run"] not in ended
                ]
            )

        own = [
            cluster.spawn(
                lambda number=number: cluster.caller.call(
                    "saga",
                    "check",
                    ["b", str(number)],
                    is_last=True,
                    max_tokens=12000,
                    door=cluster.addresses[name]["http"],
                )
            )
            for number in range(2)
        ]
        cluster.world.run(1)
        ip = cluster.addresses[name]["inner"].rpartition(":")[0]
        cluster.world.net.cut(
            [ip],
            [
                node["inner"].rpartition(":")[0]
                for each, node in cluster.addresses.items()
                if each != name
            ],
        )
        cluster.record("operator")("kill", target=name, id=1)
        cut = cluster.spawn(
            lambda: cluster.caller.call(
                "saga", "check", ["b", "cut off"], door=cluster.addresses[name]["http"]
            )
        )
        box = [
            cluster.spawn(
                lambda number=number: cluster.caller.agents("oita", turns=(1, 3), rest_s=0.1)
            )
            for number in range(6)
        ]
        cluster.caller.doors, most, over = doors, 0, 0
        for _ in range(140):
            cluster.world.run(0.1)
            most, over = max(most, running()), over + (running() > 2)
        self.assertEqual((most, any(own)), (4, False))
        self.assertGreater(over, 10)
        cluster.world.net.heal()
        cluster.record("operator")("back", id=1, target=name)
        self.assertTrue(cluster.world.run(until=lambda: self.open(cluster) > 2, limit_s=3))
        cluster.world.run(until=lambda: all(own), limit_s=60)
        starts = [
            item
            for each in cluster.router_names()
            for item in cluster.up[each].decisions.items
            if item["kind"] == "start"
        ]
        self.assertTrue(all(item["open"] <= item["cap"] for item in starts))
        self.assertTrue(all(each[0]["whole"] for each in own))
        self.assertTrue(cut and cut[0]["notRun"])
        cluster.caller.stopping = True
        cluster.world.run(until=lambda: all(box), limit_s=60)
        self.sound(cluster)

    def test_a_new_keeper_counts_open_conversations_before_it_grants_a_start(self):
        for how in ("kill", "freeze", "cut"):
            cluster = self.cluster(cap=2, routers=4, idleMs=60000, pauseMs=60000)
            old = cluster.coordinator()
            running = self.fill(cluster, self.other_doors(cluster, old))
            self.take_out(cluster, old, how)
            at_s, start = cluster.world.now, self.spawn_start(cluster)
            self.run_to_next_coordinator(cluster, old)
            self.assertLess(cluster.world.now - at_s, 12, how)
            cluster.world.run(1)
            self.assertEqual(self.open(cluster), 2, how)
            if how == "freeze":
                cluster.world.thaw(old)
            cluster.world.net.heal()
            cluster.world.run(5)
            held = [
                name
                for name in cluster.router_names()
                for coordinator in cluster.up[name].coordinators.values()
                if coordinator.duty.is_held()
            ]
            self.assertEqual(len(held), 1, how)
            self.assertTrue(not start or not start[0]["whole"], how)
            self.assertFalse(any(running), how)

    def other_doors(self, cluster, name):
        """Give the doors of all routers but one, to which callers go from now on."""
        doors = [
            cluster.addresses[other]["http"] for other in cluster.router_names() if other != name
        ]
        cluster.caller.doors = doors
        return doors

    def fill(self, cluster, doors):
        """Begin two long conversations; gives the lists that take their returns."""
        running = [
            cluster.spawn(
                lambda number=number: cluster.caller.call(
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
        cluster.world.run(1)
        return running

    def take_out(self, cluster, name, how):
        """Kill or freeze a process, or cut it from all others."""
        if how == "kill":
            cluster.world.kill(name)
        elif how == "freeze":
            cluster.world.freeze(name)
        else:
            ips = {
                other: node["inner"].rpartition(":")[0] for other, node in cluster.addresses.items()
            }
            alone = ips.pop(name)
            cluster.world.net.cut([alone], list(ips.values()))

    def spawn_start(self, cluster):
        """Begin a conversation that waits five seconds; gives the list that takes its return."""
        return cluster.spawn(
            lambda: cluster.caller.call("oita", "check", ["b", "new"], timeout_s=5)
        )

    def run_to_next_coordinator(self, cluster, old):
        """Let time pass until another router keeps the books."""
        cluster.world.run(until=lambda: cluster.coordinator() not in (None, old), limit_s=20)

    def test_the_line_of_a_lost_keeper_stands_anew_in_the_order_of_waiting(self):
        for seed in (1, 2, 3):
            cluster = self.cluster(seed, cap=1, routers=4, idleMs=60000, pauseMs=60000)
            self.assertEqual(
                cluster.change("PATCH", {"routes": {"check": {"waitMs": 40000}}})[0], 200
            )
            old = cluster.coordinator()
            doors = [
                cluster.addresses[name]["http"] for name in cluster.router_names() if name != old
            ]
            long, order = self.queue_up(cluster, doors)
            cluster.world.kill(old)
            self.assertTrue(self.run_until_runs(cluster, 1 + len(order)))
            self.assertTrue(long[0]["whole"])
            tenants = [item["tenant"] for item in cluster.records if item["kind"] == "run"][1:]
            self.assertEqual(tenants, order)
            self.sound(cluster)

    def queue_up(self, cluster, doors):
        """Begin a long call at a worker for one, and let six tenants wait behind it.

        Gives the list that takes the return of the long call, and the tenants in their order.
        """
        long = cluster.spawn(
            lambda: cluster.caller.call(
                "saga", "check", ["b", "long"], is_last=True, max_tokens=4800, door=doors[0]
            )
        )
        cluster.world.run(1)
        order = ["chikugo", "hitoyoshi", "kumamoto", "miyazaki", "nagasaki", "oita"]
        for at, tenant in enumerate(order):
            cluster.spawn(
                lambda tenant=tenant, at=at: cluster.caller.call(
                    tenant, "check", ["b", tenant], is_last=True, door=doors[at % 3]
                )
            )
            cluster.world.run(0.23)
        return long, order

    def run_until_runs(self, cluster, count):
        """Let time pass until the workers ran so many calls; gives whether they did in time."""
        return cluster.world.run(
            until=lambda: sum(item["kind"] == "run" for item in cluster.records) == count,
            limit_s=60,
        )

    def test_a_keeper_frozen_while_it_renews_gathers_anew_when_it_wakes(self):
        cluster = self.cluster(routers=1)
        name = cluster.coordinator()
        cluster.call("saga", "check", ["b", "x"])
        mesh, duty = cluster.up[name].mesh, next(iter(cluster.up[name].coordinators.values())).duty
        cluster.world.freeze("core3")
        cluster.world.run(2)
        self.assertTrue(
            cluster.world.run(
                until=lambda: (
                    sum(pending.link.addr in cluster.seeds for pending in mesh.pending.values())
                    >= 3
                ),
                limit_s=5,
            )
        )
        left_s = duty.until_s - duty.loop.time()
        cluster.world.freeze(name)
        cluster.world.run(left_s + 0.1)
        cluster.world.thaw(name)
        self.assertTrue(cluster.world.run(until=lambda: cluster.coordinator() == name, limit_s=8))
        self.assertTrue(cluster.call("saga", "check", ["b", "y"])["whole"])

    def test_a_router_frozen_with_a_grant_on_its_way_does_not_act_on_it_later(self):
        cluster = self.cluster(cap=1, routers=4, idleMs=200, pauseMs=100)
        coordinator = cluster.coordinator()
        frozen, door, other = [
            cluster.addresses[name]["http"]
            for name in cluster.router_names()
            if name != coordinator
        ]
        name = next(
            name for name in cluster.router_names() if cluster.addresses[name]["http"] == frozen
        )
        first = cluster.spawn(
            lambda: cluster.caller.call(
                "saga", "check", ["b", "x"], is_last=True, max_tokens=800, door=door
            )
        )
        cluster.world.run(0.5)
        late = cluster.spawn(lambda: cluster.caller.call("oita", "check", ["b", "y"], door=frozen))
        cluster.world.run(
            until=lambda: any(len(book.queue) for book in cluster.slot_table().values()), limit_s=5
        )
        cluster.world.freeze(name)
        cluster.world.run(until=lambda: first, limit_s=60)
        cluster.world.run(5)
        long = cluster.spawn(
            lambda: cluster.caller.call("saga", "check", ["b", "z"], max_tokens=8000, door=other)
        )
        cluster.world.run(2)
        self.assertEqual(self.open(cluster), 1)
        before = len([item for item in cluster.records if item["kind"] == "run"])
        cluster.world.thaw(name)
        cluster.world.run(2)
        self.assertEqual(len([item for item in cluster.records if item["kind"] == "run"]), before)
        cluster.world.run(until=lambda: late and long, limit_s=90)
        self.sound(cluster)

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
        cluster = self.cluster(cap=1, routers=4, idleMs=200, pauseMs=100, listOldMs=20000)
        coordinator = cluster.coordinator()
        name, other = [router for router in cluster.router_names() if router != coordinator][:2]
        ip = cluster.addresses[name]["inner"].rpartition(":")[0]
        worker = cluster.site.workers[0]["addr"].rpartition(":")[0]
        cluster.world.net.extra_delay_s[(ip, worker)] = link_s
        with mock.patch.object(Claims, "claim", self.freezing_claim(cluster, name, is_claimed)):
            late = self.call_at(cluster, name, "oita", ["b", "y"], idempotency="k")
            cluster.world.run(6)
            long = self.call_at(cluster, other, "saga", ["b", "z"])
            cluster.world.run(1)
            self.assertEqual(self.run_count(cluster), 1)
            cluster.up[name].lease.until_s += 20
            cluster.world.thaw(name)
            cluster.world.run(1)
            self.assertEqual(self.run_count(cluster), 1, is_claimed)
            cluster.world.run(until=lambda: late and long, limit_s=90)
        self.sound(cluster)

    def freezing_claim(self, cluster, name, is_claimed):
        """Give a claim that freezes a router once, when it has asked for it or has it."""
        claim, frozen = Claims.claim, []

        def freezes(claims, *call):
            held = claim(claims, *call)
            if claims is cluster.up[name].claims and not frozen:
                frozen.append(name)
                when = held.add_done_callback if is_claimed else cluster.world.loops[name].call_soon
                when(lambda *_: cluster.world.freeze(name))
            return held

        return freezes

    def call_at(self, cluster, name, tenant, parts, **options):
        """Make a long call at a router; gives the list that takes its return."""
        door = cluster.addresses[name]["http"]
        return cluster.spawn(
            lambda: cluster.caller.call(
                tenant, "check", parts, max_tokens=3200, door=door, **options
            )
        )

    def run_count(self, cluster):
        """How many calls began at workers."""
        return sum(item["kind"] == "run" for item in cluster.records)
