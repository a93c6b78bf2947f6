"""What the tests of the gateway's modules share: a simulated process, and small parts to build with."""

import asyncio
import random
import unittest

from swiftdeck.gateway.interfaces import Part, Request, WorkerListing
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.sim.world import World


class SimCase(unittest.TestCase):
    """A test whose coroutines run in simulated processes."""

    def setUp(self):
        self.world, self.telemetry = World(1), Telemetry()
        self.random = random.Random(1)
        for at, name in enumerate(("here", "there"), 1):
            self.world.start(name, f"10.0.0.{at}", lambda: asyncio.sleep(0))

    def do(self, make, name="here"):
        """Run a coroutine function to its end inside a process."""
        return self.world.run_task(name, make)

    def within(self, action, name="here"):
        """Call a plain function inside a process."""

        async def main():
            return action()

        return self.do(main, name)

    def beside(self, make, name="here"):
        """Begin a coroutine beside all else; gives its task."""
        box = []
        loop = self.world.loops[name]
        self.world._within(loop, lambda: box.append(loop.create_task(make())))
        return box[0]


def listed(name, service="s", zone="z1", slots=4, draining=False, weights=None, at=1, **more):
    """A worker of the list."""
    return WorkerListing(
        name,
        f"10.1.0.{at}:8080",
        service,
        zone,
        slots,
        draining,
        {"m": 1} if weights is None else weights,
        **more,
    )


def worker_registry(*names, **more):
    """A worker_registry of workers that are alike."""
    made = WorkerRegistry()
    made.apply_list([listed(name, at=at, **more) for at, name in enumerate(names, 1)])
    return made


def request(name="r1", parts=(("book", 13000), ("own", 3000)), tokens=None, headers=(), **more):
    """A request with a prompt of such parts."""
    made = [Part(part, count) for part, count in parts]
    fields = dict(
        method=b"POST",
        target=b"/a/1?q=1",
        host="h.example",
        path="/a/1",
        headers=list(headers),
        body=b"{}",
        key="k",
        model="m",
        time_left_ms=6000.0,
    )
    return Request(
        name=name,
        parts=made,
        prompt_tokens=sum(part.tokens for part in made) if tokens is None else tokens,
        **fields | more,
    )
