"""Tests of `duty/duty.py`."""

import random
import unittest

from swiftdeck.duty.ballots import Ballots
from swiftdeck.duty.duty import Duty
from swiftdeck.member.news import NewsTable
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import CoreRef, Nominate, View

CORES = [f"10.1.0.{index}:7000" for index in (1, 2, 3)]
VIEW = View(
    number=1, voters=[CoreRef(core_id=f"c{index}", addr=addr) for index, addr in enumerate(CORES)]
)
LEASE_S = 3.0


class Voter:
    """Stand-in for a core's Agreement in a view that does not change."""

    decided, watchers = VIEW, []
    slot = type("Slot", (), {"accepted": None})

    def is_voter(self):
        return True


class ClusterMap:
    """Stand-in for the candidate's ClusterMap."""

    view = VIEW

    def voters(self):
        return self.view.voters

    def refresh(self):
        """Do nothing."""


class EmptyMembership:
    """A membership without any other process."""

    def some(self, count, role=None):
        return []


class DutyTest(unittest.TestCase):
    def setUp(self):
        self.world, self.duties, self.ballots = World(1), {}, {}
        for addr in CORES:
            self.world.start(addr, addr.partition(":")[0], lambda addr=addr: self.core(addr))

    async def core(self, addr):
        """Run a voter process."""
        mesh = Mesh(addr)
        await mesh.start()
        self.ballots[addr] = Ballots(mesh, Voter())
        self.ballots[addr].start()

    def candidate(self, name, index, seen_term=0):
        """Start a process that runs for the duty, knowing terms up to `seen_term`."""
        addr = f"10.2.0.{index}:7000"

        async def main():
            mesh = Mesh(addr)
            await mesh.start()
            me = type("Me", (), {"name": name, "addr": addr, "incarnation": index})
            news = NewsTable(mesh, EmptyMembership())
            duty = Duty("keeper/m", me, mesh, news, ClusterMap(), random.Random(index))
            self.duties[name], duty.seen_term = duty, seen_term
            duty.start()

        self.world.start(name, addr.partition(":")[0], main)

    def holders(self):
        """Return the processes that believe to hold the duty now."""
        return [
            name
            for name, duty in self.duties.items()
            if self.world.loops[name] and duty.until_s > self.world.now
        ]

    def test_a_candidate_never_uses_a_term_twice(self):
        requested_terms = []
        self.candidate("a", 1)
        self.world.run(0.01)
        request_votes = self.duties["a"]._request_votes

        async def recording_request(term, release=False):
            is_renewal = self.duties["a"].term == term
            requested_terms.extend([] if release or is_renewal else [term])
            return await request_votes(term, release)

        self.duties["a"]._request_votes = recording_request
        self.world.run(until=lambda: self.holders() == ["a"], limit_s=10)
        self.assertGreater(len(requested_terms), 2)
        self.assertEqual(sorted(set(requested_terms)), requested_terms)

    def test_a_delayed_request_of_a_released_term_gets_no_vote(self):
        self.world.run(LEASE_S + 0.1)
        ballots, votes = self.ballots[CORES[0]], []

        def request(holder, term, release=False):
            nomination = Nominate(
                view=1, duty="keeper/m", term=term, holder=holder, release=release
            )
            self.world.run_in(
                CORES[0], lambda: votes.append(ballots.on_nominate(nomination, "").granted)
            )

        request("a/1", 3, release=True)
        request("a/1", 3)
        request("b/2", 3)
        request("b/2", 3, release=True)
        request("a/1", 2)
        request("a/1", 4)
        self.assertEqual(votes, [True, False, True, True, False, True])

    def test_a_delayed_release_does_not_free_the_vote_of_a_later_term(self):
        self.candidate("a", 1)
        self.world.run(0.01)
        released, request_votes = [], self.duties["a"]._request_votes

        async def recording_request(term, release=False):
            if release:
                released.append(term)
            return await request_votes(term, release)

        self.duties["a"]._request_votes = recording_request
        self.world.run(until=lambda: self.holders() == ["a"], limit_s=10)
        self.assertTrue(released)
        self.world.run(0.1)
        for term in released:
            late = Nominate(
                view=1, duty="keeper/m", term=term, holder=self.duties["a"].holder, release=True
            )
            for addr in CORES:
                ballots = self.ballots[addr]
                self.world.run_in(addr, lambda b=ballots, late=late: b.on_nominate(late, ""))
        self.candidate("b", 2, seen_term=self.duties["a"].term)
        self.world.run(0.3)
        self.assertEqual(self.holders(), ["a"])
