"""What every process of the fleet has: mesh, neighbours, news, telemetry."""

import asyncio

from swiftdeck.member.membership import STATES, Membership
from swiftdeck.member.news import NewsTable
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import Member


class Node:
    """The parts that a core and a router share."""

    def __init__(self, settings, role, random, log=None):
        self.settings, self.random = settings, random
        self.telemetry = Telemetry(log)
        self.mesh = Mesh(settings.inner, self.telemetry.log_event)
        self.me = Member(
            addr=settings.inner,
            name=settings.name,
            role=role,
            zone=settings.zone,
            http_addr=settings.http,
            incarnation=random.getrandbits(62) + 1,
        )
        self.membership = Membership(
            self.me,
            self.mesh,
            settings.seeds,
            random,
            settings.probeMs,
            settings.suspectMs,
            self.telemetry,
        )
        self.news = NewsTable(self.mesh, self.membership)

    async def start_node(self):
        """Listen, join and follow the news."""
        await self.mesh.start()
        self.membership.start()
        self.news.start()

    def counters(self):
        """All counters of the process by name."""
        return dict(self.telemetry.count + self.mesh.count)

    def task_count(self):
        """How many tasks the loop has."""
        return len(asyncio.all_tasks())

    def clockMs(self):
        """The clock by which this process keeps its leases."""
        return int(asyncio.get_running_loop().time() * 1000)

    def neighbours(self):
        """This process and all that it knows of, the gone ones too, in their outward form."""
        members = [self.me, *(each.member for each in self.membership.known.values())]
        return [
            {
                "name": each.name,
                "role": each.role,
                "zone": each.zone,
                "addr": each.addr,
                "http": each.http_addr,
                "state": STATES[each.state],
            }
            for each in members
        ]
