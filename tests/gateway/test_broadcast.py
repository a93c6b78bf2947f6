"""Tests of news for all routers, passed on by a relay in each zone."""

import random

from swiftdeck.gateway.broadcast import FORWARDED_PER_S, Broadcast
from swiftdeck.member.membership import Membership
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import KeptNews, LoadNews, Member, WorkerNews
from tests.gateway.parts import SimCase

ZONES, EACH = ("z1", "z2", "z3"), 4
ADDRS = [f"10.2.{zone}.{at}:7000" for zone in range(len(ZONES)) for at in range(1, EACH + 1)]
RELAYS = ADDRS[::EACH]


def kept(part, holder="w1"):
    """News that a worker keeps a part."""
    return KeptNews(holder=holder, salts=["1"], parts=[part], tokens=[9])


class BroadcastTest(SimCase):
    def setUp(self):
        super().setUp()
        self.parts, self.meshes, self.heard = {}, {}, {addr: [] for addr in ADDRS}
        for at, addr in enumerate(ADDRS):
            self.world.start(addr, addr.partition(":")[0], lambda: self.serve(addr, at))
        self.world.run(6)

    async def serve(self, addr, at):
        telemetry, mesh = Telemetry(), Mesh(addr)
        me = Member(
            addr=addr, name=f"r{at}", role="router", zone=ZONES[at // EACH], incarnation=at + 1
        )
        membership = Membership(me, mesh, ADDRS[:3], random.Random(at), 500, 2000, telemetry)
        self.parts[addr], self.meshes[addr] = Broadcast(me, mesh, membership, telemetry), mesh
        for kind in (LoadNews, KeptNews, WorkerNews):
            self.parts[addr].subscribe(
                kind, lambda news, origin: self.heard[addr].append((origin, news))
            )
        await mesh.start()
        membership.start()

    def tell(self, addr, *news):
        self.within(lambda: [self.parts[addr].publish(each) for each in news], addr)

    def others(self, *addrs):
        return [addr for addr in ADDRS if addr not in addrs]

    def bulletins(self):
        return {addr: mesh.sent["Bulletin"] for addr, mesh in self.meshes.items()}

    def test_all_others_hear_each_news_once_whoever_tells(self):
        for origin in (ADDRS[0], ADDRS[5]):
            for heard in self.heard.values():
                heard.clear()
            self.tell(origin, kept("a"), LoadNews(worker="w1", backlog=7), WorkerNews(worker="w2"))
            self.world.run(0.5)
            for addr in self.others(origin):
                self.assertEqual(
                    sorted((who, type(news).__name__) for who, news in self.heard[addr]),
                    [(origin, "KeptNews"), (origin, "LoadNews"), (origin, "WorkerNews")],
                    addr,
                )
            self.assertEqual(self.heard[origin], [])

    def test_one_message_to_the_own_relay_which_tells_its_zone_and_the_others_that_tell_theirs(
        self,
    ):
        before = self.bulletins()
        self.tell(ADDRS[6], LoadNews(worker="w1", backlog=7))
        self.world.run(0.5)
        sent = {addr: count - before[addr] for addr, count in self.bulletins().items()}
        self.assertEqual(sent.pop(ADDRS[6]), 1)
        self.assertEqual(sent.pop(RELAYS[1]), EACH - 1 + len(ZONES) - 1)
        self.assertEqual([sent.pop(RELAYS[0]), sent.pop(RELAYS[2])], [EACH - 1, EACH - 1])
        self.assertEqual(set(sent.values()), {0})

    def test_a_beat_grows_with_those_that_a_relay_tells(self):
        forward_interval_s = self.parts[RELAYS[0]].forward_interval_s()
        self.assertAlmostEqual(forward_interval_s, (EACH - 1 + len(ZONES) - 1) / FORWARDED_PER_S)

    def test_what_comes_within_a_beat_is_one_message_with_the_newest_load(self):
        before = self.bulletins()
        for backlog in range(1, 6):
            self.tell(ADDRS[6], LoadNews(worker="w1", backlog=backlog), kept(f"p{backlog}"))
        self.world.run(0.5)
        loads = [n.backlog for _, n in self.heard[ADDRS[1]] if isinstance(n, LoadNews)]
        parts = [n.parts[0] for _, n in self.heard[ADDRS[1]] if isinstance(n, KeptNews)]
        self.assertEqual((loads, parts), ([5], [f"p{at}" for at in range(1, 6)]))
        self.assertEqual(self.bulletins()[ADDRS[0]] - before[ADDRS[0]], EACH - 1)

    def test_what_is_kept_goes_by_the_next_relay_where_one_vanished(self):
        for origin in (ADDRS[1], ADDRS[5]):
            with self.subTest(origin):
                self.setUp()
                self.world.kill(RELAYS[1], silent=True)
                self.tell(origin, kept("a"))
                self.world.run(8)
                for addr in self.others(origin, RELAYS[1]):
                    self.assertEqual([news.parts for _, news in self.heard[addr]], [["a"]], addr)

    def test_a_suspected_router_is_told_nothing_and_a_beat_with_nothing_to_tell_sends_nothing(self):
        before = self.bulletins()
        self.world.kill(ADDRS[3], silent=True)
        self.world.run(8)
        self.assertEqual(self.bulletins(), before)
        self.tell(ADDRS[0], LoadNews(worker="w1", backlog=7))
        self.world.run(0.5)
        sent = self.bulletins()[ADDRS[0]] - before[ADDRS[0]]
        self.assertEqual(sent, len(ZONES) - 1 + EACH - 2)
