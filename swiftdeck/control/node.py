"""The parts that all processes of the fleet have: mesh, membership, news and telemetry."""

import asyncio

from swiftdeck.member.membership import STATES, Membership
from swiftdeck.member.news import NewsTable
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.wire.limits import MeshLimits
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import Member


class Node:
    """Base class of cores and routers."""

    def __init__(self, settings, role, random, log=None):
        self.settings, self.random = settings, random
        self.telemetry = Telemetry(log)
        limits = MeshLimits.within(settings.memoryMb, settings.fileHandles)
        self.mesh = Mesh(settings.inner, self.telemetry.log_event, limits)
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
        """Start to listen for messages, join the fleet and follow its news."""
        await self.mesh.start()
        self.membership.start()
        self.news.start()

    def counters(self):
        """Return all counters of the process by name."""
        return dict(self.telemetry.count + self.mesh.count)

    def task_count(self):
        """Return the number of tasks in the event loop."""
        return len(asyncio.all_tasks())

    def clockMs(self):
        """Return the time in ms of the clock by which this process measures its leases."""
        return int(asyncio.get_running_loop().time() * 1000)

    def neighbours(self):
        """Return this process and all that it knows of, including gone ones, as JSON fields."""
        members = [self.me, *(member.member for member in self.membership.known.values())]
        return [
            {
                "name": member.name,
                "role": member.role,
                "zone": member.zone,
                "addr": member.addr,
                "http": member.http_addr,
                "state": STATES[member.state],
            }
            for member in members
        ]
