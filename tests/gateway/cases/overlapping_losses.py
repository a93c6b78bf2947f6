"""Cases of losses that overlap beyond what may be lost at once, with no more disks lost than that."""

import asyncio
import unittest
from unittest import mock

from swiftdeck.chain.state_transfer import StateTransfer
from tests.gateway.loss_town import LossTown
from tests.gateway.orders import TAKEN

PAUSE_S = 2.0


def slow_join_up(taking=StateTransfer.join_up):
    """A core that stands still for a moment between its copy and its wish to join."""

    async def join_up(self, *args):
        fault = await taking(self, *args)
        await asyncio.sleep(PAUSE_S)
        return fault

    return mock.patch.object(StateTransfer, "join_up", join_up)


class PartialMember:
    """An emptied core has joined with an old copy, starts again before it is whole, and the others are away."""

    def __init__(self, seed, freeze_s):
        town = self.town = LossTown(seed).start()
        head, emptied, tail = (town.member(at) for at in range(3))
        town.lose(emptied, wiped=True)
        town.world.run(2.5)
        with slow_join_up():
            town.back(emptied)
            town.world.run(0.01)
            chain = town.up[emptied].chain
            town.world.run(until=lambda: chain.transfer.is_copy, limit_s=5)
            self.acknowledged = town.change()
            agreement = town.up[emptied].agreement
            town.world.run(until=lambda: agreement.position() >= 0, limit_s=5)
        self.was_partial = chain.is_partial and chain.serial < town.up[tail].chain.serial
        town.lose(head)
        town.lose(emptied)
        town.back(emptied)
        town.world.run(0.5)
        town.freeze(tail, freeze_s)
        town.world.run(freeze_s + 4)

    def found(self):
        """What is wrong when all is back."""
        return self.town.found()


class TwoPartialMembers:
    """Two of five cores join one after the other with copies of one time, and those before them are lost."""

    def __init__(self, seed):
        town = self.town = LossTown(seed, 5).start()
        head, emptied, restarted, between, tail = (town.member(at) for at in range(5))
        town.lose(emptied, wiped=True)
        town.lose(restarted)
        town.world.run(4)
        with slow_join_up():
            town.back(emptied)
            town.world.run(0.7)
            town.back(restarted)
            town.world.run(0.8)
            self.acknowledged = town.change()
            town.world.net.cut([town.machines[between]], [town.machines[emptied]], both=False)
            joined = town.up[restarted].agreement
            self.has_joined = town.world.run(until=lambda: joined.position() >= 0, limit_s=3)
        town.world.net.cut([town.machines[restarted]], [town.machines[tail]])
        town.lose(head)
        town.lose(between)
        rival = town.patch(9, 3)
        town.beside(lambda: town.insisting(rival, 20))
        town.world.run(6)


class OverlappingLossesCase(unittest.TestCase):
    def test_a_core_that_was_never_whole_takes_nothing_over_after_a_restart(self):
        for seed, freeze_s in ((1, 2.41), (1, 2.62), (2, 2.41), (2, 2.69)):
            with self.subTest(seed=seed, freeze_s=freeze_s):
                case = PartialMember(seed, freeze_s)
                self.assertEqual((case.acknowledged, case.was_partial), (TAKEN, True))
                self.assertEqual(case.found(), [])

    def test_a_core_joins_only_with_a_copy_of_the_view_that_it_joins(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                case = TwoPartialMembers(seed)
                self.assertEqual(case.acknowledged, TAKEN)
                self.assertEqual(case.town.found(), [])
