"""Tests of `duty/ballots.py`."""

import asyncio
import unittest

from swiftdeck.duty.ballots import Ballots
from swiftdeck.wire.messages import Nominate, View


class BallotsTest(unittest.TestCase):
    def test_one_holder_at_a_time_and_no_votes_after_a_start(self):
        from swiftdeck.sim.world import World
        from swiftdeck.wire.mesh import Mesh

        world, granted = World(), []

        class OnlyVoter:
            decided, watchers = View(number=1), []
            slot = type("Slot", (), {"accepted": None})

            def is_voter(self):
                return True

        async def main():
            ballots = Ballots(Mesh("10.0.0.1:1"), OnlyVoter())
            ballots.start()

            def ask(holder, term, view=1):
                vote = ballots.on_nominate(
                    Nominate(duty="keeper/m", holder=holder, term=term, view=view), ""
                )
                granted.append(getattr(vote, "granted", None))

            ask("a", 1)
            await asyncio.sleep(3.1)
            ask("a", 1)
            ask("b", 2)
            await asyncio.sleep(2)
            ask("a", 1)
            await asyncio.sleep(2)
            ask("b", 2)
            await asyncio.sleep(1.1)
            ask("b", 2)
            ask("a", 1)
            ask("b", 3, view=2)

        world.start("p", "10.0.0.1", main)
        world.run(20)
        self.assertEqual(granted, [False, True, False, True, False, True, False, None])
