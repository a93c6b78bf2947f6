"""Tests of the broadcast of news to all routers through a relay in each zone."""

import random

from swiftdeck.gateway.broadcast import FORWARDED_PER_S, Broadcast
from swiftdeck.member.membership import Membership
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import KeptNews, LoadNews, Member, WorkerNews
from tests.gateway.parts import SimCase

ZONES, ROUTERS_PER_ZONE = ("z1", "z2", "z3"), 4
ADDRS = [
    f"10.2.{zone}.{number}:7000"
    for zone in range(len(ZONES))
    for number in range(1, ROUTERS_PER_ZONE + 1)
]
RELAYS = ADDRS[::ROUTERS_PER_ZONE]


def kept(part, holder="w1"):
    """Return news that a worker has a part in its cache."""
    return KeptNews(holder=holder, salts=["1"], parts=[part], tokens=[9])


class BroadcastTest(SimCase):
    def setUp(self):
        super().setUp()
        self.broadcasts, self.meshes, self.received = {}, {}, {addr: [] for addr in ADDRS}
        for index, addr in enumerate(ADDRS):
            self.world.start(addr, addr.partition(":")[0], lambda: self.serve(addr, index))
        self.world.run(6)

    async def serve(self, addr, index):
        telemetry, mesh = Telemetry(), Mesh(addr)
        me = Member(
            addr=addr,
            name=f"r{index}",
            role="router",
            zone=ZONES[index // ROUTERS_PER_ZONE],
            incarnation=index + 1,
        )
        membership = Membership(me, mesh, ADDRS[:3], random.Random(index), 500, 2000, telemetry)
        self.broadcasts[addr], self.meshes[addr] = Broadcast(me, mesh, membership, telemetry), mesh
        for kind in (LoadNews, KeptNews, WorkerNews):
            self.broadcasts[addr].subscribe(
                kind, lambda news, origin: self.received[addr].append((origin, news))
            )
        await mesh.start()
        membership.start()

    def publish(self, addr, *news):
        self.within(lambda: [self.broadcasts[addr].publish(each) for each in news], addr)

    def others(self, *addrs):
        return [addr for addr in ADDRS if addr not in addrs]

    def bulletins(self):
        return {addr: mesh.sent["Bulletin"] for addr, mesh in self.meshes.items()}

    def test_all_other_routers_receive_each_item_once_from_any_origin(self):
        for origin in (ADDRS[0], ADDRS[5]):
            for received in self.received.values():
                received.clear()
            self.publish(
                origin, kept("a"), LoadNews(worker="w1", backlog=7), WorkerNews(worker="w2")
            )
            self.world.run(0.5)
            for addr in self.others(origin):
                self.assertEqual(
                    sorted((sender, type(news).__name__) for sender, news in self.received[addr]),
                    [(origin, "KeptNews"), (origin, "LoadNews"), (origin, "WorkerNews")],
                    addr,
                )
            self.assertEqual(self.received[origin], [])

    def test_news_go_to_the_own_relay_then_to_its_zone_and_the_other_relays(
        self,
    ):
        before = self.bulletins()
        self.publish(ADDRS[6], LoadNews(worker="w1", backlog=7))
        self.world.run(0.5)
        sent = {addr: count - before[addr] for addr, count in self.bulletins().items()}
        self.assertEqual(sent.pop(ADDRS[6]), 1)
        self.assertEqual(sent.pop(RELAYS[1]), ROUTERS_PER_ZONE - 1 + len(ZONES) - 1)
        self.assertEqual(
            [sent.pop(RELAYS[0]), sent.pop(RELAYS[2])], [ROUTERS_PER_ZONE - 1, ROUTERS_PER_ZONE - 1]
        )
        self.assertEqual(set(sent.values()), {0})

    def test_the_interval_grows_with_the_recipients_of_a_relay(self):
        forward_interval_s = self.broadcasts[RELAYS[0]].forward_interval_s()
        self.assertAlmostEqual(
            forward_interval_s, (ROUTERS_PER_ZONE - 1 + len(ZONES) - 1) / FORWARDED_PER_S
        )

    def test_news_of_one_interval_are_one_message_with_the_newest_load(self):
        before = self.bulletins()
        for backlog in range(1, 6):
            self.publish(ADDRS[6], LoadNews(worker="w1", backlog=backlog), kept(f"p{backlog}"))
        self.world.run(0.5)
        loads = [n.backlog for _, n in self.received[ADDRS[1]] if isinstance(n, LoadNews)]
        parts = [n.parts[0] for _, n in self.received[ADDRS[1]] if isinstance(n, KeptNews)]
        self.assertEqual((loads, parts), ([5], [f"p{index}" for index in range(1, 6)]))
        self.assertEqual(self.bulletins()[ADDRS[0]] - before[ADDRS[0]], ROUTERS_PER_ZONE - 1)

    def test_cache_news_go_to_the_next_relay_when_one_is_lost(self):
        for origin in (ADDRS[1], ADDRS[5]):
            with self.subTest(origin):
                self.setUp()
                self.world.kill(RELAYS[1], silent=True)
                self.publish(origin, kept("a"))
                self.world.run(8)
                for addr in self.others(origin, RELAYS[1]):
                    self.assertEqual([news.parts for _, news in self.received[addr]], [["a"]], addr)

    def test_suspected_routers_receive_nothing_and_empty_intervals_send_nothing(self):
        before = self.bulletins()
        self.world.kill(ADDRS[3], silent=True)
        self.world.run(8)
        self.assertEqual(self.bulletins(), before)
        self.publish(ADDRS[0], LoadNews(worker="w1", backlog=7))
        self.world.run(0.5)
        sent = self.bulletins()[ADDRS[0]] - before[ADDRS[0]]
        self.assertEqual(sent, len(ZONES) - 1 + ROUTERS_PER_ZONE - 2)
