"""Tests of the operator API at simulated cores."""

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
from tests.platform.test_configs import ROUTES, WHOLE, with_field


class OperatorCluster(SimCluster):
    """A simulated cluster whose cores serve the operator API."""

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
        """Send one operator call and return its status, or 0 without a response."""
        response = self.ask(
            method,
            path,
            body,
            name,
            [("If-Match", str(base))] if base is not None else (),
            timeoutMs,
        )
        return response[0] if response else 0

    def send_until_answered(self, method, body, base=None, path=CONFIG_PATH, limit_s=20):
        """Send a call to the cores in turn until one answers with a status of 200 to 499.

        Returns that status, or 0 after `limit_s` seconds.
        """
        until_s, attempts = self.world.now + limit_s, 0
        while self.world.now < until_s:
            names = self.core_names()
            status, attempts = (
                self.send(method, body, base, names[attempts % len(names)], path),
                attempts + 1,
            )
            if 200 <= status < 500:
                return status
            self.world.run(0.1 * min(attempts, 8))
        return 0

    def send_at_once(self, *calls):
        """Send calls (method, body, base, name) at the same time and return their statuses."""
        results = [self.start_call(*call) for call in calls]
        self.world.run(until=lambda: all(results), limit_s=10)
        return [result[0][0] if result[0] else 0 for result in results]

    def start_call(self, method, body, base, name):
        result = []

        async def main():
            result.append(
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
        return result

    def shown(self, name=None):
        response = self.ask("GET", CONFIG_PATH, None, name)
        return response[1] if response and response[0] == 200 else response

    def core_at(self, position):
        """Return the name of the core at a position of the chain."""
        return next(
            name for name in self.core_names() if self.up[name].agreement.position() == position
        )


class OperatorApiCase(unittest.TestCase):
    def cluster(self, seed=1, **more):
        return OperatorCluster(
            seed, **({"routers": 2, "workers": 1, "ackWaitMs": 300} | more)
        ).start()

    def test_the_first_configuration_its_repeat_and_reading_back(self):
        cluster = self.cluster()
        self.assertEqual(cluster.shown(), {"version": 0, "routes": [], "backends": []})
        for name in cluster.core_names():
            self.assertEqual(cluster.send("PUT", WHOLE, 0, name), 200)
            self.assertEqual(cluster.shown(name), WHOLE)
        self.assertEqual(cluster.send("PUT", with_field(["version"], 9), 7), 200)
        self.assertEqual(cluster.send("PUT", WHOLE, 0), 200)
        self.assertEqual(cluster.send("PUT", with_field(["version"], 10), 7), 412)
        self.assertEqual(cluster.send("PUT", with_field(["version"], 9), 9), 400)
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

    def test_a_refused_call_changes_nothing(self):
        cluster = self.cluster()
        cluster.send("PUT", WHOLE, 0)
        fresh = with_field(["version"], 9)
        for base in (None, "", "x", "-1", "7.0", "9" * 5000):
            self.assertEqual(cluster.send("PUT", fresh, base), 400, base)
        self.assertEqual(
            [
                cluster.send("PUT", body, 7)
                for body in (
                    with_field(["routes", 0, "backend"], "gone", fresh),
                    with_field(["routes", 0, "timeout-ms"], 0, fresh),
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

    def test_one_of_several_changes_on_one_version_wins(self):
        for seed in range(1, 5):
            cluster = self.cluster(seed)
            cluster.send("PUT", WHOLE, 0)
            names = cluster.core_names()
            statuses = cluster.send_at_once(
                ("PUT", with_field(["version"], 9), 7, names[0]),
                ("PUT", with_field(["version"], 11), 7, names[2]),
                ("PATCH", {"version": 10}, 7, names[1]),
            )
            self.assertEqual(sorted(statuses), [200, 412, 412])
            self.assertEqual(cluster.shown()["version"], (9, 11, 10)[statuses.index(200)])

    def test_weights_are_raised_and_never_lowered(self):
        cluster = self.cluster()
        cluster.send("PUT", WHOLE, 0)
        for number, status in ((2, 200), (2, 200), (1, 200), (5, 200), (0, 400)):
            self.assertEqual(
                cluster.send_until_answered(
                    "POST", {"model": "daka510000", "version": number}, path=WEIGHTS_PATH
                ),
                status,
            )
        self.assertEqual(
            cluster.send_until_answered(
                "POST", {"model": "nobody", "version": 3}, path=WEIGHTS_PATH
            ),
            400,
        )
        self.assertEqual(
            cluster.up["core1"].chain.state.config.document.models["daka510000"].weights, "5"
        )
        self.assertEqual(
            (cluster.shown(), cluster.send("PUT", with_field(["version"], 9), 7)), (WHOLE, 200)
        )

    def test_an_unreachable_router_delays_an_acknowledgement_at_most_for_the_set_time(self):
        cluster = self.cluster()
        cluster.world.freeze("router1")
        start_s = cluster.world.now
        self.assertEqual(cluster.send("PUT", WHOLE, 0), 200)
        self.assertLess(cluster.world.now - start_s, 0.45)

    def test_a_new_tail_delays_an_acknowledgement_at_most_for_the_set_time(self):
        cluster = self.cluster()
        cluster.world.freeze("router1")
        cluster.world.kill(cluster.core_at(2))
        cluster.world.run(until=lambda: not cluster.cores_serve(), limit_s=20)
        cluster.world.run(until=cluster.cores_serve, limit_s=20)
        start_s = cluster.world.now
        self.assertEqual(cluster.send("PUT", WHOLE, 0), 200)
        self.assertLess(cluster.world.now - start_s, 0.45)

    def test_an_answer_comes_in_time_and_a_repeat_gets_the_outcome(self):
        cluster = self.cluster(ackWaitMs=0)
        cluster.world.freeze("router1")
        start_s = cluster.world.now
        response = cluster.ask("PUT", CONFIG_PATH, WHOLE, "core1", [("If-Match", "0")])
        self.assertEqual(response[0], 503)
        self.assertAlmostEqual(cluster.world.now - start_s, ANSWER_WITHIN_MS / 1000, delta=0.05)
        self.assertEqual(
            (cluster.send("PUT", WHOLE, 0, "core1"), cluster.send("PUT", WHOLE, 0, "core2")),
            (503, 503),
        )
        self.assertEqual(cluster.send_until_answered("PUT", WHOLE, 0), 200)
        self.assertEqual(cluster.shown(), WHOLE)

    def test_any_core_may_be_killed_during_a_change(self):
        for seed, position in ((1, 0), (2, 1), (3, 2), (4, 0)):
            cluster = self.cluster(seed)
            cluster.send("PUT", WHOLE, 0)
            killed = cluster.core_at(position)
            api_core = next(name for name in cluster.core_names() if name != killed)
            result = cluster.start_call("PUT", with_field(["version"], 9), 7, api_core)
            cluster.world.run(0.004 * seed)
            cluster.world.kill(killed)
            cluster.folders[killed].lose_power()
            cluster.world.run(until=lambda: bool(result), limit_s=3)
            self.assertIn(result[0][0] if result[0] else 0, (0, 200, 503))
            self.assertEqual(cluster.send_until_answered("PUT", with_field(["version"], 9), 7), 200)
            cluster.start_core(killed)
            self.assertEqual(
                cluster.send_until_answered(
                    "POST", {"model": "daka510000", "version": 2}, path=WEIGHTS_PATH
                ),
                200,
            )
            self.assertEqual(cluster.shown(), with_field(["version"], 9))

    def test_acknowledged_changes_survive_a_power_loss_of_all_cores(self):
        cluster = self.cluster()
        cluster.send("PUT", WHOLE, 0)
        cluster.send("PATCH", {"version": 8, "remove-names": {"routes": ["r-a9rgy35"]}}, 7)
        self.assertEqual(
            cluster.send_until_answered(
                "POST", {"model": "daka510000", "version": 4}, path=WEIGHTS_PATH
            ),
            200,
        )
        names = cluster.core_names()
        for name in names:
            cluster.world.kill(name)
        for name in names:
            cluster.folders[name].lose_power(torn=5)
            cluster.start_core(name)
        cluster.world.run(until=cluster.cores_serve, limit_s=20)
        self.assertEqual(
            cluster.send_until_answered(
                "PATCH", {"version": 8, "remove-names": {"routes": ["r-a9rgy35"]}}, 7
            ),
            200,
        )
        for name in names:
            self.assertEqual(cluster.shown(name), WHOLE | {"version": 8, "routes": ROUTES[1:]})
        self.assertEqual(
            cluster.up["core2"].chain.state.config.document.models["daka510000"].weights, "4"
        )

    def test_an_isolated_core_answers_503(self):
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
