"""Cases of bad input at every door: no traceback, no hung connection, no dead process."""

import asyncio
import dataclasses
import random
import unittest

from swiftdeck.fault import HANDLER_FAILED
from swiftdeck.http.client import connect
from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.wire.mesh import HEAD
from swiftdeck.wire.messages import (
    NUMBERS,
    AttemptEnd,
    CallRenewal,
    ChainEntry,
    CopyAsk,
    GrantAsk,
    GrantDrop,
    JoinAsk,
    LeaseAsk,
    ListAsk,
    MemberList,
    NewsDigest,
    Nominate,
    OutcomeAsk,
    Relay,
    ReplicateAsk,
    ViewAsk,
    ViewLeaseAsk,
    Write,
)

HOSTILE = (
    GrantAsk,
    GrantDrop,
    CallRenewal,
    JoinAsk,
    AttemptEnd,
    LeaseAsk,
    ListAsk,
    NewsDigest,
    Nominate,
    OutcomeAsk,
    ReplicateAsk,
    Relay,
    MemberList,
    ViewAsk,
    ViewLeaseAsk,
    Write,
    CopyAsk,
)


class InputCase(unittest.TestCase):
    """Noise and hostile values, then a look whether all still serve."""

    def doors(self, cluster):
        nodes = [*cluster.site.cores, *cluster.site.routers]
        return [node["inner"] for node in nodes], [node["http"] for node in nodes]

    def noise(self, rng):
        return rng.choice(
            [
                lambda: rng.randbytes(rng.randint(1, 3000)),
                lambda: rng.randint(0, 1 << 32).to_bytes(5, "big")[-4:] + rng.randbytes(100),
                lambda: (
                    b"POST /v1/calls HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
                    % rng.randint(0, 10**12)
                    + rng.randbytes(50)
                ),
                lambda: (
                    b"GET /"
                    + rng.randbytes(20).hex().encode()
                    + b"%ff%00?since=\xc3 HTTP/1.1\r\nHost: x\r\n\r\n"
                ),
                lambda: (
                    b"GET /v1/decisions?since=%s HTTP/1.1\r\nHost: x\r\n\r\n"
                    % rng.choice([b"-1", b"x", b"9" * 30])
                ),
                lambda: (
                    b"PUT /v1/config?base=%s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
                    % rng.choice([b"-1", b"", b"9" * 40])
                ),
                lambda: (
                    b"PATCH /v1/config HTTP/1.1\r\nHost: x\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"
                ),
                lambda: (
                    b'POST /v1/changes HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n[1]\n"a"\n'
                ),
                lambda: (
                    b'PUT /v1/seeds HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\n\r\n[1,{"a":[]}]'
                ),
                lambda: b"GET / HTTP/1.1\r\n" * 100,
            ]
        )()

    def hostile(self, rng):
        kind = rng.choice(HOSTILE)
        values = {}
        for each in dataclasses.fields(kind):
            now = getattr(kind(), each.name)
            values[each.name] = (
                rng.random() < 0.5
                if isinstance(now, bool)
                else rng.choice([0, 1, 7, (1 << 32) - 1])
                if isinstance(now, int)
                else rng.choice(["", "x", "screener", "10.0.0.1:7000", "a:b:c", "\u00e9" * 50])
                if isinstance(now, str)
                else rng.randbytes(rng.randint(0, 60))
                if isinstance(now, bytes)
                else now
            )
        message = kind(**values)
        if kind is GrantAsk:
            message.chain = rng.choice([[], [b""], [b"x" * 16, b"y"]])
        if kind is ReplicateAsk:
            message.entries = [
                ChainEntry(serial=rng.choice([0, 5, 1 << 40]), body=rng.randbytes(9))
            ]
        return (
            HEAD.pack(NUMBERS[kind], rng.choice([0, 1, 99]), rng.choice([0, 0, 1]), 3)
            + b"x:1"
            + bytes(message)
        )

    def test_noise_at_every_door_harms_nothing(self):
        cluster, rng = SimCluster(5, routers=2, workers=1).start(), random.Random(5)
        inner, outer = self.doors(cluster)

        async def throw():
            loop = asyncio.get_running_loop()
            udp, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=(cluster.ip("operator"), 9)
            )
            for _ in range(150):
                door = rng.choice([*inner, *outer])
                ip, _, port = door.rpartition(":")
                link = await connect(ip, int(port))
                if door in inner and rng.random() < 0.7:
                    frame = self.hostile(rng)
                    link.transport.write(len(frame).to_bytes(4, "big") + frame)
                    udp.sendto(frame, (ip, int(port)))
                else:
                    link.transport.write(self.noise(rng))
                    udp.sendto(rng.randbytes(rng.randint(1, 500)), (ip, int(port)))
                await asyncio.sleep(0.02)
                if rng.random() < 0.7:
                    link.close()

        cluster.world.run_task("operator", throw, limit_s=120)
        cluster.world.run(20)
        self.assertEqual(cluster.world.faults, [])
        failed = {
            name: cluster.up[name].counters().get(f"faults.{HANDLER_FAILED.code}", 0)
            for name in cluster.addresses
        }
        self.assertEqual(set(failed.values()), {0}, failed)
        self.assertEqual(cluster.change("PATCH", {"models": {"screener": {"cap": 5}}})[0], 200)
        self.assertTrue(cluster.call("saga", "tag", ["a", "b"])["whole"])
        self.assertTrue(all(not cluster.up[name].open for name in cluster.router_names()))

    def test_malformed_lists_workers_and_stores_are_faults_not_tracebacks(self):
        cluster, rng = SimCluster(6, routers=2, workers=2).start(), random.Random(6)

        def garbage(part):
            async def handle(exchange):
                await exchange.send_json(
                    rng.choice([200, 200, 500]),
                    rng.choice(
                        [
                            [],
                            {},
                            7,
                            {"workers": [{"name": 5}]},
                            "x",
                            None,
                            {"n": "a", "kept": [1]},
                            {"parts": "many", "entries": 3},
                        ]
                    ),
                )

            part.http.handler = handle

        for name in ("platform", "store", "worker1", "worker2"):
            garbage(cluster.up[name])
        cluster.world.run(3)
        got = [
            cluster.call("saga", route, ["b", str(number)])
            for number, route in enumerate(["tag", "check"] * 3)
        ]
        self.assertEqual(
            [each["code"] for each in got if each["whole"] or not 100 <= each["code"] < 150],
            [],
            got,
        )
        self.assertEqual(cluster.world.faults, [])
        failed = [
            cluster.up[name].http.count.get(f"faults.{HANDLER_FAILED.code}", 0)
            for name in cluster.router_names()
        ]
        self.assertEqual(set(failed), {0})
