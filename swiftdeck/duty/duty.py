"""A duty that this process may hold: won by ballots, held by lease."""

import asyncio
import json

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import Nominate


class Duty:
    """Stands for a duty whenever it is vacant, and renews it while held.

    A term that has lapsed is never renewed: the duty is then won again under a higher term. Nor is
    one stood for twice: a release of the first time that comes late would free the second's votes.
    """

    def __init__(self, name, me, mesh, news, cluster_map, random, lease_ms=3000, telemetry=None):
        self.name, self.me, self.mesh, self.news, self.cluster_map = (
            name,
            me,
            mesh,
            news,
            cluster_map,
        )
        self.random, self.lease_ms, self.telemetry = random, lease_ms, telemetry
        self.holder = f"{me.name}/{me.incarnation:x}"
        self.term, self.until_s, self.seen_term = 0, -1.0, 0
        self.wants = True

    def start(self):
        """Go on standing or renewing."""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.ensure_future(self._holding())

    def is_held(self):
        """Whether the duty is held at this moment."""
        return self.loop.time() < self.until_s

    async def _holding(self):
        while True:
            if self.is_held():
                await self._ask(self.term)
                await asyncio.sleep(0.5)
            elif self.wants and self.cluster_map.voters():
                await self._stand()
            else:
                await asyncio.sleep(0.2)

    async def _stand(self):
        term = self.seen_term = self.seen_term + 1
        won, votes = await self._ask(term)
        if won:
            self.term = term
            self.news.post(
                f"duty/{self.name}",
                term,
                json.dumps({"addr": self.me.addr, "name": self.me.name}).encode(),
            )
            if self.telemetry:
                self.telemetry.set_fact(f"duty.{self.name}", term)
            return
        left_ms = max((vote.left_ms for vote in votes), default=0)
        await self._ask(term, release=True)
        await asyncio.sleep(min(max(left_ms, 100), 1000) / 1000 + self.random.uniform(0.02, 0.4))

    async def _ask(self, term, release=False):
        view, sent_s = self.cluster_map.view, self.loop.time()
        ask = Nominate(
            view=view.number,
            duty=self.name,
            term=term,
            holder=self.holder,
            addr=self.me.addr,
            lease_ms=self.lease_ms,
            release=release,
        )
        got = await asyncio.gather(*(self.mesh.request(ref.addr, ask, 800) for ref in view.voters))
        votes = [vote for vote in got if not is_fault(vote)]
        if any(is_fault(vote) for vote in got):
            self.cluster_map.refresh()
        self.seen_term = max([self.seen_term, *(vote.term for vote in votes)])
        won = sum(vote.granted for vote in votes) * 2 > len(view.voters) > 0
        if won and not release and (term > self.term or self.is_held()):
            self.until_s = sent_s + self.lease_ms / 1000 * 0.95
        return won, votes

    async def hand_back(self):
        """Give the duty up, so that another may win it at once."""
        self.wants = False
        if self.is_held():
            self.until_s = -1.0
            await self._ask(self.term, release=True)
