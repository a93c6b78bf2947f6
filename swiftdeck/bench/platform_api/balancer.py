"""A stand-in for the platform's load balancer, which decides which nodes get new connections."""

import asyncio

from swiftdeck.http.client import fetch_json


class Balancer:
    """Probes the readiness of each node every second; two failures in a row take it out, one success takes it in.

    `nodes` has the front address and the probed address of each node by its name. A node is out until its first success.
    """

    def __init__(self, nodes):
        self.nodes, self.misses = nodes, {}

    async def run(self):
        """Probe all nodes once a second, until cancelled."""
        while True:
            await asyncio.gather(
                *(self._probe(name, address) for name, (_, address) in self.nodes.items())
            )
            await asyncio.sleep(1)

    async def _probe(self, name, address):
        response = await fetch_json(address, "GET", "/swiftdeck/ready", timeoutMs=800)
        self.misses[name] = 0 if response and response[0] == 200 else self.misses.get(name, 2) + 1

    def ready(self):
        """Return (name, front address) of the nodes that are in."""
        return [
            (name, front_address)
            for name, (front_address, _) in self.nodes.items()
            if self.misses.get(name, 2) < 2
        ]

    def doors(self):
        """Return (name, front address) of the nodes that are in, or of all nodes when fewer than half are in."""
        ready_nodes = self.ready()
        return (
            ready_nodes
            if 2 * len(ready_nodes) >= len(self.nodes)
            else [(name, front_address) for name, (front_address, _) in self.nodes.items()]
        )
