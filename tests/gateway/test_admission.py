"""Tests of how routers ask each other for places at workers."""

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

ADDRS = [f"10.2.0.{index}:7000" for index in (1, 2, 3)]
NAMES = [f"i-{index}" for index in range(6)]


class AdmissionTest(SimCase):
    def setUp(self):
        super().setUp()
        self.admissions, self.calls = {}, 0
        for index, addr in enumerate(ADDRS):
            self.world.start(addr, addr.partition(":")[0], lambda: self.serve(addr, index))
        self.world.run(3)
        self.owner_addr = self.admissions[ADDRS[0]].owner("i-0")
        self.asker_addr = next(addr for addr in ADDRS if addr != self.owner_addr)

    async def serve(self, addr, index):
        telemetry, mesh = Telemetry(), Mesh(addr)
        me = Member(addr=addr, name=f"r{index}", role="router", zone="z1", incarnation=index + 1)
        membership = Membership(me, mesh, ADDRS, random.Random(index), 500, 2000, telemetry)
        broadcast = Broadcast(me, mesh, membership, telemetry)
        self.admissions[addr] = Admission(
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
        self.admissions[addr].start()

    def wish(self, call, addr, worker="i-0", left_s=6.0):
        return Wish(call, f"e/{call}", "t", worker, 40000, self.world.loops[addr].time() + left_s)

    def ask(self, call, addr=None, wait_ms=50, unread_most=math.inf, **more):
        addr = addr or self.asker_addr
        wish = self.wish(call, addr, **more)
        answer = self.do(
            lambda: self.admissions[addr].ask(
                wish, wait_ms, SimpleNamespace(shared=lambda: []), "", unread_most
            ),
            addr,
        )
        return answer.granted, wish

    def open(self):
        return {
            addr: sum(len(slots.open) for slots in admission.place_table.slots_by_worker.values())
            for addr, admission in self.admissions.items()
        }

    def test_all_routers_ask_the_same_owner(self):
        self.assertEqual(
            {admission.owner("i-0") for admission in self.admissions.values()}, {self.owner_addr}
        )
        granted = [self.ask(f"c{index}", ADDRS[index % 3])[0] for index in range(4)]
        self.assertEqual(
            (granted, self.open()[self.owner_addr], sum(self.open().values())),
            ([True, True, False, False], 2, 2),
        )

    def test_an_ended_call_releases_its_place_at_the_owner(self):
        wishes = [self.ask(f"c{index}")[1] for index in range(2)]
        for wish in wishes:
            self.within(lambda: self.admissions[self.asker_addr].end_call(wish), self.asker_addr)
            self.within(lambda: self.admissions[self.asker_addr].end_call(wish), self.asker_addr)
        self.world.run(1.5)
        self.assertEqual(sum(self.open().values()), 0)
        self.assertTrue(self.ask("next")[0])

    def test_a_call_queued_at_a_leaving_owner_is_answered_at_once(self):
        for index in range(2):
            self.ask(f"c{index}")
        late = self.wish("late", self.asker_addr)
        task = self.beside(
            lambda: self.admissions[self.asker_addr].ask(
                late, 5000, SimpleNamespace(shared=lambda: []), ""
            ),
            self.asker_addr,
        )
        self.world.run(0.5)
        self.assertFalse(task.done())
        owner = self.admissions[self.owner_addr]
        self.within(lambda: (owner.membership.leave(), owner.mesh.close()), self.owner_addr)
        self.world.run(0.05)
        self.assertTrue(task.done())
        self.assertNotEqual(self.admissions[self.asker_addr].owner("i-0"), self.owner_addr)

    def test_a_call_queued_at_another_router_is_admitted(self):
        _, first = self.ask("c0")
        self.ask("c1")
        late = self.wish("late", self.asker_addr)
        task = self.beside(
            lambda: self.admissions[self.asker_addr].ask(
                late, 1000, SimpleNamespace(shared=lambda: []), ""
            ),
            self.asker_addr,
        )
        self.world.run(0.2)
        self.assertFalse(task.done())
        self.within(lambda: self.admissions[self.asker_addr].end_call(first), self.asker_addr)
        self.world.run(0.5)
        self.assertTrue(task.result().granted)

    def test_a_share_is_used_without_asking_while_the_owner_is_silent(self):
        self.world.freeze(self.owner_addr)
        begun_s = self.world.now
        admission = self.admissions[self.asker_addr]
        self.assertTrue(self.ask("c0")[0])
        self.assertLess(self.world.now - begun_s, (50 + RESPONSE_MARGIN_MS) / 1000 + 0.05)
        self.assertEqual(admission.telemetry.count["placesUnasked"], 1)
        admission.worker_registry.workers["i-0"].running_long = 2
        self.assertFalse(self.ask("c1")[0])
        self.assertFalse(self.ask("c2", worker="i-0")[0])

    def test_another_router_takes_over_the_slot_table_of_a_lost_one(self):
        self.world.kill(self.owner_addr)
        self.world.run(6)
        owners = {
            admission.owner("i-0")
            for addr, admission in self.admissions.items()
            if addr != self.owner_addr
        }
        self.assertEqual(len(owners), 1)
        self.assertNotIn(self.owner_addr, owners)
        self.assertEqual([self.ask(f"c{index}")[0] for index in range(3)], [True, True, False])

    def test_places_of_a_lost_asker_are_released(self):
        self.ask("c0", left_s=2.0)
        self.ask("c1", left_s=2.0)
        self.world.kill(self.asker_addr)
        self.world.run(4)
        self.assertEqual(
            sum(count for addr, count in self.open().items() if addr != self.asker_addr), 0
        )

    def ask_to_read(self, episode, unread_most):
        addr, episode_name = self.asker_addr, f"reading {episode}"
        self.calls += 1
        deadline_s = self.world.loops[addr].time() + 6
        wish = Wish(f"call {self.calls}", episode_name, "t", "i-0", 20000, deadline_s, 20000)
        request = SimpleNamespace(shared=lambda: [])
        return self.do(lambda: self.admissions[addr].ask(wish, 0, request, "", unread_most), addr)

    def test_an_owner_declines_a_new_episode_above_the_allowed_backlog(self):
        self.assertEqual(self.ask_to_read(1, 0), PlaceReturn(granted=True))
        declined = self.ask_to_read(2, 5000)
        self.assertTrue(declined.is_busy and not declined.granted)
        self.assertAlmostEqual(declined.unread, 20000, delta=2000)
        worker = self.admissions[self.asker_addr].worker_registry.workers["i-0"]
        self.assertEqual(worker.backlog, declined.unread)
        self.assertEqual(self.open()[self.owner_addr], 1)
        self.assertTrue(self.ask_to_read(1, 0).granted, "a later call of an open episode")
        admitted = self.ask_to_read(3, math.inf)
        self.assertTrue(admitted.granted)
        self.assertAlmostEqual(admitted.unread, 40000, delta=4000)
        self.assertTrue(self.ask_to_read(4, math.inf).granted)
