"""Tests of `chain/agreement.py`."""

import asyncio
import unittest

from swiftdeck.chain.agreement import Agreement
from swiftdeck.sim.folder import SimFolder
from swiftdeck.wire.messages import CoreRef, Prepare, View, ViewLeaseAsk


class AgreementTest(unittest.TestCase):
    def test_promises_outlast_a_restart(self):
        from swiftdeck.sim.world import World
        from swiftdeck.wire.mesh import Mesh

        world, folder, results = World(), SimFolder(), []

        def process(act):
            async def main():
                agreement = Agreement(folder, Mesh("10.0.0.1:1"), "10.0.0.1:1", world.random)
                await agreement.start()
                results.append((agreement.core_id, await act(agreement)))

            return main

        world.start("a", "10.0.0.1", process(lambda a: a.on_prepare(Prepare(slot=1, ballot=9), "")))
        world.run(1)
        world.kill("a")
        folder.lose_power()
        world.start("a", "10.0.0.1", process(lambda a: a.on_prepare(Prepare(slot=1, ballot=8), "")))
        world.run(1)
        self.assertEqual(results[0][0], results[1][0])
        self.assertEqual([each[1].granted for each in results], [True, False])

    def test_a_view_that_adds_a_member_keeps_the_wait_of_one_that_dropped_one(self):
        from swiftdeck.sim.world import World
        from swiftdeck.wire.mesh import Mesh

        world, served = World(), []
        refs = [CoreRef(core_id=name, addr=f"{name}:1") for name in "abc"]

        async def main():
            agreement = Agreement(SimFolder(), Mesh("10.0.0.1:1"), "10.0.0.1:1", world.random)
            await agreement.start()

            async def learn(number, members):
                await agreement.learn(View(number=number, members=members, voters=refs))
                agreement.lease_until_s = agreement.loop.time() + 10
                served.append(agreement.may_serve())

            await asyncio.sleep(5)
            await learn(1, refs)
            await asyncio.sleep(5)
            await learn(2, refs[:2])
            await asyncio.sleep(0.5)
            await learn(3, [*refs[:2], CoreRef(core_id="d", addr="d:1")])
            await asyncio.sleep(2.0)
            served.append(agreement.may_serve())

        world.start("a", "10.0.0.1", main)
        world.run(30)
        self.assertEqual(served[1:], [False, False, True])

    def dropped_lease_ms(self, tokens, pause_s=0.2):
        """Return how many ms a voter requires others to wait for the lease of a dropped member.

        A positive token is a lease request, a negative one hands that lease back.
        """
        from swiftdeck.sim.world import World
        from swiftdeck.wire.mesh import Mesh

        world, left = World(), []
        refs = [CoreRef(core_id=name, addr=f"{name}:1") for name in "ab"]

        async def main():
            voter = Agreement(SimFolder(), Mesh("10.0.0.1:1"), "10.0.0.1:1", world.random)
            await voter.start()
            refs.append(CoreRef(core_id=voter.core_id, addr="10.0.0.1:1"))
            await voter.learn(View(number=1, members=refs, voters=refs))
            await asyncio.sleep(5)
            for token in tokens:
                voter.on_lease_ask(
                    ViewLeaseAsk(number=1, core_id="a", token=abs(token), hand_back=token < 0), ""
                )
                await asyncio.sleep(pause_s)
            left.append(voter._dropped_lease_ms(View(number=2, members=refs[1:], voters=refs)))

        world.start("a", "10.0.0.1", main)
        world.run(30)
        return left[0]

    def test_a_lease_that_was_handed_back_is_not_waited_for(self):
        self.assertGreater(self.dropped_lease_ms([7]), 1500)
        self.assertEqual(self.dropped_lease_ms([7, -7]), 0)

    def test_a_delayed_hand_back_does_not_end_a_later_lease(self):
        self.assertGreater(self.dropped_lease_ms([7, 8, -7]), 1500)
        self.assertGreater(self.dropped_lease_ms([7, -7, 8]), 1500)
        self.assertGreater(self.dropped_lease_ms([7, -7, 8, -7]), 1500)

    def test_a_grant_requested_before_a_hand_back_is_ignored(self):
        from swiftdeck.sim.world import World
        from swiftdeck.wire.mesh import Mesh

        world, served = World(), []

        async def main():
            agreement = Agreement(SimFolder(), Mesh("10.0.0.1:1"), "10.0.0.1:1", world.random)
            await agreement.start()
            refs = [CoreRef(core_id=agreement.core_id, addr="10.0.0.1:1")]
            await agreement.learn(View(number=1, members=refs, voters=refs))
            await asyncio.sleep(5)
            grant = agreement.on_lease_ask

            async def grant_late(ask, sender):
                answer = grant(ask, sender)
                await asyncio.sleep(0.2)
                return answer

            agreement.on_lease_ask = grant_late
            renewing = asyncio.ensure_future(agreement.renew())
            await asyncio.sleep(0.1)
            agreement.on_lease_ask = grant
            await agreement.hand_back()
            await renewing
            served.append(agreement.may_serve())
            await agreement.renew()
            served.append(agreement.may_serve())

        world.start("a", "10.0.0.1", main)
        world.run(30)
        self.assertEqual(served, [False, True])
