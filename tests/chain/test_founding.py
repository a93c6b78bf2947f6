"""Tests of a single voter: promises for the first view, and the leases of dropped members."""

import asyncio
import unittest

from swiftdeck.chain.agreement import Agreement
from swiftdeck.sim.folder import SimFolder
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import Accept, CoreRef, Prepare, View, ViewLeaseAsk


class FoundingTest(unittest.TestCase):
    """Calls the handlers of a single Agreement directly."""

    def run_agreement(self, folder, act, **more):
        world, results = World(), []

        async def main():
            agreement = Agreement(folder, Mesh("10.0.0.1:1"), "10.0.0.1:1", world.random, **more)
            await agreement.start()
            results.append(await act(agreement))

        world.start("a", "10.0.0.1", main)
        world.run(30)
        return results[0]

    def test_a_wiped_core_promises_and_accepts_nothing_for_the_first_view(self):
        view = View(number=1, members=[CoreRef(core_id="a", addr="10.0.0.1:1")])

        async def act(agreement):
            return [
                await agreement.on_prepare(Prepare(slot=1, ballot=9), ""),
                await agreement.on_accept(Accept(slot=1, ballot=9, view=view), ""),
            ]

        self.assertFalse(any(self.run_agreement(SimFolder(), act, may_found=False)))
        self.assertTrue(all(self.run_agreement(SimFolder(), act, may_found=True)))

    def test_the_identity_record_keeps_may_found_and_the_founders(self):
        async def read_record(agreement):
            return agreement.may_found, agreement.founders

        for may_found in (True, False):
            folder = SimFolder()
            self.run_agreement(folder, read_record, may_found=may_found, founders=["10.0.0.1:1"])
            restored = self.run_agreement(
                folder, read_record, may_found=not may_found, founders=["10.0.0.9:1"]
            )
            self.assertEqual(restored, (may_found, ["10.0.0.1:1"]))

    def test_a_voter_reports_how_long_the_lease_of_a_dropped_member_lasts(self):
        refs = [
            CoreRef(core_id=name, addr=f"10.0.0.{index + 2}:1") for index, name in enumerate("bc")
        ]

        async def act(agreement):
            me = CoreRef(core_id=agreement.core_id, addr="10.0.0.1:1")
            await asyncio.sleep(5)
            await agreement.learn(View(number=1, members=[me, *refs], voters=[me, *refs]))
            without_grant = (
                await agreement.on_accept(
                    Accept(slot=2, ballot=1, view=View(number=2, members=[me, refs[0]])), ""
                )
            ).left_ms
            agreement.slot.accepted = None
            agreement.on_lease_ask(ViewLeaseAsk(number=1, core_id="c"), "")
            await asyncio.sleep(1)
            after_grant = [
                (
                    await agreement.on_accept(
                        Accept(slot=2, ballot=ballot, view=View(number=2, members=members)), ""
                    )
                ).left_ms
                for ballot, members in ((2, [me, refs[0]]), (3, [me, refs[1]]))
            ]
            return without_grant, *after_grant

        without_grant, granted_ms, other_ms = self.run_agreement(SimFolder(), act)
        self.assertEqual((without_grant, other_ms), (0, 0))
        self.assertAlmostEqual(granted_ms, 1100, delta=2)

    def test_a_view_that_drops_members_soon_after_another_waits_for_the_leases_of_both(self):
        refs = [CoreRef(core_id=name, addr=f"{name}:1") for name in "abcd"]

        async def act(agreement):
            waits = []
            await asyncio.sleep(5)
            for number, members, pause_s in (
                (1, refs[:3], 5),
                (2, refs, 0.5),
                (3, refs[1:], 5),
                (4, refs[2:], 0),
            ):
                await agreement.learn(View(number=number, members=members, voters=refs), 100)
                waits.append(round(agreement.wait_until_s - agreement.loop.time(), 2))
                await asyncio.sleep(pause_s)
            return waits

        self.assertEqual(self.run_agreement(SimFolder(), act)[2:], [1.6, 0.1])
