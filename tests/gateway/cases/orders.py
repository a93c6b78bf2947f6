"""Cases of operators' orders: who is confirmed and who refused while cores are cut off, killed or lose their disks' last writes."""

import asyncio
import unittest
from contextlib import nullcontext
from unittest import mock

from swiftdeck.chain import outcomes
from swiftdeck.chain.chain import Chain, Refusal
from swiftdeck.chain.outcomes import Horizon, Outcomes
from swiftdeck.chain.state import ChainState
from swiftdeck.fault import BASE_VERSION_AHEAD, is_fault
from swiftdeck.fault import VERSION_CONFLICT as VERSION_CONFLICT_FAULT
from swiftdeck.http.client import fetch_json
from swiftdeck.platform.operator_api import WEIGHTS_PATH
from tests.gateway.orders import INVALID, TAKEN, TRY_AGAIN, VERSION_CONFLICT, OrderCluster
from tests.gateway.platform_cluster import MODEL

FIRST = 3


def early_refusal(self, change, take_one=Chain._process_change):
    """A refusal that waits for nothing."""
    got = take_one(self, change)
    return got.fault if isinstance(got, Refusal) else got


class OrderStorm:
    """Rounds of operators on one base, with answers lost and cores cut off, killed or frozen meanwhile; one seed a storm."""

    def __init__(self, seed, cores=3, rounds=5, lost_share=0.7, late_share=0.0):
        self.cluster = OrderCluster(seed, cores).start()
        self.cluster.late.share = late_share
        self.rng, self.cluster.lost_share = self.cluster.rng(), lost_share
        self.newest = FIRST
        for _ in range(rounds):
            self.round()

    def round(self):
        """Some operators on the newest number, at most eight orders under way, and something that goes wrong."""
        cluster, base = self.cluster, self.newest
        orders = []
        for _ in range(self.rng.choice((2, 2, 3, 8, 20))):
            number = base + self.rng.randint(1, 3)
            make = cluster.patch if self.rng.random() < 0.8 else self.whole
            orders.append(make(number, base))
        cluster.world.call_after(self.rng.uniform(0.0, 0.02), self.break_something)
        task = cluster.beside(lambda: self.together(orders))
        cluster.world.run(until=task.done, limit_s=90)
        cluster.world.run(self.rng.uniform(0, 3))
        shown = cluster.operate(cluster.operator.read)
        self.newest = shown["version"] if shown else self.newest

    def whole(self, number, base):
        return self.cluster.put(number, base, note=f"n{len(self.cluster.orders)}")

    async def together(self, orders):
        places = asyncio.Semaphore(8)

        async def one(order):
            async with places:
                order.is_given_up = self.rng.random() < 0.2
                limit_s = 0.9 if order.is_given_up else 60
                return await self.cluster.insisting(order, limit_s, self.rng.random() < 0.3)

        await asyncio.gather(*(one(order) for order in orders))

    def break_something(self):
        cluster = self.cluster
        running = [name for name in cluster.cores() if not cluster.world.loops[name].frozen]
        if len(running) < sum(name.startswith("core") for name in cluster.machines):
            return
        name = self.rng.choice([cluster.head() or running[0], self.rng.choice(running)])
        what = self.rng.choice((self.kill, self.cut, self.freeze, self.all_lose_power, self.mute))
        what(name)

    def kill(self, name):
        has_power = self.rng.random() < 0.4
        self.cluster.kill(name, silent=not has_power, back_s=self.rng.uniform(0.3, 4))
        if not has_power:
            self.cluster.folders[name].lose_power()

    def freeze(self, name):
        self.cluster.freeze(name, self.rng.uniform(0.5, 5))

    def cut(self, name):
        way = self.rng.choice(("both", "in", "out"))
        others = self.rng.choice(("all", "core", "router"))
        pairs = self.cluster.cut(name, others, way)
        self.cluster.world.call_after(
            self.rng.uniform(0.5, 20), lambda: self.cluster.world.net.heal(pairs)
        )

    def mute(self, name):
        """What a core says to the others is lost, and after a moment its power, before its disk has any use."""
        pairs = self.cluster.cut(name, "core", "out")
        self.cluster.world.call_after(
            self.rng.uniform(0.2, 1.2), lambda: self._mute_end(name, pairs)
        )

    def _mute_end(self, name, pairs):
        if name in self.cluster.world.loops:
            self.kill(name)
        self.cluster.world.net.heal(pairs)

    def all_lose_power(self, name):
        for each in list(self.cluster.cores()):
            self.cluster.kill(each, back_s=self.rng.uniform(0.3, 1))
            self.cluster.folders[each].lose_power()

    def found(self):
        """What is wrong when all has come to rest."""
        cluster = self.cluster
        cluster.lost_share = cluster.late.share = 0.0
        cluster.world.net.heal()
        cluster.world.run(until=lambda: len(cluster.cores()) == len(cluster.folders), limit_s=10)
        cluster.settle()
        insisted = [order for order in cluster.orders if not order.is_given_up]
        for order in insisted:
            cluster.operate(lambda order=order: cluster.insisting(order, 20))
        found = cluster.wrong() + [f"process failed: {fault}" for fault in cluster.world.faults]
        unclear = [order for order in insisted if not order.statuses() & {200, 412, 400}]
        return found + [f"{order.number} on {order.base} has no answer" for order in unclear]


