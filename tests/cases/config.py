"""Cases of the configuration: changes, their answers, and leases of it."""

import asyncio

import attrs
import msgspec

from swiftdeck.bench.checker import check
from swiftdeck.config.document import key_digest
from swiftdeck.fault import CHANGE_ID_REUSED, INVALID_CONFIG, OUTCOME_UNDECIDED, VERSION_CONFLICT
from swiftdeck.http.client import connect, fetch_json
from tests.cases.bases import ThreeCoresCase


class ConfigCase(ThreeCoresCase):
    """Changes, their answers, and when they are in force."""

    def test_refusals_have_codes_and_change_nothing(self):
        cluster = self.cluster()
        self.assertEqual(
            cluster.change("PATCH", self.cap(9), base=0)[1]["code"], VERSION_CONFLICT.code
        )
        invalid = cluster.change("PATCH", {"routes": {"check": {"model": "nobody"}}})
        self.assertEqual((invalid[0], invalid[1]["code"]), (422, INVALID_CONFIG.code))
        self.assertIn("$.routes.check.model", invalid[1]["reason"])
        self.assertEqual(cluster.change("PATCH", self.cap(7), change_id="one")[1]["version"], 2)
        self.assertEqual(
            cluster.change("PATCH", self.cap(7), base=1, change_id="one")[1]["version"], 2
        )
        self.assertEqual(
            cluster.change("PATCH", self.cap(8), base=1, change_id="one")[1]["code"],
            CHANGE_ID_REUSED.code,
        )
        version, document = (
            cluster.ask("GET", "/v1/config")[1][name] for name in ("version", "document")
        )
        self.assertEqual((version, document["models"]["screener"]["cap"]), (2, 7))

    def test_a_stream_of_changes_has_an_answer_each(self):
        cluster = self.cluster()
        lines = [
            {"id": "a", "op": "patch", "base": 1, "document": self.cap(5)},
            {"id": "b", "op": "nonsense"},
            {"id": "c", "op": "patch", "base": 1, "document": self.cap(6)},
        ]

        async def send():
            ip, _, port = cluster.site.cores[0]["http"].rpartition(":")
            link = await connect(ip, int(port))
            body = b"\n".join(map(msgspec.json.encode, lines)) + b"\nnot json\n"
            got = await link.exchange("POST", "/v1/changes", body=body)
            return [msgspec.json.decode(line)["code"] async for line in got.lines()]

        self.assertEqual(cluster.world.run_task("operator", send), [0, 100, 200, 100])

    def test_lines_of_any_depth_have_an_answer_each(self):
        cluster, depths = self.cluster(), range(900, 1010)
        start = b'{"op":"patch","base":1,"document":{"deep":'
        lines = [start + b"[" * depth + b"]" * depth + b"}}" for depth in depths]

        async def send():
            ip, _, port = cluster.site.cores[0]["http"].rpartition(":")
            link = await connect(ip, int(port))
            got = await link.exchange("POST", "/v1/changes", body=b"\n".join(lines))
            return [msgspec.json.decode(line)["code"] async for line in got.lines()]

        codes = cluster.world.run_task("operator", send, limit_s=60)
        self.assertEqual(len(codes), len(lines))
        self.assertEqual(codes[-1], 100)

    def test_changes_go_in_and_answers_come_out_of_one_open_stream(self):
        cluster, got = self.cluster(), bytearray()

        class Sink(asyncio.Protocol):
            def data_received(self, data):
                got.extend(data)

        async def talk():
            ip, _, port = cluster.site.cores[0]["http"].rpartition(":")
            transport, _ = await asyncio.get_running_loop().create_connection(Sink, ip, int(port))
            transport.write(
                b"POST /v1/changes HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for number in range(3):
                line = (
                    msgspec.json.encode(
                        {"op": "patch", "base": 1 + number, "document": self.cap(5 + number)}
                    )
                    + b"\n"
                )
                transport.write(b"%x\r\n%s\r\n" % (len(line), line))
                while got.count(b'"version"') <= number:
                    await asyncio.sleep(0.05)
            transport.write(b"0\r\n\r\nGET /v1/counters HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(1)

        cluster.world.run_task("operator", talk, limit_s=30)
        self.assertEqual((got.count(b'"code":0'), got.count(b"HTTP/1.1 200")), (3, 2))
        self.assertEqual(cluster.ask("GET", "/v1/config")[1]["version"], 4)

    def test_two_operators_writing_at_once_never_both_win(self):
        cluster = self.cluster()
        for _ in range(5):
            self.assertEqual(sorted(self.race(cluster)), [200, 409, 409])
            cluster.version += 1

    def race(self, cluster):
        """Change the cap on one base through three cores at once; gives the statuses."""
        answers = [
            cluster.spawn(
                lambda name=name, number=number: fetch_json(
                    cluster.addresses[name]["http"],
                    "PATCH",
                    f"/v1/config?base={cluster.version}",
                    self.cap(number),
                    timeoutMs=12000,
                )
            )
            for number, name in ((5, "core1"), (6, "core2"), (7, "core3"))
        ]
        cluster.world.run(until=lambda: all(answers), limit_s=20)
        return [answer[0][0] for answer in answers]

    def test_ack_means_in_force_at_every_router_that_still_serves(self):
        cluster = self.cluster(routers=3)
        cluster.world.freeze("router2")
        at_s = cluster.world.now
        self.assertEqual(cluster.change("PATCH", self.cap(17))[0], 200)
        self.assertGreater(cluster.world.now - at_s, 2.5)
        served = [name for name in cluster.router_names() if cluster.up[name].lease.is_held()]
        self.assertTrue(
            all(cluster.up[name].lease.held.version == cluster.version for name in served)
        )
        self.assertNotIn("router2", served)
        cluster.world.thaw("router2")
        at_s = cluster.world.now
        cluster.world.run(2)
        self.assertEqual(cluster.change("PATCH", self.cap(18))[0], 200)
        self.assertLess(cluster.world.now - at_s, 4.0)

    def test_an_unknown_outcome_is_undecided_and_settles_once(self):
        cluster = self.cluster()
        lost = [
            cluster.addresses[name]["inner"].rpartition(":")[0] for name in cluster.core_names()
        ]
        head = self.member(cluster, 0)
        door = next(name for name in cluster.core_names() if name != head)
        head_ip = cluster.addresses[head]["inner"].rpartition(":")[0]
        cluster.world.net.cut([head_ip], [ip for ip in lost if ip != head_ip], both=False)
        got = cluster.change("PATCH", self.cap(19), name=door, change_id="late")
        cluster.world.net.heal()
        cluster.world.run(6)
        again = cluster.change("PATCH", self.cap(19), base=1, name=door, change_id="late")
        if got[0] != 200:
            self.assertEqual(got[1]["code"], OUTCOME_UNDECIDED.code)
        self.assertEqual((again[0], again[1]["version"]), (200, 2))

    def test_many_routes_are_carried_to_all(self):
        cluster = self.cluster()
        routes = {
            f"route-{number}": {"model": "screener", "repeatable": True} for number in range(3000)
        }
        self.assertEqual(cluster.change("PATCH", {"routes": routes})[0], 200)
        self.assertTrue(
            all(
                len(cluster.up[name].lease.held.document.routes) == 3002
                for name in cluster.router_names()
            )
        )
        self.assertEqual(cluster.call("saga", "route-2999", ["a", "b"])["status"], 200)

    def test_a_change_travels_as_a_change_and_the_whole_only_on_a_mismatch(self):
        cluster = self.cluster()
        routes = {f"route-{number}": {"model": "screener"} for number in range(2000)}
        self.assertEqual(cluster.change("PATCH", {"routes": routes})[0], 200)
        cluster.world.run(1)
        wholes = cluster.counters()["wholesSent"]
        for number in range(5):
            self.assertEqual(
                cluster.change(
                    "PATCH",
                    {"routes": {f"route-{number}": None}, "tenants": {"saga": {"apart": True}}},
                )[0],
                200,
            )
        self.assertEqual(
            (cluster.counters()["wholesSent"] - wholes, cluster.counters()["configsMismatched"]),
            (0, 0),
        )
        lease = cluster.up["router2"].lease
        wrong = lease.held.config.apply({"routes": {"tag": None}})
        lease.held = attrs.evolve(lease.held, config=wrong)
        self.assertEqual(cluster.change("PATCH", self.cap(9))[0], 200)
        cluster.world.run(1)
        held = {cluster.up[name].lease.held.config.digest() for name in cluster.router_names()}
        self.assertEqual((len(held), cluster.counters()["wholesSent"] - wholes), (1, 1))
        self.assertEqual(
            cluster.call("saga", "tag", ["a", "b"], door=cluster.addresses["router2"]["http"])[
                "status"
            ],
            200,
        )
        sizes = {
            len(entry)
            for name in cluster.core_names()
            for entry in cluster.up[name].chain.entries.values()
        }
        self.assertLess(sorted(sizes)[-2], 2000)

    def test_a_configuration_beyond_its_bound_is_refused_with_its_code(self):
        cluster = self.cluster(bodyBytes=8 << 20)
        routes = {
            f"route-{number}": {"model": "screener", "tenants": ["saga"] * 200}
            for number in range(4000)
        }
        for at in range(5):
            got = cluster.change(
                "PATCH", {"routes": {f"{name}-{at}": route for name, route in routes.items()}}
            )
            if got[0] != 200:
                break
        self.assertEqual((got[0], got[1]["code"]), (422, INVALID_CONFIG.code))
        self.assertIn("bytes", got[1]["reason"])
        self.assertEqual(cluster.call("saga", "tag", ["a", "b"])["status"], 200)

    def test_a_router_cut_from_the_cores_holds_its_lease_through_a_neighbour(self):
        cluster = self.cluster(routers=3)
        ip = cluster.addresses["router1"]["inner"].rpartition(":")[0]
        cores = [
            cluster.addresses[name]["inner"].rpartition(":")[0] for name in cluster.core_names()
        ]
        cluster.world.net.cut([ip], cores)
        cluster.world.run(6)
        at_s = cluster.world.now
        self.assertEqual(
            cluster.change("PATCH", {"tenants": {"saga": {"keys": [key_digest("other")]}}})[0], 200
        )
        self.assertLess(cluster.world.now - at_s, 2.0)
        door = cluster.addresses["router1"]["http"]
        self.assertEqual(cluster.call("saga", "tag", ["a", "b"], door=door)["status"], 401)
        self.assertEqual(cluster.call("oita", "tag", ["a", "b"], door=door)["status"], 200)

    def test_a_key_that_is_taken_while_its_call_waits_ends_the_call_at_once(self):
        cluster = self.cluster(routers=2, workers=1)
        self.assertEqual(cluster.change("PATCH", self.cap(1))[0], 200)
        cluster.spawn(lambda: cluster.caller.call("oita", "check", ["b", "long"], max_tokens=6400))
        cluster.world.run(1)
        box = cluster.spawn(lambda: cluster.caller.call("saga", "check", ["b", "x"]))
        cluster.world.run(1)
        self.assertEqual(
            cluster.change("PATCH", {"tenants": {"saga": {"keys": [key_digest("other")]}}})[0], 200
        )
        cluster.world.run(until=lambda: box, limit_s=1.5)
        self.assertTrue(box and box[0]["status"] == 401 and box[0]["notRun"], box)

    def test_changes_are_in_force_within_two_seconds_while_nothing_fails(self):
        cluster = self.cluster(routers=9)
        cluster.record("operator")("quiet", untilMs=int(cluster.world.now * 1000) + 60000)
        for number in range(4):
            self.assertEqual(cluster.change("PATCH", self.cap(number + 3))[0], 200)
            cluster.world.run(0.37)
        for number in range(3):
            key = f"key-{number}"
            self.assertEqual(
                cluster.change("PATCH", {"tenants": {"saga": {"keys": [key_digest(key)]}}})[0], 200
            )
            got = [
                cluster.call("saga", "tag", ["a", "b"], key=old, door=node["http"])["status"]
                for node in cluster.site.routers
                for old in (key, f"key-{number - 1}")
            ]
            self.assertEqual(got, [200, 401] * 9)
            cluster.world.run(0.37)
        self.assertEqual(check(cluster.records), {})

    def test_a_revoked_key_is_refused_on_a_kept_alive_connection(self):
        cluster = self.cluster()
        bodies = msgspec.json.encode({"model": "tag", "parts": ["a"], "stream": False})

        async def talk():
            ip, _, port = cluster.site.routers[0]["http"].rpartition(":")
            link, codes = await connect(ip, int(port)), []
            for number in range(2):
                got = await link.exchange(
                    "POST", "/v1/calls", [("authorization", "Bearer key-saga")], bodies
                )
                await got.whole()
                codes.append(got.status)
                while not number and cluster.version < 2:
                    await asyncio.sleep(0.1)
            return codes

        box = cluster.spawn(talk)
        cluster.world.run(1)
        self.assertEqual(
            cluster.change("PATCH", {"tenants": {"saga": {"keys": [key_digest("other")]}}})[0], 200
        )
        cluster.world.run(until=lambda: box, limit_s=10)
        self.assertEqual(box, [[200, 401]])
