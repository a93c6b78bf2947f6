"""Tests of `runtime/command_queue.py`."""

import asyncio
import unittest

from swiftdeck.runtime.command_queue import CommandQueue
from swiftdeck.sim.world import World


class CommandQueueTest(unittest.TestCase):
    def test_commands_do_not_overlap(self):
        world, seen = World(), []

        async def slow_command(name):
            seen.append(name)
            await asyncio.sleep(1)
            seen.append(name)

        async def main():
            commands = CommandQueue()
            await asyncio.gather(commands.send(slow_command, "a"), commands.send(slow_command, "b"))

        world.start("p", "10.0.0.1", main)
        world.run(5)
        self.assertEqual(seen, ["a", "a", "b", "b"])
