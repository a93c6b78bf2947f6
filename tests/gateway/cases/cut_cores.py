"""Cases of one core that is cut off for twenty seconds: what it says meanwhile, and what it and routers do after the heal."""

import unittest
from unittest import mock

from swiftdeck.chain.agreement import Agreement
from swiftdeck.traffic.lease import ConfigLease
from swiftdeck.wire.messages import LeaseReturn
from tests.gateway.orders import FINAL, TAKEN, OrderCluster

FIRST, CUT_S, CATCH_UP_S = 3, 20, 4
CUTS = [(others, way) for others in ("all", "core", "router") for way in ("both", "in", "out")]


class CutCore:
    """A site one of whose cores is cut off while operators send orders to it and to the others, and read from all."""

    def __init__(self, seed, cores, position, others, way, for_s=CUT_S):
        self.cluster = OrderCluster(seed, cores).start()
        self.name = self.cluster.member(position)
        self.numbers, self.tasks = iter(range(5, 999, 2)), []
        self.rest = [name for name in self.cluster.cores() if name != self.name]
        self.others, self.way, self.newest, self.said = others, way, FIRST, []
        self.back_s = None
        self.play(for_s)

    def play(self, for_s):
        """Orders and reads just before the cut, during it, and right at its end."""
        cluster = self.cluster
        self.race()
        cluster.world.run(0.003)
        pairs = cluster.cut(self.name, self.others, self.way)
        self.race()
        cut_ms, end_s = cluster.now_ms(), cluster.world.now + for_s
        while cluster.world.now < end_s - 1.5:
            cluster.world.run(cluster.order_rng.uniform(0.1, 1.6))
            self.race()
        cluster.world.run(end_s - 0.005 - cluster.world.now)
        self.race()
        cluster.world.run(0.005)
        cluster.world.net.heal(pairs)
        healed_ms = cluster.now_ms()
        self.race()
        self.serve_again()
        cluster.world.run(until=lambda: all(task.done() for task in self.tasks), limit_s=60)
        cluster.settle()
        is_blind = self.others != "router"
        self.said = [
            (order.number, answer.sent_ms - cut_ms, answer.status)
            for order in cluster.orders
            for answer in order.answers
            if is_blind
            and answer.door == self.name
            and answer.status in FINAL
            and cut_ms + 1500 < answer.told_ms < healed_ms
        ]

    def race(self):
        """Operators on the newest number that anybody knows, two at the cut-off core and one beside it; and two reads."""
        cluster = self.cluster
        known = [order.number for order in cluster.orders if TAKEN in order.statuses()]
        base = max([FIRST, *known, *(number for _, _, number in cluster.reads)])
        one, two, three = (cluster.patch(next(self.numbers), base) for _ in range(3))
        side = cluster.order_rng.choice(self.rest)
        for make in (
            lambda: cluster.sending(one, self.name),
            lambda: cluster.sending(three, self.name),
            lambda: (
                cluster.insisting(two, 30)
                if cluster.order_rng.random() < 0.5
                else cluster.sending(two, side)
            ),
            lambda: cluster.reading(self.name),
            lambda: cluster.reading(side),
        ):
            self.tasks.append(cluster.beside(make))

    def serve_again(self):
        """Wait until the core that was cut off shows the newest configuration and takes an order."""
        cluster, healed_s = self.cluster, self.cluster.world.now
        while self.back_s is None and cluster.world.now < healed_s + 30:
            base = cluster.read(self.name)
            if base is not None:
                order = cluster.patch(next(self.numbers), base)
                if cluster.send(order, self.name) == TAKEN:
                    self.back_s = cluster.world.now - healed_s
                    break
            cluster.world.run(0.1)

    def found(self):
        """What is wrong."""
        found = self.cluster.wrong() + [f"{self.name} said {each}" for each in self.said]
        if self.back_s is None or self.back_s > CATCH_UP_S:
            found.append(f"{self.name} serves again after {self.back_s}")
        return found + [f"process failed: {fault}" for fault in self.cluster.world.faults]


def serves_without_a_lease(self):
    """What a member would do that asks nobody whether its view still stands."""
    return self.decided.number > 0


