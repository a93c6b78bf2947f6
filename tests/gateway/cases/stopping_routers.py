"""Cases of changes all day long, while routers stop in turn or vanish and the view changes again and again."""

import unittest
from unittest import mock

from swiftdeck.chain.router_leases import RouterLeases
from tests.gateway.core_cluster import CoreCluster
from tests.gateway.platform_cluster import BOUNDS, PlatformCluster

ROUTERS, PER_S, ROUTER_EVERY_S, CORE_EVERY_S = 3, 8, 4.0, 10.0
SETTLED_ACK_S = 1.5
"""What a change may take where no core is in trouble; the rules allow `ack_within_ms`."""


class LongDay(CoreCluster):
    """A stream of changes; a router is stopped or vanishes every few seconds, and now and then a core leaves or is killed."""

    def __init__(self, seed=1, cores=3):
        PlatformCluster.__init__(
            self, seed, routers=ROUTERS, cores=cores, models=1, apps=1, tolerate=(cores - 1) // 2
        )
        self.seeds, self.catch_up_s, self.added, self.changed = None, 4.0, 0, 5
        self.core_troubles_s = []

    def play(self, seconds, has_core_troubles=False):
        """Let the day pass; gives the changes that were acknowledged, and the longest time that one took in a calm core."""
        world, end_s = self.world, self.world.now + seconds
        self.keep_changing(PER_S)
        world.call_after(1.0, lambda: self._stop_router(0, end_s))
        if has_core_troubles:
            world.call_after(3.0, lambda: self._trouble_core(0, end_s))
        world.run(seconds)
        assert self.stop_changing()
        calm = [took_s for sent_s, took_s in self.acks if self._is_calm(sent_s, took_s)]
        return len(self.acks), max(calm)

    def _is_calm(self, sent_s, took_s):
        return not any(
            at_s - took_s <= sent_s <= at_s + CORE_EVERY_S / 2 for at_s in self.core_troubles_s
        )

    def _stop_router(self, at, end_s):
        """SIGTERM to a router, every third time a loss of power in its place; back after the time of grace."""
        if self.world.now >= end_s:
            return
        name = f"router{at % ROUTERS + 1}"
        if name in self.world.loops:
            if at % 3 == 2:
                self.kill(name, silent=True)
            else:
                self.terminate_router(name)
            self.world.call_after(BOUNDS["grace_s"], lambda: self._again(name))
        self.world.call_after(ROUTER_EVERY_S, lambda: self._stop_router(at + 1, end_s))

    def terminate_router(self, name):
        """SIGTERM to a router, which ends by itself."""
        loop, task = self.world.loops[name], PlatformCluster.terminate(self, name)
        task.add_done_callback(
            lambda _: self.world.call_after(0, lambda: loop.dead or self.world.kill(name))
        )

    def _again(self, name):
        if name in self.world.loops:
            self.world.kill(name)
        self.start_router(name)

    def _trouble_core(self, at, end_s):
        if self.world.now >= end_s:
            return
        name = f"core{at % 3 + 1}"
        self.core_troubles_s.append(self.world.now)
        self.kill(name, silent=at % 2 == 0, back_s=1.0)
        self.world.call_after(CORE_EVERY_S, lambda: self._trouble_core(at + 1, end_s))


class StoppingRoutersCase(unittest.TestCase):
    def test_no_acknowledgement_waits_for_a_router_that_stops_or_vanishes(self):
        cluster = LongDay(1).start()
        count, longest_s = cluster.play(30.0)
        self.assertGreater(count, 150)
        self.assertLess(longest_s, SETTLED_ACK_S)
        self.assertEqual(cluster.world.faults, [])

    def test_without_the_bound_it_would(self):
        cluster = LongDay(1)
        with mock.patch.object(RouterLeases, "is_in_force", waits_for_all):
            longest_s = cluster.start().play(30.0)[1]
        self.assertGreater(longest_s, SETTLED_ACK_S)

    def test_changes_go_on_through_changes_of_the_view(self):
        cluster = LongDay(2).start()
        count, longest_s = cluster.play(45.0, has_core_troubles=True)
        self.assertGreater(count, 150)
        self.assertLess(longest_s, SETTLED_ACK_S)
        cluster.settle()
        self.assertEqual(cluster.breaches(), {})


def waits_for_all(self, version):
    """What a tail would do that waits for each lease of a router, however long that is."""
    now_s = self.loop.time()
    return all(
        holder.held >= version or holder.until_s <= now_s for holder in self.holders.values()
    )
