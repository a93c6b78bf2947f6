"""Tests of the platform's operator at simulated cores."""

import random
import unittest

from swiftdeck.control.core import Core
from swiftdeck.http.client import fetch_json
from swiftdeck.platform.operator_api import (
    ANSWER_WITHIN_MS,
    CONFIG_PATH,
    WEIGHTS_PATH,
    OperatorApi,
)
from swiftdeck.sim.folder import SimFolder
from swiftdeck.sim.sim_cluster import SimCluster
from tests.platform.test_configs import ROUTES, WHOLE, changed


class OperatorCluster(SimCluster):
    """A site whose cores have the platform's door."""

    def start_core(self, name):
        node = self.addresses[name]
        folder = self.folders.setdefault(name, SimFolder())

        async def main():
            core = self.up[name] = self.all[len(self.all)] = Core(
                self._settings(node), folder, random.Random(self.world.random.random())
            )
            core.http.handler = OperatorApi(core).handle
            await core.start()

        self.world.start(name, node["inner"].rpartition(":")[0], main)

    def send(self, method, body, base=None, name=None, path=CONFIG_PATH, timeoutMs=1000):
        """One call of the operator: its status, 0 without an answer."""
        got = self.ask(
            method,
            path,
            body,
            name,
            [("If-Match", str(base))] if base is not None else (),
            timeoutMs,
        )
        return got[0] if got else 0

    def insist(self, method, body, base=None, path=CONFIG_PATH, limit_s=20):
        """Send one call unchanged to one core after the other until it has a clear answer."""
        until_s, turn = self.world.now + limit_s, 0
        while self.world.now < until_s:
            names = self.core_names()
            status, turn = self.send(method, body, base, names[turn % len(names)], path), turn + 1
            if 200 <= status < 500:
                return status
            self.world.run(0.1 * min(turn, 8))
        return 0

    def together(self, *calls):
        """Statuses of calls sent at once, each (method, body, base, name)."""
        boxes = [self.beside(*call) for call in calls]
        self.world.run(until=lambda: all(boxes), limit_s=10)
        return [box[0][0] if box[0] else 0 for box in boxes]

    def beside(self, method, body, base, name):
        box = []

        async def main():
            box.append(
                await fetch_json(
                    self.addresses[name]["http"],
                    method,
                    CONFIG_PATH,
                    body,
                    [("If-Match", str(base))],
                    1000,
                )
            )

        loop = self.world.loops["operator"]
        self.world._within(loop, lambda: loop.create_task(main()))
        return box

    def shown(self, name=None):
        got = self.ask("GET", CONFIG_PATH, None, name)
        return got[1] if got and got[0] == 200 else got

    def member(self, position):
        """The name of the core at a place of the chain."""
        return next(
            name for name in self.core_names() if self.up[name].agreement.position() == position
        )