class CutCoresCase(unittest.TestCase):
    def assert_falls_without(self, patch, *cut):
        """With a mechanism taken out, the case finds something."""
        with patch:
            self.assertNotEqual(CutCore(*cut).found(), [])

    def test_the_head_the_tail_and_the_one_between_are_cut_off(self):
        cuts = [(at, others, way) for at in (0, -1) for others, way in CUTS[:4] + CUTS[6:7]]
        for seed, (position, others, way) in enumerate([*cuts, (1, "all", "both")]):
            with self.subTest(position=position, others=others, way=way):
                self.assertEqual(CutCore(seed, 3, position, others, way).found(), [])

    def test_the_head_and_the_tail_of_five_are_cut_off(self):
        for seed, position in ((41, 0), (42, -1)):
            self.assertEqual(CutCore(seed, 5, position, "all", "both").found(), [])

    def test_without_the_lease_of_the_view_old_things_are_told(self):
        no_lease = mock.patch.object(Agreement, "may_serve", serves_without_a_lease)
        self.assert_falls_without(no_lease, 5, 3, -1, "all", "both")


class BlindRouters:
    """Routers that start beside a cut-off core, with no way to any other; what each obeys in each of its lives."""

    def __init__(self, seed, cores=3, position=-1):
        cluster = self.cluster = OrderCluster(seed, cores, routers=3).start()
        self.lives = []
        core, blind = cluster.member(position), "router1"
        ips = [ip for name, ip in cluster.machines.items() if name not in (core, blind)]
        pairs = cluster.world.net.cut([cluster.machines[core], cluster.machines[blind]], ips)
        self.restart(blind)
        base = FIRST
        for number in (5, 7):
            if cluster.operate(lambda: cluster.insisting(cluster.patch(number, base), 20)) == TAKEN:
                base = number
            cluster.world.run(1)
            self.restart(blind)
        cluster.world.run(2)
        cluster.world.net.heal(pairs)
        self.restart(blind)
        cluster.world.run(0.2)
        self.restart(blind)
        cluster.operate(lambda: cluster.insisting(cluster.patch(9, base), 20))
        cluster.world.run(2)
        self.number = cluster.up[blind].lease.held.document.edition["operator"].number

    def restart(self, name):
        """Kill a router, start it again and note each version that it takes in."""
        cluster, life = self.cluster, []
        if name in cluster.world.loops:
            cluster.world.kill(name)
        cluster.start_router(name)
        self.lives.append(life)
        cluster.up[name].lease.watchers.append(lambda held: life.append(held.version))
        cluster.world.run(1.5)

    def found(self):
        """What is wrong: a life that goes back, a version that was never taken, or an old one after the heal."""
        found = [f"went back: {life}" for life in self.lives if life != sorted(life)]
        found += [f"obeys {self.number} after the heal"] * (self.number != 9)
        return found + self.cluster.wrong()


class BlindRoutersCase(unittest.TestCase):
    def test_a_router_beside_a_cut_off_core_never_goes_back(self):
        peeked = 0
        for seed, cores, position in ((1, 3, -1), (2, 3, 0), (3, 5, -1)):
            case = BlindRouters(seed, cores, position)
            self.assertEqual(case.found(), [])
            peeked += case.cluster.count("configsPeeked")
        self.assertGreater(peeked, 0)

    def test_without_the_comparison_of_versions_it_would(self):
        def takes_anything(self, got, sent_s):
            return self._install(got) if got.document else False

        with mock.patch.object(ConfigLease, "_apply_update", takes_anything):
            cluster = OrderCluster(4, routers=2).start()
            router = cluster.up["router1"]
            old = router.lease.held
            cluster.send(cluster.patch(5, FIRST), "core1")
            cluster.world.run(1)
            late = LeaseReturn(
                version=old.version, document=old.config.bytes(), digest=old.config.digest()
            )
            cluster._do("router1", lambda: router.lease._apply_update(late, 0.0))
            self.assertEqual(router.lease.held.version, old.version)
        cluster.world.run(1)
        newest = router.lease.held.version
        self.assertGreater(newest, old.version)
        cluster._do("router1", lambda: router.lease._apply_update(late, 0.0))
        self.assertEqual(router.lease.held.version, newest)
