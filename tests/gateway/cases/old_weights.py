"""Cases of new weights: no request begins on old ones for long, and no worker is left behind."""

import asyncio
import itertools
import math
from unittest import mock

from swiftdeck.bench.platform_api.worker import PlatformWorker
from swiftdeck.gateway.gateway import OLD_WEIGHTS, Gateway
from swiftdeck.gateway.swap import SwapScheduler
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import BOUNDS, MODEL, PlatformCluster, route

VERSION_S, CONTACT_S = BOUNDS["version_ms"] / 1000, BOUNDS["contact_ms"] / 1000


def orders_nothing():
    """A head that gives no orders, for whatever reason: then the routers alone keep old weights from being used."""
    return mock.patch.object(SwapScheduler, "_order_next_workers", lambda *_: None)


class WeightsCase(SiteCase):
    def name(self, cluster, version):
        """Name new weights; they are acknowledged when this returns."""
        self.assertEqual(cluster.operate(lambda: cluster.operator.name(MODEL, version)), 200)

    def old_runs(self, cluster):
        """What the checker says of runs on old weights."""
        return [each for each in cluster.breaches().get("VERSION", ()) if " began " in each]

    def unordered(self, seed, *steps):
        """A day on which nobody orders workers: weights are named, then steps are taken at their times; gives old runs."""
        with orders_nothing():
            cluster = self.cluster(seed, rate=30.0)
            self.name(cluster, 2)
            named_s = cluster.world.now
            for at_s, step in steps:
                cluster.world.run(max(0.0, named_s + at_s - cluster.world.now))
                step(cluster)
            cluster.world.run(max(0.0, named_s + 2 * VERSION_S - cluster.world.now))
            self.assertEqual(cluster.count(OLD_WEIGHTS), 0)
            return self.old_runs(cluster)

    def troubles(self):
        """Days without orders, on which something happens that is no trouble of the core: name, seed, steps."""

        def restart(cluster):
            cluster.kill("router1", back_s=0.5)

        def freeze(cluster):
            cluster.freeze("router1", 2.9)

        def reset(cluster):
            cluster.reset_connections("router1")

        def stall(cluster):
            folder = cluster.folders[cluster.head()]
            folder.stall_s = 4.0
            cluster.world.call_after(4.0, lambda: setattr(folder, "stall_s", 0.0))
            put = {"routes": [route("r-more", "/more/", "app")]}
            cluster.beside(lambda: cluster.operator.patch(5, put=put))

        def names(version):
            return lambda cluster: self.name(cluster, version)

        return (
            ("nothing", 1, ()),
            ("router started again at once", 2, ((1.0, restart),)),
            ("router started again later", 2, ((4.0, restart),)),
            ("router frozen at once", 3, ((0.5, freeze),)),
            ("router frozen later", 3, ((2.5, freeze),)),
            ("router's connections reset", 4, [(at_s, reset) for at_s in (2.0, 3.0, 4.0, 4.9)]),
            ("weights named in quick succession", 5, ((4.0, names(3)), (8.0, names(4)))),
            ("disk stalls at the head at once", 6, ((0.3, stall),)),
            ("disk stalls at the head later", 6, ((2.5, stall),)),
        )

    def test_old_weights_end_in_time_though_nobody_orders(self):
        for name, seed, steps in self.troubles():
            with self.subTest(name):
                self.assertEqual(self.unordered(seed, *steps), [])

    def test_old_weights_end_in_time_though_a_core_goes_for_good(self):
        """The core is settled again `contact_ms` after the loss, as most of it runs."""
        with orders_nothing():
            cluster = self.cluster(15, rate=30.0, cores=5, routers=10, tolerate=2)
            self.name(cluster, 2)
            cluster.world.run(1.0)
            cluster.kill("core5", silent=True)
            cluster.troubles[-1][2] = cluster.now_ms()
            cluster.world.run(CONTACT_S + 1.5 * VERSION_S)
        self.assertEqual(self.old_runs(cluster), [])

    def test_old_weights_that_are_over_stay_so_when_a_core_comes_or_goes(self):
        """One settled stretch ends them, also for a router that started since and knows the last change only."""

        def restart_core(cluster):
            cluster.kill("core3", back_s=1.0)

        def restart_router(cluster):
            cluster.kill("router1", back_s=0.5)

        over_s = VERSION_S + 1.0
        for steps in (
            ((over_s, restart_core),),
            ((over_s, restart_core), (over_s + 2.0, restart_router)),
        ):
            with self.subTest(len(steps)):
                self.assertEqual(self.unordered(10, *steps), [])

    def test_the_invariant_counts_requests_on_weights_that_are_too_old(self):
        cluster = self.cluster(1, rate=30.0)
        with orders_nothing(), mock.patch.object(Gateway, "is_usable", lambda *_: True):
            self.name(cluster, 2)
            cluster.world.run(VERSION_S + 2.0)
        self.assertGreater(cluster.count(OLD_WEIGHTS), 20)
        self.assertTrue(self.old_runs(cluster))

    def test_the_invariant_counts_answers_of_workers_that_ran_on_other_weights_than_named(self):
        refusal = PlatformWorker._refusal

        def careless(self, head, name, model):
            head = {key: text for key, text in head.items() if key != "swiftdeck-expected-version"}
            return refusal(self, head, name, model)

        cluster = self.cluster(1, rate=30.0)
        with orders_nothing(), mock.patch.object(PlatformWorker, "_refusal", careless):
            self.name(cluster, 2)
            cluster.world.run(VERSION_S + 1.0)
            self.assertEqual(cluster.count(OLD_WEIGHTS), 0)
            for registry in (cluster.up[name].worker_registry for name in cluster.routers()):
                for worker in registry.workers.values():
                    registry.learn(worker, dict.fromkeys(worker.weights, 2))
            cluster.world.run(2.0)
        self.assertGreater(cluster.count(OLD_WEIGHTS), 20)

    def crowd(self):
        """Requests wait at the only worker of a model, whose runs go on for longer than old weights may be begun on."""

        def begin(count, out):
            def step(cluster):
                for at in range(count):
                    cluster.beside(
                        lambda at=at: cluster._asking(
                            "r-stream", f"{out}-{at}", parts=[("short", 300)], out=out, aim_ms=1500
                        ),
                        "clients",
                    )

            return step

        with orders_nothing():
            cluster = PlatformCluster(7, models=1).start()
            self.name(cluster, 2)
            named_s = cluster.world.now
            for at_s, step in ((4.3, begin(12, 530)), (4.8, begin(4, 6))):
                cluster.world.run(named_s + at_s - cluster.world.now)
                step(cluster)
            cluster.world.run(6)
            return cluster

    def test_a_request_that_waits_at_a_worker_does_not_begin_on_old_weights_too_late(self):
        self.assertEqual(self.old_runs(self.crowd()), [])

        def waits(*_):
            return math.inf

        with mock.patch.object(Gateway, "must_begin_by_s", waits):
            self.assertNotEqual(self.old_runs(self.crowd()), [])

    def busy_day(self, **more):
        """All workers are busy with long streams while new weights are named."""
        cluster = PlatformCluster(8, **more).start()
        busy = cluster.beside(lambda: self.long_streams(cluster), "clients")
        cluster.load.append(busy)
        cluster.world.run(3)
        self.name(cluster, 2)
        cluster.world.run(1.5 * VERSION_S + 0.5)
        return cluster

    async def long_streams(self, cluster, each_s=0.1):
        for at in itertools.count():
            asking = cluster._asking(
                "r-resume", f"{at}", parts=[("short", 300)], out=500, aim_ms=1500
            )
            cluster.running.append(asyncio.ensure_future(asking))
            await asyncio.sleep(each_s)

    def test_no_worker_is_left_behind_where_streams_are_long(self):
        cluster = self.busy_day(models=6)
        self.assertEqual(cluster.breaches(), {})

    def test_no_worker_is_left_behind_by_workers_that_answer_no_order(self):
        cluster = self.cluster(9, models=8)
        silent = ("lm1", "lm2", "lm3")
        for name in silent:
            cluster.world.freeze(name)
        self.name(cluster, 2)
        cluster.world.run(VERSION_S - 2.0)
        left = {
            each.name
            for each in (cluster.up[name] for name in cluster.workers if name.startswith("lm"))
            if each.versions[MODEL] < 2
        }
        self.assertEqual(left, {cluster.up[name].name for name in silent})
        for name in silent:
            cluster.world.thaw(name)
        cluster.world.run(3.0)
        self.assertEqual({cluster.up[name].versions[MODEL] for name in silent}, {2})
