"""A stand-in for the platform's address: which nodes get new connections."""

import asyncio

from swiftdeck.http.client import fetch_json


class Balancer:
    """Asks each node every second whether it is ready; two misses take it out, one answer takes it in."""

    def __init__(self, nodes):
        self.nodes, self.misses = nodes, {}

    async def run(self):
        """Go on asking."""
        while True:
            await asyncio.gather(*(self._ask(name, addr) for name, (_, addr) in self.nodes.items()))
            await asyncio.sleep(1)

    async def _ask(self, name, addr):
        got = await fetch_json(addr, "GET", "/swiftdeck/ready", timeoutMs=800)
        self.misses[name] = 0 if got and got[0] == 200 else self.misses.get(name, 2) + 1

    def ready(self):
        """(Name, front address) of the nodes that are in."""
        return [
            (name, front) for name, (front, _) in self.nodes.items() if self.misses.get(name, 2) < 2
        ]

    def doors(self):
        """(Name, front address) of the nodes that are in; of all, where fewer than half are."""
        ready = self.ready()
        return (
            ready
            if 2 * len(ready) >= len(self.nodes)
            else [(name, front) for name, (front, _) in self.nodes.items()]
        )
