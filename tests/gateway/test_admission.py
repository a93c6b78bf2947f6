"""Tests of how routers ask each other's books for places."""

import math
import random
from types import SimpleNamespace

from swiftdeck.gateway.admission import RESPONSE_MARGIN_MS, Admission
from swiftdeck.gateway.broadcast import Broadcast
from swiftdeck.gateway.places import Wish
from swiftdeck.member.membership import Membership
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import Member, PlaceReturn
from tests.gateway.parts import SimCase, worker_registry

ADDRS = [f"10.2.0.{at}:7000" for at in (1, 2, 3)]
NAMES = [f"i-{at}" for at in range(6)]


class AdmissionTest(SimCase):
    def setUp(self):
        super().setUp()
        self.parts, self.calls = {}, 0
        for at, addr in enumerate(ADDRS):
            self.world.start(addr, addr.partition(":")[0], lambda: self.serve(addr, at))
        self.world.run(3)
        self.far = self.parts[ADDRS[0]].owner("i-0")
        self.asker = next(addr for addr in ADDRS if addr != self.far)

    async def serve(self, addr, at):
        telemetry, mesh = Telemetry(), Mesh(addr)
        me = Member(addr=addr, name=f"r{at}", role="router", zone="z1", incarnation=at + 1)
        membership = Membership(me, mesh, ADDRS, random.Random(at), 500, 2000, telemetry)
        broadcast = Broadcast(me, mesh, membership, telemetry)
        self.parts[addr] = Admission(
            me,
            mesh,
            membership,
            worker_registry(*NAMES),
            telemetry,
            lambda worker: 100000,
            broadcast,
        )
        await mesh.start()
        membership.start()
        self.parts[addr].start()

    def wish(self, call, addr, worker="i-0", left_s=6.0):
        return Wish(call, f"e/{call}", "t", worker, 40000, self.world.loops[addr].time() + left_s)

    def ask(self, call, addr=None, wait_ms=50, unread_most=math.inf, **more):
        addr = addr or self.asker
        wish = self.wish(call, addr, **more)
        answer = self.do(
            lambda: self.parts[addr].ask(
                wish, wait_ms, SimpleNamespace(shared=lambda: []), "", unread_most
            ),
            addr,
        )
        return answer.granted, wish

    def open(self):
        return {
            addr: sum(len(book.open) for book in part.place_table.place_table.values())
            for addr, part in self.parts.items()
        }

    def test_all_routers_ask_the_same_book(self):
        self.assertEqual({part.owner("i-0") for part in self.parts.values()}, {self.far})
        got = [self.ask(f"c{at}", ADDRS[at % 3])[0] for at in range(4)]
        self.assertEqual(
            (got, self.open()[self.far], sum(self.open().values())),
            ([True, True, False, False], 2, 2),
        )

    def test_an_end_gives_the_place_back_at_its_owner(self):
        wishes = [self.ask(f"c{at}")[1] for at in range(2)]
        for wish in wishes:
            self.within(lambda: self.parts[self.asker].end_call(wish), self.asker)
            self.within(lambda: self.parts[self.asker].end_call(wish), self.asker)
        self.world.run(1.5)
        self.assertEqual(sum(self.open().values()), 0)
        self.assertTrue(self.ask("next")[0])

    def test_who_waits_at_a_router_that_leaves_hears_of_it_at_once(self):
        for at in range(2):
            self.ask(f"c{at}")
        late = self.wish("late", self.asker)
        task = self.beside(
            lambda: self.parts[self.asker].ask(late, 5000, SimpleNamespace(shared=lambda: []), ""),
            self.asker,
        )
        self.world.run(0.5)
        self.assertFalse(task.done())
        far = self.parts[self.far]
        self.within(lambda: (far.membership.leave(), far.mesh.close()), self.far)
        self.world.run(0.05)
        self.assertTrue(task.done())
        self.assertNotEqual(self.parts[self.asker].owner("i-0"), self.far)

    def test_who_waits_at_another_router_is_let_in(self):
        _, first = self.ask("c0")
        self.ask("c1")
        late = self.wish("late", self.asker)
        task = self.beside(
            lambda: self.parts[self.asker].ask(late, 1000, SimpleNamespace(shared=lambda: []), ""),
            self.asker,
        )
        self.world.run(0.2)
        self.assertFalse(task.done())
        self.within(lambda: self.parts[self.asker].end_call(first), self.asker)
        self.world.run(0.5)
        self.assertTrue(task.result().granted)

    def test_where_the_owner_is_silent_a_share_is_used_without_it(self):
        self.world.freeze(self.far)
        begun_s = self.world.now
        part = self.parts[self.asker]
        self.assertTrue(self.ask("c0")[0])
        self.assertLess(self.world.now - begun_s, (50 + RESPONSE_MARGIN_MS) / 1000 + 0.05)
        self.assertEqual(part.telemetry.count["placesUnasked"], 1)
        part.worker_registry.workers["i-0"].running_long = 2
        self.assertFalse(self.ask("c1")[0])
        self.assertFalse(self.ask("c2", worker="i-0")[0])

    def test_another_router_owns_the_book_of_one_that_is_gone(self):
        self.world.kill(self.far)
        self.world.run(6)
        owners = {part.owner("i-0") for addr, part in self.parts.items() if addr != self.far}
        self.assertEqual(len(owners), 1)
        self.assertNotIn(self.far, owners)
        self.assertEqual([self.ask(f"c{at}")[0] for at in range(3)], [True, True, False])

    def test_places_of_an_asker_that_is_gone_come_back(self):
        self.ask("c0", left_s=2.0)
        self.ask("c1", left_s=2.0)
        self.world.kill(self.asker)
        self.world.run(4)
        self.assertEqual(sum(count for addr, count in self.open().items() if addr != self.asker), 0)

    def reading(self, episode, unread_most):
        addr, name = self.asker, f"reading {episode}"
        self.calls += 1
        ends_s = self.world.loops[addr].time() + 6
        wish = Wish(f"call {self.calls}", name, "t", "i-0", 20000, ends_s, 20000)
        request = SimpleNamespace(shared=lambda: [])
        return self.do(lambda: self.parts[addr].ask(wish, 0, request, "", unread_most), addr)

    def test_an_owner_declines_where_more_is_to_be_read_than_the_asker_allows(self):
        self.assertEqual(self.reading(1, 0), PlaceReturn(granted=True))
        declined = self.reading(2, 5000)
        self.assertTrue(declined.is_busy and not declined.granted)
        self.assertAlmostEqual(declined.unread, 20000, delta=2000)
        known = self.parts[self.asker].worker_registry.workers["i-0"]
        self.assertEqual(known.backlog, declined.unread)
        self.assertEqual(self.open()[self.far], 1)
        self.assertTrue(self.reading(1, 0).granted, "a later call of an open episode")
        let_in = self.reading(3, math.inf)
        self.assertTrue(let_in.granted)
        self.assertAlmostEqual(let_in.unread, 40000, delta=4000)
        self.assertTrue(self.reading(4, math.inf).granted)
