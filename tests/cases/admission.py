"""Cases of admission: books, lines, moves, fetches and the cap."""

from unittest import mock

from swiftdeck.fault import QUEUE_FULL, QUEUE_TIMEOUT
from tests.cases.bases import OpenConversationsCase


class AdmissionCase(OpenConversationsCase):
    """Conversations that start, wait, go on, pause, move and end."""

    def test_starts_from_many_routers_at_once_never_pass_the_cap(self):
        cluster = self.cluster(cap=3)
        tenants = list(cluster.site.keys)
        box = [
            cluster.spawn(
                lambda number=number: cluster.caller.agent(tenants[number % 8], turns=3, gap=0.2)
            )
            for number in range(24)
        ]
        self.assertEqual(self.most_open(cluster, lambda: all(box)), 3)
        self.assertEqual([each[0] for each in box], [3] * 24)
        turns = [item["hitParts"] for item in cluster.records if item["kind"] == "prefill"]
        self.assertEqual(len(turns), 72)
        self.sound(cluster)

    def test_a_later_call_of_an_admitted_conversation_never_waits_behind_the_line(self):
        cluster = self.cluster(cap=1, pauseMs=60000, idleMs=60000)
        got = cluster.call("saga", "check", ["book", "mine"])
        waiting = cluster.spawn(lambda: cluster.caller.call("oita", "check", ["book", "other"]))
        cluster.world.run(1)
        again = cluster.call("saga", "check", [*got["parts"], "said", "more"])
        self.assertEqual(
            (again["status"], again["waitedMs"], again["usage"]["hitParts"]), (200, 0, 2)
        )
        self.assertFalse(waiting)
        last = cluster.call("saga", "check", [*again["parts"], "said", "end"], is_last=True)
        self.assertTrue(last["whole"])
        cluster.world.run(3)
        self.assertTrue(waiting and waiting[0]["whole"])
        self.sound(cluster)

    def test_sharing_the_long_book_is_no_continuation(self):
        cluster = self.cluster(cap=8)
        for number in range(3):
            cluster.call("saga", "check", ["the long book", f"case {number}"])
        self.assertEqual(self.open(cluster), 3)

    def test_the_line_serves_tenants_in_turn(self):
        cluster = self.cluster(cap=1, idleMs=300, pauseMs=100)
        large = [
            cluster.spawn(
                lambda number=number: cluster.caller.call(
                    "chikugo", "check", ["b", str(number)], is_last=True, max_tokens=320
                )
            )
            for number in range(12)
        ]
        cluster.world.run(0.3)
        small = cluster.spawn(
            lambda: cluster.caller.call("saga", "check", ["b", "small"], is_last=True)
        )
        cluster.world.run(until=lambda: small, limit_s=60)
        self.assertLessEqual(sum(bool(each) for each in large), 3)
        self.assertTrue(small[0]["whole"])

    def test_a_full_line_and_a_long_wait_end_at_once_with_a_time_to_come_back(self):
        cluster = self.cluster(cap=1, lineMax=2, idleMs=60000, pauseMs=60000)
        cluster.change("PATCH", {"routes": {"check": {"waitMs": 3000}}})
        cluster.call("saga", "check", ["b", "first"])
        at_s = cluster.world.now
        box = [
            cluster.spawn(
                lambda number=number: cluster.caller.call("oita", "check", ["b", str(number)])
            )
            for number in range(4)
        ]
        cluster.world.run(0.5)
        full = [each[0] for each in box if each]
        self.assertEqual([each["code"] for each in full], [QUEUE_FULL.code] * 2)
        cluster.world.run(until=lambda: all(box), limit_s=10)
        self.assertLess(cluster.world.now - at_s, 3.5)
        late = [each[0] for each in box if each[0]["code"] == QUEUE_TIMEOUT.code]
        self.assertEqual(len(late), 2)
        self.assertTrue(all(each["notRun"] and each["retryAfter"] for each in [*full, *late]))
        self.sound(cluster)

    def test_slots_come_back_from_paused_and_vanished_agents(self):
        cluster = self.cluster(cap=2, idleMs=7500, pauseMs=3100)
        for number in range(2):
            cluster.call("saga", "check", ["b", str(number)])
        at_s = cluster.world.now
        got = cluster.call("oita", "check", ["b", "later"])
        self.assertTrue(got["whole"])
        self.assertTrue(2.0 < cluster.world.now - at_s < 5.0, cluster.world.now - at_s)
        cluster.world.run(9)
        self.assertEqual(self.open(cluster), 0)
        self.sound(cluster)

    def test_a_place_lost_between_two_questions_is_taken_anew(self):
        cluster = self.cluster(cap=1, workers=2, lineMax=1, idleMs=60000, pauseMs=60000)
        coordinator = cluster.coordinator()
        alone = next(name for name in cluster.router_names() if name != coordinator)
        doors = {
            "alone": cluster.addresses[alone]["http"],
            "keeper": cluster.addresses[coordinator]["http"],
        }
        talks = [
            cluster.call("saga", "check", ["b", str(number)], door=doors["keeper"])
            for number in range(2)
        ]
        others = [
            cluster.spawn(
                lambda: cluster.caller.call(
                    "oita", "check", ["b", "z"], is_last=True, door=doors["keeper"]
                )
            )
        ]
        cluster.world.run(0.2)
        late = cluster.spawn(
            lambda: cluster.caller.call("nagasaki", "check", ["b", "y"], door=doors["alone"])
        )
        cluster.world.run(0.2)
        place = next(
            (name, each)
            for name, book in cluster.slot_table().items()
            for each in book.queue
            if each.tenant == "nagasaki"
        )
        ips = [cluster.addresses[name]["inner"].rpartition(":")[0] for name in (alone, coordinator)]
        cluster.world.net.cut(ips[:1], ips[1:])
        cluster.world.run(until=lambda: not place[1].is_asking(), limit_s=2)

        async def leave():
            cluster.up["platform"].remove(place[0])

        cluster.world.run_task("platform", leave)
        cluster.world.run(0.7)
        cluster.world.net.heal()
        for talk in talks:
            if talk["worker"] != place[0]:
                cluster.call(
                    "saga",
                    "check",
                    [*talk["parts"], "said", "end"],
                    is_last=True,
                    door=doors["keeper"],
                )
        cluster.world.run(until=lambda: late and others[0], limit_s=60)
        self.assertTrue(late[0]["whole"], late)

    def test_conversations_of_a_draining_worker_move_and_keep_their_admission(self):
        cluster = self.cluster(cap=2, workers=2, idleMs=60000, pauseMs=60000)
        talks = []
        for number in range(4):
            talks.append(cluster.call("saga", "check", ["b", f"case {number}"]))
        self.assertEqual(sorted(len(book.open) for book in cluster.slot_table().values()), [2, 2])
        stream = cluster.spawn(
            lambda: cluster.caller.call(
                "saga", "check", [*talks[0]["parts"], "a", "b"], max_tokens=4000
            )
        )
        cluster.world.run(0.5)
        leaving = talks[0]["worker"]

        async def drain():
            cluster.up["platform"].drain(leaving)

        cluster.world.run_task("platform", drain)
        cluster.world.run(4)
        again = [
            cluster.call("saga", "check", [*talk["parts"], "said", "more"]) for talk in talks[1:]
        ]
        self.assertTrue(
            all(
                each["whole"] and each["worker"] != leaving and each["waitedMs"] == 0
                for each in again
            )
        )
        cluster.world.run(until=lambda: stream, limit_s=60)
        self.assertTrue(stream[0]["whole"])
        late = cluster.call("oita", "check", ["b", "new"])
        self.assertEqual(late["code"], QUEUE_TIMEOUT.code)
        counters = cluster.up[cluster.coordinator()].counters()
        self.assertGreater(counters["movesOverCap"], 0)
        self.sound(cluster)

    def test_only_admitted_conversations_fetch_and_a_slow_link_costs_its_bound_once(self):
        cluster = self.cluster(cap=4, workers=2, idleMs=60000)
        long = "long " * 20000
        first = cluster.call("saga", "check", [long, "mine"])

        async def drain():
            cluster.up["platform"].drain(first["worker"])

        cluster.world.run_task("platform", drain)
        cluster.world.run(2)
        moved = cluster.call("saga", "check", [*first["parts"], "said", "x"])
        self.assertEqual((moved["usage"]["hitParts"], moved["whole"]), (2, True))
        fetches = [item["parts"] for item in cluster.records if item["kind"] == "fetch"]
        self.assertEqual(fetches[-1], 2)
        self.assertEqual(
            len([item for item in cluster.records if item["kind"] == "run"]), len(fetches)
        )

        async def swap():
            cluster.up["platform"].drain(first["worker"], False)
            cluster.up["platform"].drain(moved["worker"])

        cluster.world.run_task("platform", swap)
        cluster.world.run(2)
        cluster.up[moved["worker"]].link_s = 30.0
        at_s = cluster.world.now
        back = cluster.call("saga", "check", [*moved["parts"], "said", "y"])
        self.assertTrue(back["whole"])
        self.assertLess(cluster.world.now - at_s, 1.5 + 4.0)
        counters = cluster.up[cluster.coordinator()].counters()
        self.assertGreaterEqual(
            sum(cluster.up[name].counters().get("fetches", 0) for name in cluster.router_names()),
            3,
            counters,
        )
        self.sound(cluster)

    def test_cache_reports_lost_doubled_and_late_only_cost_warmth(self):
        for quirk in ("lose reports", "double reports", "late reports"):
            cluster = self.cluster(cap=4, workers=2)
            for worker in cluster.site.workers:
                cluster.up[worker["name"]].quirk = quirk
            self.assertEqual(self.agents_served(cluster), [4] * 8, quirk)
            self.sound(cluster)

    def agents_served(self, cluster):
        """Let an agent of each tenant make four turns; gives how many each was served."""
        served = [
            cluster.spawn(lambda tenant=tenant: cluster.caller.agent(tenant, turns=4, gap=0.1))
            for tenant in cluster.site.keys
        ]
        cluster.world.run(until=lambda: all(served), limit_s=120)
        return [turns[0] for turns in served]

    def adapted(self, seed):
        """The caps of a worker of little memory in 50 s of conversations that grow."""
        cluster = self.cluster(seed, cap=8, adapts=True, capLeast=2, pauseMs=8000, idleMs=9000)
        cluster.up["worker1"].cache.room = 30000
        cluster.caller.book["check"] = "rules "
        for number in range(8):
            cluster.spawn(
                lambda number=number: cluster.caller.agents("saga", turns=(10, 14), rest_s=0.1)
            )
        caps = []
        with mock.patch("swiftdeck.traffic.coordinator.CAP_UPDATE_PERIOD_S", 5.0):
            for _ in range(25):
                cluster.world.run(2)
                caps += [book.cap for book in cluster.slot_table().values()]
        return caps

    def test_the_cap_rises_while_prefixes_survive_and_falls_when_they_do_not(self):
        for seed in (2, 5):
            with self.subTest(seed=seed):
                caps = self.adapted(seed)
                self.assertEqual(caps[0], 2)
                most = caps.index(max(caps))
                self.assertGreater(caps[most], 3)
                self.assertLess(min(caps[most:]), caps[most])
