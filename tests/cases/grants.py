"""Cases of grants: the retry budget, lost and old grants, old lists."""

from unittest import mock

from swiftdeck.fault import (
    PEER_TIMEOUT,
    STALE_WORKER_LIST,
    WORKER_LOST,
)
from swiftdeck.traffic.call import Call
from swiftdeck.traffic.claims import Claims
from swiftdeck.traffic.router import Router
from swiftdeck.wire.messages import CallRenewal
from tests.cases.bases import CallsOfWorkersCase


class GrantsCase(CallsOfWorkersCase):
    """Calls whose grants are bounded, lost, handed back or too old."""

    def test_the_budget_bounds_extra_tries_in_an_outage(self):
        cluster = self.cluster(workers=3)
        self.quirk(cluster, "die midway")
        cluster.change("PATCH", {"models": {"screener": {"cap": 50}}})
        cluster.world.run(11)
        box = [
            cluster.spawn(
                lambda number=number: cluster.caller.call(
                    "oita", "tag", ["book", str(number)], stream=False
                )
            )
            for number in range(40)
        ]
        cluster.world.run(until=lambda: all(box), limit_s=90)
        tries = [item["run"] for item in self.runs(cluster)]
        extra = sum(not run.endswith("-1") for run in tries)
        self.assertGreater(extra, 0)
        self.assertLessEqual(extra, 40 // 5 + 3)
        self.assertEqual({each[0]["code"] for each in box}, {WORKER_LOST.code})

    def test_a_call_waits_once_for_lease_and_grant_together(self):
        cluster = self.cluster(routers=2, workers=1)
        for name in [*cluster.core_names(), "platform"]:
            cluster.world.kill(name)
        cluster.world.run(5)
        start_s = cluster.world.now
        box = cluster.spawn(lambda: cluster.caller.call("saga", "check", ["b", "x"]))
        cluster.world.run(2)
        for node in cluster.site.cores:
            cluster.start_core(node["name"])
        self.assertTrue(
            cluster.world.run(
                until=lambda: any(
                    cluster.up[name].lease.is_held() for name in cluster.router_names()
                ),
                limit_s=8,
            )
        )
        cluster.world.run(until=lambda: box, limit_s=30)
        self.assertTrue(box[0]["notRun"] and box[0]["retryAfter"], box)
        self.assertLess(cluster.world.now - start_s, 10.5)

    def test_a_late_list_of_what_a_router_runs_ends_nothing_that_began_after_it(self):
        cluster = self.cluster(routers=2, workers=1)
        coordinator = cluster.up[cluster.coordinator()].coordinators["screener"]
        router = next(
            cluster.up[name] for name in cluster.router_names() if name != cluster.coordinator()
        )
        cluster.caller.doors = [router.settings.http]
        cluster.world.run(2)
        held = CallRenewal(router=router.me.name, model="screener", term=coordinator.term)
        late = CallRenewal(
            router=router.me.name, model="screener", calls=["gone"], term=coordinator.term
        )
        returned = cluster.world.run_task(
            router.me.name, lambda: router.mesh.request(coordinator.router.me.addr, held)
        )
        late.heard_ms = returned.stamp_ms
        cluster.spawn(lambda: cluster.caller.call("saga", "check", ["b", "x"], max_tokens=4000))
        cluster.world.run(6)
        running = {
            call for each in coordinator.slot_table.conversations.values() for call in each.running
        }
        self.assertEqual(running, set(router.running))
        self.assertEqual(len(running), 1)
        router.settings.holdMs = 60000
        cluster.world.run(1)
        cluster.world.run_task(
            router.me.name, lambda: router.mesh.request(coordinator.router.me.addr, late)
        )
        still = {
            call for each in coordinator.slot_table.conversations.values() for call in each.running
        }
        self.assertEqual((still, set(router.running)), (running, running))
        self.assertEqual(coordinator.telemetry.count["legEndsMended"], 0)

    def test_a_conversation_whose_grant_is_handed_back_after_a_change_of_keeper_stays_open(self):
        cluster, claim = self.cluster(routers=4, workers=1), Claims.claim
        got = cluster.call("saga", "check", ["b", "x"], idempotency="1")
        old = cluster.coordinator()
        cluster.world.kill(old)
        cluster.caller.doors = [cluster.addresses[name]["http"] for name in cluster.router_names()]
        cluster.world.run(until=lambda: cluster.coordinator(), limit_s=20)
        late = []

        def slow(claims, *what):
            done, first, wait_s = (
                claims.loop.create_future(),
                claim(claims, *what),
                0.0 if late else 1.0,
            )
            first.add_done_callback(
                lambda _: claims.loop.call_later(wait_s, done.set_result, first.result())
            )
            late.append(what)
            return done

        with mock.patch.object(Claims, "claim", slow):
            again = cluster.call("saga", "check", [*got["parts"], "said", "y"], idempotency="2")
        self.assertTrue(again["whole"])
        ends = [
            item
            for name in cluster.router_names()
            for item in cluster.up[name].decisions.items
            if item["kind"] == "end"
        ]
        starts = [
            item
            for name in cluster.router_names()
            for item in cluster.up[name].decisions.items
            if item["kind"] == "start"
        ]
        self.assertEqual((ends, starts), ([], []))

    def test_a_call_counts_once_however_often_its_first_attempt_is_granted(self):
        cluster, look, failures = (
            self.cluster(workers=1),
            Call._check_before_send,
            [STALE_WORKER_LIST] * 5,
        )

        def fails(call, attempt):
            return failures.pop() if failures else look(call, attempt)

        cluster.world.run(11)
        budget = cluster.up[cluster.coordinator()].coordinators["screener"].budget
        budget.calls.clear()
        with mock.patch.object(Call, "_check_before_send", fails):
            self.assertTrue(cluster.call("saga", "tag", ["book", "x"])["whole"])
        self.assertEqual((failures, len(budget.calls)), ([], 1))

    def test_a_call_whose_grant_was_lost_takes_no_second_place(self):
        cluster, take, lost = self.cluster(workers=1), Router.accept_grant, [True]

        def loses(router, call, attempt, grant, asked_s):
            return (
                PEER_TIMEOUT if lost and lost.pop() else take(router, call, attempt, grant, asked_s)
            )

        with mock.patch.object(Router, "accept_grant", loses):
            self.assertTrue(cluster.call("saga", "check", ["book", "x"], max_tokens=16)["whole"])
        self.assertEqual(
            (lost, sum(len(book.open) for book in cluster.slot_table().values())), ([], 1)
        )

    def test_extra_tries_of_all_models_together_stay_within_one_allowance(self):
        cluster = self.cluster(workers=4)
        for name in ("worker2", "worker4"):
            cluster.up["platform"].workers[name].update(model="other")
        self.assertEqual(
            cluster.change(
                "PATCH",
                {
                    "models": {"other": {"weights": "w1", "cap": 50}, "screener": {"cap": 50}},
                    "routes": {"ad": {"model": "other", "repeatable": True, "single": True}},
                },
            )[0],
            200,
        )
        cluster.world.run(13)
        self.quirk(cluster, "die midway")
        box = [
            cluster.spawn(
                lambda route=route: cluster.caller.call(
                    "saga", route, ["book", "x"], stream=False, max_tokens=16
                )
            )
            for route in ("tag", "ad") * 4
        ]
        cluster.world.run(until=lambda: all(box), limit_s=60)
        extra = sum(not item["run"].endswith("-1") for item in self.runs(cluster))
        self.assertTrue(0 < extra <= 8 // 5 + 3, extra)

    def test_no_attempt_goes_out_on_an_old_list(self):
        cluster = self.cluster(routers=3)
        platform = cluster.site.platform.rpartition(":")[0]
        alone = cluster.site.routers[0]
        ip = alone["inner"].rpartition(":")[0]
        rest = [
            cluster.addresses[name]["inner"].rpartition(":")[0]
            for name in cluster.router_names()
            if name != alone["name"]
        ]
        cluster.world.net.cut([ip], [platform])
        cluster.world.run(5)
        self.assertEqual(cluster.call("saga", "tag", ["a", "b"], door=alone["http"])["status"], 200)
        cluster.world.net.cut([ip], [platform, *rest])
        cluster.world.run(5)
        self.assertFalse(cluster.up[alone["name"]].workers.is_fresh())
        cluster.world.net.heal()
        cluster.world.kill("platform")
        cluster.world.run(5)
        start_s = cluster.world.now
        got = cluster.call("saga", "check", ["a", "c"], idempotency="k", door=alone["http"])
        self.assertEqual((got["code"], got["notRun"]), (STALE_WORKER_LIST.code, True))
        self.assertLess(cluster.world.now - start_s, 10.5)
        cluster.world.start("platform", platform, cluster.up["platform"].start)
        cluster.world.run(2)
        self.assertEqual(
            cluster.call("saga", "check", ["a", "c"], idempotency="k", door=alone["http"])[
                "status"
            ],
            200,
        )
        self.sound(cluster)

    def test_a_majority_behind_a_cut_does_not_obey_its_old_list_while_the_others_are_shown_a_drain(
        self,
    ):
        cluster = self.cluster(routers=3)
        platform = cluster.site.platform.rpartition(":")[0]
        coordinator = cluster.coordinator()
        seeing = next(name for name in cluster.router_names() if name != coordinator)
        ips = {
            name: cluster.addresses[name]["inner"].rpartition(":")[0]
            for name in cluster.router_names()
        }
        blind = [ips[name] for name in ips if name != seeing]
        cluster.world.net.cut(blind, [platform, ips[seeing]])
        cluster.world.run(4)

        async def drain():
            for worker in cluster.site.workers:
                cluster.up["platform"].drain(worker["name"])

        cluster.world.run_task("platform", drain)
        cluster.world.run(5)
        got = cluster.call("saga", "tag", ["a", "b"], door=cluster.addresses[coordinator]["http"])
        self.assertEqual(
            (got["code"], got["notRun"], len(self.runs(cluster))), (STALE_WORKER_LIST.code, True, 0)
        )
        self.sound(cluster)

    def test_what_a_process_frozen_between_its_look_and_its_write_sends_later_is_no_run(self):
        cluster, look, frozen = self.cluster(routers=3, workers=2), Call._check_before_send, []
        name = next(each for each in cluster.router_names() if each != cluster.coordinator())

        def freezes(call, attempt):
            got = look(call, attempt)
            if call.router is cluster.up[name] and not frozen:
                frozen.append(attempt.grant.worker)
                cluster.world.freeze(name)
            return got

        with mock.patch.object(Call, "_check_before_send", freezes):
            late = cluster.spawn(
                lambda: cluster.caller.call(
                    "saga", "tag", ["a", "b"], door=cluster.addresses[name]["http"]
                )
            )
            cluster.world.run(1)

            async def drain():
                cluster.up["platform"].drain(frozen[0])

            cluster.world.run_task("platform", drain)
            cluster.world.run(8)
            cluster.world.thaw(name)
            cluster.world.run(until=lambda: late, limit_s=30)
        self.assertNotIn(frozen[0], [item["who"] for item in self.runs(cluster)])
        self.sound(cluster)

    def test_a_frozen_router_wakes_and_sends_nothing_old(self):
        cluster = self.cluster(routers=2, workers=1)
        cluster.change("PATCH", {"models": {"screener": {"cap": 1}}})
        coordinator = cluster.coordinator()
        other = next(name for name in cluster.router_names() if name != coordinator)
        door = cluster.addresses[other]["http"]
        first = cluster.spawn(
            lambda: cluster.caller.call(
                "saga",
                "check",
                ["book", "a"],
                max_tokens=2000,
                door=cluster.addresses[coordinator]["http"],
            )
        )
        cluster.world.run(0.5)
        second = cluster.spawn(
            lambda: cluster.caller.call("oita", "check", ["book", "b"], door=door)
        )
        cluster.world.run(0.5)
        cluster.world.freeze(other)
        cluster.record("operator")("kill", target=other, id=1)
        cluster.world.run(3)
        got = cluster.change("PATCH", {"models": {"screener": {"weights": "w2"}}})
        self.assertEqual(got[0], 200)
        cluster.world.run(10)
        before = len(self.runs(cluster))
        cluster.world.thaw(other)
        cluster.world.run(until=lambda: first and second, limit_s=60)
        late = [item for item in self.runs(cluster)[before:] if item["weights"] == "w1"]
        self.assertEqual(late, [])
        self.sound(cluster)