class OperatorApiCase(unittest.TestCase):
    def cluster(self, seed=1, **more):
        return OperatorCluster(
            seed, **({"routers": 2, "workers": 1, "ackWaitMs": 300} | more)
        ).start()

    def test_the_first_configuration_its_repeat_and_what_is_read_back(self):
        cluster = self.cluster()
        self.assertEqual(cluster.shown(), {"version": 0, "routes": [], "backends": []})
        for name in cluster.core_names():
            self.assertEqual(cluster.send("PUT", WHOLE, 0, name), 200)
            self.assertEqual(cluster.shown(name), WHOLE)
        self.assertEqual(cluster.send("PUT", changed(["version"], 9), 7), 200)
        self.assertEqual(cluster.send("PUT", WHOLE, 0), 200)
        self.assertEqual(cluster.send("PUT", changed(["version"], 10), 7), 412)
        self.assertEqual(cluster.send("PUT", changed(["version"], 9), 9), 400)
        self.assertEqual(cluster.shown()["version"], 9)
        self.assertEqual(
            cluster.ask("GET", "/v1/config")[1]["document"]["edition"]["operator"]["number"], 9
        )

    def test_items_are_put_and_removed(self):
        cluster = self.cluster()
        cluster.send("PUT", WHOLE, 0)
        change = {
            "version": 12,
            "put-items": {"routes": [ROUTES[1] | {"timeout-ms": 9}]},
            "remove-names": {"routes": ["r-a9rgy35"]},
        }
        self.assertEqual(cluster.send("PATCH", change, 6), 412)
        for name in cluster.core_names():
            self.assertEqual(cluster.send("PATCH", change, 7, name), 200)
        self.assertEqual(
            cluster.shown(),
            WHOLE | {"version": 12, "routes": [ROUTES[1] | {"timeout-ms": 9}, ROUTES[2]]},
        )
        self.assertTrue(
            all(
                len(cluster.up[name].lease.held.document.paths) == 2
                for name in cluster.router_names()
            )
        )

    def test_what_is_refused_changes_nothing(self):
        cluster = self.cluster()
        cluster.send("PUT", WHOLE, 0)
        fresh = changed(["version"], 9)
        for base in (None, "", "x", "-1", "7.0", "9" * 5000):
            self.assertEqual(cluster.send("PUT", fresh, base), 400, base)
        self.assertEqual(
            [
                cluster.send("PUT", body, 7)
                for body in (
                    changed(["routes", 0, "backend"], "gone", fresh),
                    changed(["routes", 0, "timeout-ms"], 0, fresh),
                    [],
                    "x",
                )
            ],
            [400] * 4,
        )
        self.assertEqual(
            [
                cluster.send("PATCH", body, 7)
                for body in ({}, {"version": 7}, {"version": 9, "put-items": 3})
            ],
            [400] * 3,
        )
        self.assertEqual(
            (cluster.send("POST", fresh, 7), cluster.send("GET", None, path=WEIGHTS_PATH)),
            (405, 405),
        )
        self.assertEqual(cluster.ask("GET", "/v1/other")[0], 404)
        self.assertEqual(cluster.shown(), WHOLE)

    def test_of_two_operators_on_one_version_one_wins(self):
        for seed in range(1, 5):
            cluster = self.cluster(seed)
            cluster.send("PUT", WHOLE, 0)
            names = cluster.core_names()
            statuses = cluster.together(
                ("PUT", changed(["version"], 9), 7, names[0]),
                ("PUT", changed(["version"], 11), 7, names[2]),
                ("PATCH", {"version": 10}, 7, names[1]),
            )
            self.assertEqual(sorted(statuses), [200, 412, 412])
            self.assertEqual(cluster.shown()["version"], (9, 11, 10)[statuses.index(200)])

    def test_weights_are_raised_and_never_lowered(self):
        cluster = self.cluster()
        cluster.send("PUT", WHOLE, 0)
        for number, status in ((2, 200), (2, 200), (1, 200), (5, 200), (0, 400)):
            self.assertEqual(
                cluster.insist(
                    "POST", {"model": "daka510000", "version": number}, path=WEIGHTS_PATH
                ),
                status,
            )
        self.assertEqual(
            cluster.insist("POST", {"model": "nobody", "version": 3}, path=WEIGHTS_PATH), 400
        )
        self.assertEqual(
            cluster.up["core1"].chain.state.config.document.models["daka510000"].weights, "5"
        )
        self.assertEqual(
            (cluster.shown(), cluster.send("PUT", changed(["version"], 9), 7)), (WHOLE, 200)
        )

    def test_a_router_out_of_touch_holds_an_acknowledgement_up_no_longer_than_set(self):
        cluster = self.cluster()
        cluster.world.freeze("router1")
        start_s = cluster.world.now
        self.assertEqual(cluster.send("PUT", WHOLE, 0), 200)
        self.assertLess(cluster.world.now - start_s, 0.45)

    def test_a_new_tail_holds_an_acknowledgement_up_no_longer_than_set(self):
        cluster = self.cluster()
        cluster.world.freeze("router1")
        cluster.world.kill(cluster.member(2))
        cluster.world.run(until=lambda: not cluster.cores_serve(), limit_s=20)
        cluster.world.run(until=cluster.cores_serve, limit_s=20)
        start_s = cluster.world.now
        self.assertEqual(cluster.send("PUT", WHOLE, 0), 200)
        self.assertLess(cluster.world.now - start_s, 0.45)

    def test_an_answer_comes_in_time_and_the_repeat_picks_the_outcome_up(self):
        cluster = self.cluster(ackWaitMs=0)
        cluster.world.freeze("router1")
        start_s = cluster.world.now
        got = cluster.ask("PUT", CONFIG_PATH, WHOLE, "core1", [("If-Match", "0")])
        self.assertEqual(got[0], 503)
        self.assertAlmostEqual(cluster.world.now - start_s, ANSWER_WITHIN_MS / 1000, delta=0.05)
        self.assertEqual(
            (cluster.send("PUT", WHOLE, 0, "core1"), cluster.send("PUT", WHOLE, 0, "core2")),
            (503, 503),
        )
        self.assertEqual(cluster.insist("PUT", WHOLE, 0), 200)
        self.assertEqual(cluster.shown(), WHOLE)

    def test_any_core_may_be_killed_while_a_change_is_under_way(self):
        for seed, position in ((1, 0), (2, 1), (3, 2), (4, 0)):
            cluster = self.cluster(seed)
            cluster.send("PUT", WHOLE, 0)
            killed = cluster.member(position)
            door = next(name for name in cluster.core_names() if name != killed)
            box = cluster.beside("PUT", changed(["version"], 9), 7, door)
            cluster.world.run(0.004 * seed)
            cluster.world.kill(killed)
            cluster.folders[killed].lose_power()
            cluster.world.run(until=lambda: bool(box), limit_s=3)
            self.assertIn(box[0][0] if box[0] else 0, (0, 200, 503))
            self.assertEqual(cluster.insist("PUT", changed(["version"], 9), 7), 200)
            cluster.start_core(killed)
            self.assertEqual(
                cluster.insist("POST", {"model": "daka510000", "version": 2}, path=WEIGHTS_PATH),
                200,
            )
            self.assertEqual(cluster.shown(), changed(["version"], 9))

    def test_all_that_was_acknowledged_is_there_after_all_cores_lost_power(self):
        cluster = self.cluster()
        cluster.send("PUT", WHOLE, 0)
        cluster.send("PATCH", {"version": 8, "remove-names": {"routes": ["r-a9rgy35"]}}, 7)
        self.assertEqual(
            cluster.insist("POST", {"model": "daka510000", "version": 4}, path=WEIGHTS_PATH), 200
        )
        names = cluster.core_names()
        for name in names:
            cluster.world.kill(name)
        for name in names:
            cluster.folders[name].lose_power(torn=5)
            cluster.start_core(name)
        cluster.world.run(until=cluster.cores_serve, limit_s=20)
        self.assertEqual(
            cluster.insist("PATCH", {"version": 8, "remove-names": {"routes": ["r-a9rgy35"]}}, 7),
            200,
        )
        for name in names:
            self.assertEqual(cluster.shown(name), WHOLE | {"version": 8, "routes": ROUTES[1:]})
        self.assertEqual(
            cluster.up["core2"].chain.state.config.document.models["daka510000"].weights, "4"
        )

    def test_a_core_that_is_cut_off_says_that_it_is_not_able_now(self):
        cluster = self.cluster()
        for name in cluster.core_names()[1:]:
            cluster.world.kill(name)
        cluster.world.run(6)
        self.assertEqual(
            (
                cluster.send("PUT", WHOLE, 0, "core1"),
                cluster.ask("GET", CONFIG_PATH, None, "core1")[0],
            ),
            (503, 503),
        )
