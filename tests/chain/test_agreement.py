"""Tests of `chain/agreement.py`."""

import asyncio
import unittest

from swiftdeck.chain.agreement import Agreement
from swiftdeck.sim.folder import SimFolder
from swiftdeck.wire.messages import CoreRef, Prepare, View


class AgreementTest(unittest.TestCase):
    def test_promises_outlast_a_restart(self):
        from swiftdeck.sim.world import World
        from swiftdeck.wire.mesh import Mesh

        world, folder, box = World(), SimFolder(), []

        def process(act):
            async def main():
                agreement = Agreement(folder, Mesh("10.0.0.1:1"), "10.0.0.1:1", world.random)
                await agreement.start()
                box.append((agreement.coreId, await act(agreement)))

            return main

        world.start("a", "10.0.0.1", process(lambda a: a.on_prepare(Prepare(slot=1, ballot=9), "")))
        world.run(1)
        world.kill("a")
        folder.lose_power()
        world.start("a", "10.0.0.1", process(lambda a: a.on_prepare(Prepare(slot=1, ballot=8), "")))
        world.run(1)
        self.assertEqual(box[0][0], box[1][0])
        self.assertEqual([each[1].granted for each in box], [True, False])

    def test_a_view_that_adds_does_not_forget_the_wait_of_one_that_dropped(self):
        from swiftdeck.sim.world import World
        from swiftdeck.wire.mesh import Mesh

        world, served = World(), []
        refs = [CoreRef(coreId=name, addr=f"{name}:1") for name in "abc"]

        async def main():
            agreement = Agreement(SimFolder(), Mesh("10.0.0.1:1"), "10.0.0.1:1", world.random)
            await agreement.start()

            async def learn(number, members):
                await agreement.learn(View(number=number, members=members, voters=refs))
                agreement.lease_until_s = agreement.loop.time() + 10
                served.append(agreement.mayServe())

            await asyncio.sleep(5)
            await learn(1, refs)
            await asyncio.sleep(5)
            await learn(2, refs[:2])
            await asyncio.sleep(0.5)
            await learn(3, [*refs[:2], CoreRef(coreId="d", addr="d:1")])
            await asyncio.sleep(2.0)
            served.append(agreement.mayServe())

        world.start("a", "10.0.0.1", main)
        world.run(30)
        self.assertEqual(served[1:], [False, False, True])