class OrdersCase(unittest.TestCase):
    def assert_falls_without(self, patch, case):
        """With a mechanism taken out, the case finds something."""
        with patch:
            self.assertNotEqual(case(), [])

    def orders_at_a_cut_off_head(self, cores=3, seed=1):
        """Two operators on one base at a head that nobody hears; the first of them then gives up."""
        cluster = OrderCluster(seed, cores).start()
        head = cluster.member(0)
        pairs = cluster.cut(head)
        given_up, proper = cluster.patch(5, FIRST), cluster.patch(7, FIRST)
        for order in (given_up, proper):
            cluster.beside(lambda order=order: cluster.sending(order, head))
        cluster.world.run(5)
        found = [
            f"said {order.statuses()}"
            for order in (given_up, proper)
            if order.statuses() != {TRY_AGAIN}
        ]
        found += ["no other head"] * (cluster.head() in (head, None))
        cluster.operate(lambda: cluster.insisting(proper))
        cluster.world.net.heal(pairs)
        cluster.settle()
        return found + cluster.wrong()

    def test_no_order_is_refused_for_one_that_only_a_cut_off_head_has(self):
        for cores in (3, 5):
            self.assertEqual(self.orders_at_a_cut_off_head(cores), [])
        self.assert_falls_without(
            mock.patch.object(Chain, "is_committed", mock.AsyncMock(return_value=True)),
            self.orders_at_a_cut_off_head,
        )

    def orders_at_a_head_whose_disk_hangs(self):
        """Two orders in one write to a hanging disk, whose machine loses its power before it is done."""
        cluster = OrderCluster(2).start()
        head = cluster.member(0)
        cluster.folders[head].stall_s = 0.5
        cluster.beside(lambda: cluster.operator.name(MODEL, 2))
        cluster.world.run(0.05)
        for order in (cluster.patch(5, FIRST), cluster.patch(7, FIRST)):
            cluster.beside(lambda order=order: cluster.sending(order, head))
        cluster.world.run(0.7)
        cluster.kill(head, back_s=1)
        cluster.folders[head].lose_power()
        cluster.folders[head].stall_s = 0.0
        cluster.world.run(2)
        cluster.settle()
        return cluster.wrong()

    def test_no_order_is_refused_for_one_that_goes_with_the_power(self):
        self.assertEqual(self.orders_at_a_head_whose_disk_hangs(), [])
        self.assert_falls_without(
            mock.patch.object(Chain, "_process_change", early_refusal),
            self.orders_at_a_head_whose_disk_hangs,
        )

    def order_at_a_tail_whose_disk_hangs(self, cores=3):
        """No router holds a lease, so the tail's own disk is all that an acknowledgement has to wait for."""
        cluster = OrderCluster(1, cores, routers=0).start()
        cluster.world.run(4)
        tail = cluster.member(-1)
        cluster.folders[tail].stall_s = 0.6
        cluster.send(cluster.patch(5, FIRST), "core1")
        cluster.read("core1")
        return cluster.wrong()

    def test_the_tail_acknowledges_nothing_that_its_own_disk_has_not(self):
        for cores in (3, 5):
            self.assertEqual(self.order_at_a_tail_whose_disk_hangs(cores), [])
        self.assert_falls_without(
            mock.patch.object(Chain, "is_synced", lambda self, serial: True),
            self.order_at_a_tail_whose_disk_hangs,
        )

    def test_storms_of_operators_on_one_number(self):
        for seed in range(1, 4):
            self.assertEqual(OrderStorm(seed, (3, 5)[seed % 2]).found(), [], seed)

    def chain_of_orders(self, seed=3, cores=3, lost_share=0.7):
        """Eight orders under way at once, each on top of the one before, while the head is cut off."""
        cluster = OrderCluster(seed, cores).start()
        cluster.lost_share = lost_share
        orders = [cluster.patch(number + 2, number) for number in range(FIRST, FIRST + 16, 2)]
        cluster.order_rng.shuffle(orders)
        pairs = cluster.cut(cluster.member(0), "core")
        tasks = [
            cluster.beside(lambda order=order: cluster.insisting(order, 40)) for order in orders
        ]
        cluster.world.call_after(3, lambda: cluster.world.net.heal(pairs))
        cluster.world.run(until=lambda: all(task.done() for task in tasks), limit_s=45)
        cluster.settle()
        return [
            f"{order.number} on {order.base}: {order.statuses()}"
            for order in orders
            if TAKEN not in order.statuses() or order.statuses() & {VERSION_CONFLICT, INVALID}
        ] + cluster.wrong()

    def test_orders_on_numbers_that_are_still_under_way_are_all_taken(self):
        for seed, cores in ((3, 3), (4, 5)):
            self.assertEqual(self.chain_of_orders(seed, cores), [])

        def refuses_what_is_ahead(self, edition, base, outpaced=ChainState._check_base_edition):
            got = outpaced(self, edition, base)
            is_ahead = is_fault(got) and got.code == BASE_VERSION_AHEAD.code
            return VERSION_CONFLICT_FAULT if is_ahead else got

        self.assert_falls_without(
            mock.patch.object(ChainState, "_check_base_edition", refuses_what_is_ahead),
            self.chain_of_orders,
        )

    @mock.patch.object(outcomes, "CHANGES_KEPT", 3)
    def orders_sent_again_late(self, older_kept=20):
        """Orders are sent again to every core, one and many changes later, before and after all cores lost their power."""
        cluster = OrderCluster(6).start()
        with mock.patch.object(outcomes, "OLDER_KEPT", older_kept):
            for number in range(5, 27, 2):
                self.assertEqual(cluster.send(cluster.patch(number, number - 2), "core1"), TAKEN)
                self.send_again(cluster, cluster.orders[-1:])
            again = list(cluster.orders)
            self.send_again(cluster, again)
            for name in list(cluster.cores()):
                cluster.kill(name, back_s=0.5)
                cluster.folders[name].lose_power()
            wiped = cluster.member(1) if cluster.head() else "core2"
            cluster.folders[wiped].wipe()
            cluster.world.run(3)
            cluster.settle()
            self.send_again(cluster, again)
            lost = cluster.patch(28, 5)
            cluster.send(lost, "core1")
        return [
            f"{order.number}: {order.statuses()}"
            for order in again
            if order.statuses() - {TAKEN, TRY_AGAIN}
        ] + [f"{lost.statuses()}"] * (lost.statuses() != {VERSION_CONFLICT})

    def send_again(self, cluster, orders):
        """Send orders to every core at once, one order after the other."""
        for order in orders:
            cluster.operate(lambda order=order: cluster.sending_to_all(order))

    def test_an_order_that_was_taken_is_never_refused_however_late_it_comes_again(self):
        self.assertEqual(self.orders_sent_again_late(), [])
        self.assertEqual(self.orders_sent_again_late(older_kept=4), [])
        self.assert_falls_without(
            mock.patch.object(Outcomes, "horizon", lambda self: Horizon(0, 0)),
            lambda: self.orders_sent_again_late(older_kept=4),
        )

    def weights_at_a_head_that_nobody_hears(self):
        """New weights are named at a head just before it loses its power, and nobody else hears of them."""
        cluster = OrderCluster(7).start()
        cluster.world.run(6)
        head = cluster.member(0)
        cluster.cut(head, "core", "out")
        cluster.operator.named[MODEL] = 2
        weights = (f"{cluster.machines[head]}:8080", "POST", WEIGHTS_PATH)
        cluster.beside(lambda: fetch_json(*weights, {"model": MODEL, "version": 2}))
        cluster.world.run(1.0)
        cluster.kill(head, silent=True, back_s=1)
        cluster.folders[head].wipe()
        cluster.world.net.heal()
        cluster.world.run(2)
        cluster.settle()
        named = cluster.up[cluster.head()].chain.state.config.document.models[MODEL].weights
        return [
            f"order of {item['version']}" for item in cluster.records if item["kind"] == "order"
        ] + ([f"named {named}"] * (named != "1"))

    def test_no_worker_is_ordered_onto_weights_whose_naming_may_be_lost(self):
        self.assertEqual(self.weights_at_a_head_that_nobody_hears(), [])

        async def taken_in(self):
            return self.state.config

        self.assert_falls_without(
            mock.patch.object(Chain, "known_committed", taken_in),
            self.weights_at_a_head_that_nobody_hears,
        )


