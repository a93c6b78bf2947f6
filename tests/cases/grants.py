"""Cases of grants: the retry budget, lost and old grants, old lists."""

from unittest import mock

from swiftdeck.fault import (
    STALE_LIST,
    TIMED_OUT,
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
        town = self.town(workers=3)
        self.quirk(town, "die midway")
        town.change("PATCH", {"models": {"screener": {"cap": 50}}})
        town.world.run(11)
        box = [
            town.spawn(
                lambda number=number: town.caller.call(
                    "oita", "tag", ["book", str(number)], stream=False
                )
            )
            for number in range(40)
        ]
        town.world.run(until=lambda: all(box), limit_s=90)
        tries = [item["run"] for item in self.runs(town)]
        extra = sum(not run.endswith("-1") for run in tries)
        self.assertGreater(extra, 0)
        self.assertLessEqual(extra, 40 // 5 + 3)
        self.assertEqual({each[0]["code"] for each in box}, {WORKER_LOST.code})

    def test_a_call_waits_once_for_lease_and_grant_together(self):
        town = self.town(routers=2, workers=1)
        for name in [*town.core_names(), "platform"]:
            town.world.kill(name)
        town.world.run(5)
        start_s = town.world.now
        box = town.spawn(lambda: town.caller.call("saga", "check", ["b", "x"]))
        town.world.run(2)
        for node in town.site.cores:
            town.start_core(node["name"])
        self.assertTrue(
            town.world.run(
                until=lambda: any(town.up[name].lease.is_held() for name in town.router_names()),
                limit_s=8,
            )
        )
        town.world.run(until=lambda: box, limit_s=30)
        self.assertTrue(box[0]["notRun"] and box[0]["retryAfter"], box)
        self.assertLess(town.world.now - start_s, 10.5)

    def test_a_late_list_of_what_a_router_runs_ends_nothing_that_began_after_it(self):
        town = self.town(routers=2, workers=1)
        keeper = town.up[town.keeper()].keepers["screener"]
        router = next(town.up[name] for name in town.router_names() if name != town.keeper())
        town.caller.doors = [router.settings.http]
        town.world.run(2)
        held = CallRenewal(router=router.me.name, model="screener", term=keeper.term)
        late = CallRenewal(
            router=router.me.name, model="screener", calls=["gone"], term=keeper.term
        )
        returned = town.world.do(
            router.me.name, lambda: router.mesh.ask(keeper.router.me.addr, held)
        )
        late.heard_ms = returned.stamp_ms
        town.spawn(lambda: town.caller.call("saga", "check", ["b", "x"], max_tokens=4000))
        town.world.run(6)
        running = {call for each in keeper.books.conversations.values() for call in each.running}
        self.assertEqual(running, set(router.running))
        self.assertEqual(len(running), 1)
        router.settings.holdMs = 60000
        town.world.run(1)
        town.world.do(router.me.name, lambda: router.mesh.ask(keeper.router.me.addr, late))
        still = {call for each in keeper.books.conversations.values() for call in each.running}
        self.assertEqual((still, set(router.running)), (running, running))
        self.assertEqual(keeper.board.count["legEndsMended"], 0)

    def test_a_conversation_whose_grant_is_handed_back_after_a_change_of_keeper_stays_open(self):
        town, claim = self.town(routers=4, workers=1), Claims.claim
        got = town.call("saga", "check", ["b", "x"], idempotency="1")
        old = town.keeper()
        town.world.kill(old)
        town.caller.doors = [town.addresses[name]["http"] for name in town.router_names()]
        town.world.run(until=lambda: town.keeper(), limit_s=20)
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
            again = town.call("saga", "check", [*got["parts"], "said", "y"], idempotency="2")
        self.assertTrue(again["whole"])
        ends = [
            item
            for name in town.router_names()
            for item in town.up[name].decisions.items
            if item["kind"] == "end"
        ]
        starts = [
            item
            for name in town.router_names()
            for item in town.up[name].decisions.items
            if item["kind"] == "start"
        ]
        self.assertEqual((ends, starts), ([], []))

    def test_a_call_counts_once_however_often_its_first_attempt_is_granted(self):
        town, look, failures = self.town(workers=1), Call._may_be_sent, [STALE_LIST] * 5

        def fails(call, attempt):
            return failures.pop() if failures else look(call, attempt)

        town.world.run(11)
        budget = town.up[town.keeper()].keepers["screener"].budget
        budget.calls.clear()
        with mock.patch.object(Call, "_may_be_sent", fails):
            self.assertTrue(town.call("saga", "tag", ["book", "x"])["whole"])
        self.assertEqual((failures, len(budget.calls)), ([], 1))

    def test_a_call_whose_grant_was_lost_takes_no_second_place(self):
        town, take, lost = self.town(workers=1), Router.take_grant, [True]

        def loses(router, call, attempt, grant, asked_s):
            return TIMED_OUT if lost and lost.pop() else take(router, call, attempt, grant, asked_s)

        with mock.patch.object(Router, "take_grant", loses):
            self.assertTrue(town.call("saga", "check", ["book", "x"], max_tokens=16)["whole"])
        self.assertEqual((lost, sum(len(book.open) for book in town.books().values())), ([], 1))

    def test_extra_tries_of_all_models_together_stay_within_one_allowance(self):
        town = self.town(workers=4)
        for name in ("worker2", "worker4"):
            town.up["platform"].workers[name].update(model="other")
        self.assertEqual(
            town.change(
                "PATCH",
                {
                    "models": {"other": {"weights": "w1", "cap": 50}, "screener": {"cap": 50}},
                    "routes": {"ad": {"model": "other", "repeatable": True, "single": True}},
                },
            )[0],
            200,
        )
        town.world.run(13)
        self.quirk(town, "die midway")
        box = [
            town.spawn(
                lambda route=route: town.caller.call(
                    "saga", route, ["book", "x"], stream=False, max_tokens=16
                )
            )
            for route in ("tag", "ad") * 4
        ]
        town.world.run(until=lambda: all(box), limit_s=60)
        extra = sum(not item["run"].endswith("-1") for item in self.runs(town))
        self.assertTrue(0 < extra <= 8 // 5 + 3, extra)

    def test_no_attempt_goes_out_on_an_old_list(self):
        town = self.town(routers=3)
        platform = town.site.platform.rpartition(":")[0]
        alone = town.site.routers[0]
        ip = alone["inner"].rpartition(":")[0]
        rest = [
            town.addresses[name]["inner"].rpartition(":")[0]
            for name in town.router_names()
            if name != alone["name"]
        ]
        town.world.net.cut([ip], [platform])
        town.world.run(5)
        self.assertEqual(town.call("saga", "tag", ["a", "b"], door=alone["http"])["status"], 200)
        town.world.net.cut([ip], [platform, *rest])
        town.world.run(5)
        self.assertFalse(town.up[alone["name"]].workers.is_fresh())
        town.world.net.heal()
        town.world.kill("platform")
        town.world.run(5)
        start_s = town.world.now
        got = town.call("saga", "check", ["a", "c"], idempotency="k", door=alone["http"])
        self.assertEqual((got["code"], got["notRun"]), (STALE_LIST.code, True))
        self.assertLess(town.world.now - start_s, 10.5)
        town.world.start("platform", platform, town.up["platform"].start)
        town.world.run(2)
        self.assertEqual(
            town.call("saga", "check", ["a", "c"], idempotency="k", door=alone["http"])["status"],
            200,
        )
        self.sound(town)

    def test_a_majority_behind_a_cut_does_not_obey_its_old_list_while_the_others_are_shown_a_drain(
        self,
    ):
        town = self.town(routers=3)
        platform = town.site.platform.rpartition(":")[0]
        keeper = town.keeper()
        seeing = next(name for name in town.router_names() if name != keeper)
        ips = {
            name: town.addresses[name]["inner"].rpartition(":")[0] for name in town.router_names()
        }
        blind = [ips[name] for name in ips if name != seeing]
        town.world.net.cut(blind, [platform, ips[seeing]])
        town.world.run(4)

        async def drain():
            for worker in town.site.workers:
                town.up["platform"].drain(worker["name"])

        town.world.do("platform", drain)
        town.world.run(5)
        got = town.call("saga", "tag", ["a", "b"], door=town.addresses[keeper]["http"])
        self.assertEqual(
            (got["code"], got["notRun"], len(self.runs(town))), (STALE_LIST.code, True, 0)
        )
        self.sound(town)

    def test_what_a_process_frozen_between_its_look_and_its_write_sends_later_is_no_run(self):
        town, look, frozen = self.town(routers=3, workers=2), Call._may_be_sent, []
        name = next(each for each in town.router_names() if each != town.keeper())

        def freezes(call, attempt):
            got = look(call, attempt)
            if call.router is town.up[name] and not frozen:
                frozen.append(attempt.grant.worker)
                town.world.freeze(name)
            return got

        with mock.patch.object(Call, "_may_be_sent", freezes):
            late = town.spawn(
                lambda: town.caller.call(
                    "saga", "tag", ["a", "b"], door=town.addresses[name]["http"]
                )
            )
            town.world.run(1)

            async def drain():
                town.up["platform"].drain(frozen[0])

            town.world.do("platform", drain)
            town.world.run(8)
            town.world.thaw(name)
            town.world.run(until=lambda: late, limit_s=30)
        self.assertNotIn(frozen[0], [item["who"] for item in self.runs(town)])
        self.sound(town)

    def test_a_frozen_router_wakes_and_sends_nothing_old(self):
        town = self.town(routers=2, workers=1)
        town.change("PATCH", {"models": {"screener": {"cap": 1}}})
        keeper = town.keeper()
        other = next(name for name in town.router_names() if name != keeper)
        door = town.addresses[other]["http"]
        first = town.spawn(
            lambda: town.caller.call(
                "saga", "check", ["book", "a"], max_tokens=2000, door=town.addresses[keeper]["http"]
            )
        )
        town.world.run(0.5)
        second = town.spawn(lambda: town.caller.call("oita", "check", ["book", "b"], door=door))
        town.world.run(0.5)
        town.world.freeze(other)
        town.record("operator")("kill", target=other, id=1)
        town.world.run(3)
        got = town.change("PATCH", {"models": {"screener": {"weights": "w2"}}})
        self.assertEqual(got[0], 200)
        town.world.run(10)
        before = len(self.runs(town))
        town.world.thaw(other)
        town.world.run(until=lambda: first and second, limit_s=60)
        late = [item for item in self.runs(town)[before:] if item["weights"] == "w1"]
        self.assertEqual(late, [])
        self.sound(town)
