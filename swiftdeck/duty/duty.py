"""A duty that this process may hold: won by election, held by a lease."""

import asyncio
import json

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import Nominate


class Duty:
    """Runs for a duty whenever it is vacant, and renews the lease while it is held.

    A term that has lapsed is never renewed; the duty has to be won again under a higher term. Nor
    does a candidate use one term twice, as a delayed release from the first try would free the
    votes of the second.
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
        """Start running for the duty, and renewing it once held."""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.ensure_future(self._run_loop())

    def is_held(self):
        """Return whether the duty is held now."""
        return self.loop.time() < self.until_s

    async def _run_loop(self):
        while True:
            if self.is_held():
                await self._request_votes(self.term)
                await asyncio.sleep(0.5)
            elif self.wants and self.cluster_map.voters():
                await self._run_for_election()
            else:
                await asyncio.sleep(0.2)

    async def _run_for_election(self):
        term = self.seen_term = self.seen_term + 1
        won, votes = await self._request_votes(term)
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
        await self._request_votes(term, release=True)
        await asyncio.sleep(min(max(left_ms, 100), 1000) / 1000 + self.random.uniform(0.02, 0.4))

    async def _request_votes(self, term, release=False):
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
        responses = await asyncio.gather(
            *(self.mesh.request(ref.addr, ask, 800) for ref in view.voters)
        )
        votes = [vote for vote in responses if not is_fault(vote)]
        if any(is_fault(vote) for vote in responses):
            self.cluster_map.refresh()
        self.seen_term = max([self.seen_term, *(vote.term for vote in votes)])
        won = sum(vote.granted for vote in votes) * 2 > len(view.voters) > 0
        if won and not release and (term > self.term or self.is_held()):
            self.until_s = sent_s + self.lease_ms / 1000 * 0.95
        return won, votes

    async def hand_back(self):
        """Release the duty, so that another process may win it at once."""
        self.wants = False
        if self.is_held():
            self.until_s = -1.0
            await self._request_votes(self.term, release=True)