class CrashPoints:
    """A member of the chain dies at one moment after another of an order's way, from the sync at the head to the answer."""

    def __init__(self, seed, cores=3, step_ms=0.8, count=8, positions=(0, 0, -1), without=None):
        self.cluster = OrderCluster(seed, cores).start()
        self.newest, self.wrong = FIRST, []
        with without or nullcontext():
            for at in range(count):
                after_s = (at + self.cluster.order_rng.random()) * step_ms / 1000
                for has_power in (True, False):
                    self.crash(after_s, positions[at % len(positions)], has_power)

    def crash(self, after_s, position, has_power):
        """Two rivals, a crash, and both sent again unchanged to every core at once until they have their answers."""
        cluster, base = self.cluster, self.newest
        name = cluster.member(position)
        doors = [each for each in cluster.cores() if each != name]
        rivals = [cluster.patch(base + 2, base), cluster.patch(base + 2, base)]
        for order in rivals:
            cluster.beside(
                lambda order=order: cluster.sending(order, cluster.order_rng.choice(doors))
            )
        cluster.world.run(after_s)
        cluster.kill(name, silent=not has_power, back_s=0.6)
        if not has_power:
            cluster.folders[name].lose_power()
        tasks = [
            cluster.beside(lambda order=order: cluster.insisting(order, 40, at_all=True))
            for order in rivals
        ]
        cluster.world.run(until=lambda: all(task.done() for task in tasks), limit_s=45)
        cluster.settle()
        statuses = sorted(task.result() for task in tasks)
        if statuses != [TAKEN, VERSION_CONFLICT]:
            self.wrong.append(f"{name} {after_s} {has_power}: {statuses}")
        self.newest = base + 2

    def found(self):
        """What is wrong."""
        return self.wrong + self.cluster.wrong()


class CrashPointsCase(unittest.TestCase):
    def test_two_operators_with_one_number_while_a_member_dies_at_each_point_of_the_way(self):
        self.assertEqual(CrashPoints(1).found(), [])
        self.assertEqual(CrashPoints(2, 5, count=3).found(), [])

    def test_without_the_outcomes_the_resent_order_is_refused(self):
        nothing = mock.patch.object(Outcomes, "find", lambda self, change_id: None)
        wrong = CrashPoints(1, count=1, without=nothing).wrong
        self.assertTrue(any("[412, 412]" in each for each in wrong), wrong)
