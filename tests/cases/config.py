"""Cases of the configuration and the chain."""

import asyncio
import unittest

import attrs
import msgspec

from swiftdeck.bench.checker import check
from swiftdeck.config.document import key_digest
from swiftdeck.disk.journal import Journal
from swiftdeck.fault import INVALID, LOST_RACE, REUSED_CHANGE, UNDECIDED
from swiftdeck.http.client import connect, fetch_json
from swiftdeck.sim.town import Town


class ConfigCase(unittest.TestCase):
    """Changes through a chain whose members fail."""

    def town(self, seed=1, **more):
        town = Town(seed, **({"routers": 2, "workers": 1} | more))
        return town.start()

    def settle(self, town, members=3):
        """Let the chain mend itself to so many members."""
        town.world.run(0.05)

        def is_mended():
            cores = [town.up[name] for name in town.core_names()]
            return all(
                len(core.agreement.decided.members) == members
                and core.chain.is_whole()
                and core.agreement.mayServe()
                for core in cores
                if core.agreement.position() >= 0
            ) and any(core.agreement.position() >= 0 for core in cores)

        self.assertTrue(town.world.run(until=is_mended, limit_s=40), "chain was not mended")

    def cap(self, number):
        return {"models": {"screener": {"cap": number}}}

    def insist(self, town, number, name=None):
        """Send one change under one id until it is acknowledged; gives how long that took."""
        base, start_s = town.version, town.world.now
        for _ in range(10):
            got = town.change("PATCH", self.cap(number), base, name, change_id=f"insist-{number}")
            if got and got[0] == 200:
                return town.world.now - start_s
            self.assertNotIn(got[0] if got else 0, (409, 422), got)
        self.fail(f"never acknowledged: {got}")

    def member(self, town, position):
        """The name of the core at a place of the chain."""
        return next(
            name for name in town.core_names() if town.up[name].agreement.position() == position
        )

    def test_refusals_have_codes_and_change_nothing(self):
        town = self.town()
        self.assertEqual(town.change("PATCH", self.cap(9), base=0)[1]["code"], LOST_RACE.code)
        invalid = town.change("PATCH", {"routes": {"check": {"model": "nobody"}}})
        self.assertEqual((invalid[0], invalid[1]["code"]), (422, INVALID.code))
        self.assertIn("$.routes.check.model", invalid[1]["reason"])
        self.assertEqual(town.change("PATCH", self.cap(7), change_id="one")[1]["version"], 2)
        self.assertEqual(
            town.change("PATCH", self.cap(7), base=1, change_id="one")[1]["version"], 2
        )
        self.assertEqual(
            town.change("PATCH", self.cap(8), base=1, change_id="one")[1]["code"],
            REUSED_CHANGE.code,
        )
        version, document = (
            town.ask("GET", "/v1/config")[1][name] for name in ("version", "document")
        )
        self.assertEqual((version, document["models"]["screener"]["cap"]), (2, 7))

    def test_a_stream_of_changes_has_an_answer_each(self):
        town = self.town()
        lines = [
            {"id": "a", "op": "patch", "base": 1, "document": self.cap(5)},
            {"id": "b", "op": "nonsense"},
            {"id": "c", "op": "patch", "base": 1, "document": self.cap(6)},
        ]

        async def send():
            ip, _, port = town.site.cores[0]["http"].rpartition(":")
            link = await connect(ip, int(port))
            body = b"\n".join(map(msgspec.json.encode, lines)) + b"\nnot json\n"
            got = await link.exchange("POST", "/v1/changes", body=body)
            return [msgspec.json.decode(line)["code"] async for line in got.lines()]

        self.assertEqual(town.world.do("operator", send), [0, 100, 200, 100])

    def test_changes_go_in_and_answers_come_out_of_one_open_stream(self):
        town, got = self.town(), bytearray()

        class Sink(asyncio.Protocol):
            def data_received(self, data):
                got.extend(data)

        async def talk():
            ip, _, port = town.site.cores[0]["http"].rpartition(":")
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

        town.world.do("operator", talk, limit_s=30)
        self.assertEqual((got.count(b'"code":0'), got.count(b"HTTP/1.1 200")), (3, 2))
        self.assertEqual(town.ask("GET", "/v1/config")[1]["version"], 4)

    def test_each_member_may_be_killed_in_turn(self):
        town = self.town()
        for position in (2, 0, 1):
            self.settle(town)
            name = self.member(town, position)
            town.world.kill(name)
            town.folders[name].lose_power()
            self.assertLess(self.insist(town, 10 + position), 12)
            town.start_core(name)
        self.settle(town)
        self.assertEqual(
            len({town.up[name].chain.state.to_bytes() for name in town.core_names()}), 1
        )

    def test_all_cores_lose_power_and_the_configuration_is_read_back_whole(self):
        town = self.town()
        town.change("PATCH", self.cap(11))
        names = town.core_names()
        for name in names:
            town.world.kill(name)
        for name in names:
            town.folders[name].lose_power(torn=5)
            town.start_core(name)
        self.settle(town)
        got = town.ask("GET", "/v1/config")[1]
        self.assertEqual((got["version"], got["document"]["models"]["screener"]["cap"]), (2, 11))

    def test_a_lost_disk_after_an_ack_loses_nothing(self):
        town = self.town()
        for position in (0, 2):
            self.settle(town)
            self.assertEqual(town.change("PATCH", self.cap(20 + position))[0], 200)
            name = self.member(town, position)
            town.world.kill(name)
            town.folders[name].wipe()
            town.world.run(1)
            town.start_core(name)
            town.world.run(8)
            got = town.ask("GET", "/v1/config", name=name)[1]
            self.assertEqual(
                (got["version"], got["document"]["models"]["screener"]["cap"]),
                (town.version, 20 + position),
            )
        self.settle(town)

    def test_an_emptied_core_at_a_new_address_takes_the_lost_place_and_the_seeds_are_exchanged(
        self,
    ):
        town = self.town()
        town.world.kill("core1")
        node = town.addresses["core1"]
        node |= {"inner": f"{town.ip('core1b')}:7000", "http": f"{town.ip('core1b')}:8000"}
        town.folders["core1"].wipe()
        town.seeds = [core["inner"] for core in town.site.cores]
        for name in ("core2", "core3", "router1", "router2"):
            town.up[name].membership.set_seeds(town.seeds)
        town.world.run(3)
        town.start_core("core1")
        self.settle(town)
        voters = {ref.addr for ref in town.up["core2"].agreement.decided.voters}
        self.assertIn(node["inner"], voters)
        town.world.kill("core2")
        self.insist(town, 3, "core3")
        self.assertEqual(
            town.ask("GET", "/v1/config", name="core3")[1]["document"]["models"]["screener"]["cap"],
            3,
        )

    def test_an_old_core_at_a_new_address_is_the_same_one(self):
        town = self.town()
        for position in (0, 1):
            name = self.member(town, position)
            town.world.kill(name)
            machine = f"moved-{name}"
            town.addresses[name] |= {
                "inner": f"{town.ip(machine)}:7000",
                "http": f"{town.ip(machine)}:8000",
            }
            town.seeds = [core["inner"] for core in town.site.cores]
            core_id = town.up[name].agreement.coreId
            town.start_core(name)
            town.world.run(1)
            self.insist(
                town, 30 + position, next(other for other in town.core_names() if other != name)
            )
            self.settle(town)
            members = {ref.coreId: ref.addr for ref in town.up[name].agreement.decided.members}
            self.assertEqual(members[core_id], town.addresses[name]["inner"])

    def test_two_operators_writing_at_once_never_both_win(self):
        town = self.town()
        for _ in range(5):
            self.assertEqual(sorted(self.race(town)), [200, 409, 409])
            town.version += 1

    def race(self, town):
        """Change the cap on one base through three cores at once; gives the statuses."""
        answers = [
            town.spawn(
                lambda name=name, number=number: fetch_json(
                    town.addresses[name]["http"],
                    "PATCH",
                    f"/v1/config?base={town.version}",
                    self.cap(number),
                    timeoutMs=12000,
                )
            )
            for number, name in ((5, "core1"), (6, "core2"), (7, "core3"))
        ]
        town.world.run(until=lambda: all(answers), limit_s=20)
        return [answer[0][0] for answer in answers]

    def test_a_cut_core_serves_nothing_old_and_comes_back(self):
        town = self.town()
        tail = self.member(town, 2)
        others = [
            town.addresses[name]["inner"].rpartition(":")[0]
            for name in town.addresses
            if name != tail
        ]
        alone = town.addresses[tail]["inner"].rpartition(":")[0]
        town.world.net.cut([alone], others)
        town.world.run(8)
        near = next(name for name in town.core_names() if name != tail)
        self.assertEqual(town.change("PATCH", self.cap(13), name=near)[0], 200)
        self.assertNotEqual(town.ask("GET", "/v1/config", name=tail)[0], 200)
        self.assertFalse(town.up[tail].chain.may_tell())
        town.world.net.heal()
        self.settle(town)
        self.assertEqual(town.ask("GET", "/v1/config", name=tail)[1]["version"], town.version)

    def test_a_frozen_tail_wakes_holding_nothing(self):
        town = self.town()
        tail = self.member(town, 2)
        town.world.freeze(tail)
        near = next(name for name in town.core_names() if name != tail)
        self.insist(town, 14, near)
        self.assertFalse(town.up[tail].chain.may_tell())
        town.world.thaw(tail)
        self.assertFalse(town.up[tail].chain.may_tell())
        self.settle(town)

    def test_a_full_disk_refuses_and_a_stalled_one_leaves_the_chain(self):
        town = self.town()
        head = self.member(town, 0)
        town.folders[head].full = True
        self.insist(town, 15)
        town.world.run(3)
        self.assertLess(town.up[head].agreement.position(), 0)
        town.folders[head].full = False
        self.settle(town)
        middle = self.member(town, 1)
        town.folders[middle].stall_s = 30.0
        self.insist(town, 16)
        town.folders[middle].stall_s = 0.0
        town.world.run(40)
        self.settle(town)
        self.assertEqual(check(town.records), {})

    def spawn_change(self, town, kind, name):
        """Claim a key, or change the configuration through a core, without waiting for it."""
        if kind == "claim":
            town.spawn(lambda: town.caller.call("saga", "check", ["b", "x"], idempotency="bill"))
            return
        door = town.addresses[name]["http"]
        town.spawn(lambda: fetch_json(door, "PATCH", "/v1/config?base=1", self.cap(9)))

    def test_what_the_tail_answered_outlasts_a_head_that_loses_power_before_it_has_synced(self):
        for kind in ("configuration", "claim"):
            town = self.town()
            town.world.run(3)
            head, tail = self.member(town, 0), self.member(town, 2)
            town.folders[head].stall_s = 0.9
            self.spawn_change(town, kind, tail)
            town.world.run(0.7)
            known = town.up[tail].chain
            seen = (known.state.stored.version, len(known.state.stored.claims), known.serial)
            town.world.kill(head)
            town.folders[head].lose_power()
            town.folders[head].stall_s = 0.0
            town.start_core(head)
            town.world.run(3)
            self.settle(town)
            for name in town.core_names():
                stored, serial = town.up[name].chain.state.stored, town.up[name].chain.serial
                self.assertGreaterEqual(
                    (stored.version, len(stored.claims), serial), seen, (kind, name)
                )

    def test_a_damaged_last_record_is_not_taken_for_a_torn_one(self):
        for at in (-1, -20):
            town = self.town()
            self.assertEqual(town.change("PATCH", self.cap(9))[0], 200)
            head = self.member(town, 0)
            town.world.kill(head)
            town.folders[head].lose_power()
            records = Journal(town.folders[head], "chain.log").load()
            starts = len(town.folders[head].read("chain.log")) - len(Journal.frame(records[-1]))
            town.folders[head].written["chain.log"][at if at == -1 else starts + 1] ^= 255
            town.start_core(head)
            town.world.run(0.5)
            near = self.member(town, 1)
            town.change("PATCH", self.cap(10), base=2, name=near)
            town.world.run(5)
            self.settle(town)
            got = town.ask("GET", "/v1/config")[1]
            self.assertGreaterEqual(got["version"], 2, at)
            self.assertIn(got["document"]["models"]["screener"]["cap"], (9, 10))

    def test_a_head_that_lost_the_end_of_its_file_copies_from_the_longer_one(self):
        town = self.town()
        head = self.member(town, 0)
        town.world.run(2)
        short = bytes(town.folders[head].synced["chain.log"])
        self.assertEqual(town.change("PATCH", self.cap(9))[0], 200)
        town.world.kill(head)
        town.folders[head].written["chain.log"] = bytearray(short)
        town.start_core(head)
        town.world.run(3)
        self.settle(town)
        self.assertEqual(
            {town.up[name].chain.state.stored.version for name in town.core_names()}, {2}
        )

    def test_a_cold_start_serves_within_twelve_seconds_empty_and_with_its_data(self):
        for site in ("hinokuni", "serraria"):
            town = Town(3, site, routers=9, workers=None).start()
            self.assertTrue(
                town.call(
                    "saga" if site == "hinokuni" else "ipe", "check", ["b", "x"], idempotency="k"
                )["whole"]
            )
            self.assertLess(town.world.now, 12, site)
            version = town.version
            names = list(town.world.loops)
            for name in names:
                if name not in ("operator", "callers"):
                    town.world.kill(name)
            for folder in town.folders.values():
                folder.lose_power(torn=7)
            start_s = town.world.now
            for node in town.site.cores:
                town.start_core(node["name"])
            town.world.start(
                "platform", town.site.platform.rpartition(":")[0], town.up["platform"].start
            )
            town.start_store()
            for worker in town.site.workers:
                town.start_worker(worker["name"])
            for node in town.site.routers:
                town.start_router(node["name"])
            got = {"whole": False}
            while not got["whole"] and town.world.now < start_s + 30:
                got = town.call(
                    "saga" if site == "hinokuni" else "ipe",
                    "check",
                    ["b", "y"],
                    idempotency="again",
                )
            self.assertLess(town.world.now - start_s, 12, site)
            self.assertEqual(town.ask("GET", "/v1/config")[1]["version"], version)

    def test_damage_on_disk_is_refused_and_mended_by_copying(self):
        town = self.town()
        for number in range(4):
            town.change("PATCH", self.cap(20 + number))
        name = self.member(town, 1)
        town.world.kill(name)
        data = town.folders[name].written["chain.log"]
        data[len(data) // 2] ^= 255
        town.start_core(name)
        town.world.run(5)
        self.settle(town)
        self.assertEqual(town.up[name].board.count["copies"], 1)
        self.assertEqual(town.up[name].chain.state.stored.version, town.version)

    def test_a_sweep_mends_damage_before_any_restart_meets_it(self):
        town = self.town()
        for number in range(4):
            town.change("PATCH", self.cap(20 + number))
        name = self.member(town, 1)
        for file in ("chain.log", "agreement.log"):
            data = town.folders[name].written[file]
            data[len(data) // 2] ^= 255
            town.folders[name].synced[file] = bytes(data)
        town.world.run(90)
        core_id = town.up[name].agreement.coreId
        town.world.kill(name)
        town.start_core(name)
        town.world.run(3)
        self.settle(town)
        self.assertEqual(
            (town.up[name].agreement.coreId, town.up[name].board.count["copies"]), (core_id, 0)
        )

    def test_ack_means_in_force_at_every_router_that_still_serves(self):
        town = self.town(routers=3)
        town.world.freeze("router2")
        at_s = town.world.now
        self.assertEqual(town.change("PATCH", self.cap(17))[0], 200)
        self.assertGreater(town.world.now - at_s, 2.5)
        served = [name for name in town.router_names() if town.up[name].lease.is_held()]
        self.assertTrue(all(town.up[name].lease.held.version == town.version for name in served))
        self.assertNotIn("router2", served)
        town.world.thaw("router2")
        at_s = town.world.now
        town.world.run(2)
        self.assertEqual(town.change("PATCH", self.cap(18))[0], 200)
        self.assertLess(town.world.now - at_s, 4.0)

    def test_an_unknown_outcome_is_undecided_and_settles_once(self):
        town = self.town()
        lost = [town.addresses[name]["inner"].rpartition(":")[0] for name in town.core_names()]
        head = self.member(town, 0)
        door = next(name for name in town.core_names() if name != head)
        head_ip = town.addresses[head]["inner"].rpartition(":")[0]
        town.world.net.cut([head_ip], [ip for ip in lost if ip != head_ip], both=False)
        got = town.change("PATCH", self.cap(19), name=door, change_id="late")
        town.world.net.heal()
        town.world.run(6)
        again = town.change("PATCH", self.cap(19), base=1, name=door, change_id="late")
        if got[0] != 200:
            self.assertEqual(got[1]["code"], UNDECIDED.code)
        self.assertEqual((again[0], again[1]["version"]), (200, 2))

    def test_many_routes_are_carried_to_all(self):
        town = self.town()
        routes = {
            f"route-{number}": {"model": "screener", "repeatable": True} for number in range(3000)
        }
        self.assertEqual(town.change("PATCH", {"routes": routes})[0], 200)
        self.assertTrue(
            all(
                len(town.up[name].lease.held.document.routes) == 3002
                for name in town.router_names()
            )
        )
        self.assertEqual(town.call("saga", "route-2999", ["a", "b"])["status"], 200)

    def test_a_change_travels_as_a_change_and_the_whole_only_on_a_mismatch(self):
        town = self.town()
        routes = {f"route-{number}": {"model": "screener"} for number in range(2000)}
        self.assertEqual(town.change("PATCH", {"routes": routes})[0], 200)
        town.world.run(1)
        wholes = town.counters()["wholesSent"]
        for number in range(5):
            self.assertEqual(
                town.change(
                    "PATCH",
                    {"routes": {f"route-{number}": None}, "tenants": {"saga": {"apart": True}}},
                )[0],
                200,
            )
        self.assertEqual(
            (town.counters()["wholesSent"] - wholes, town.counters()["configsMismatched"]), (0, 0)
        )
        lease = town.up["router2"].lease
        wrong = lease.held.config.apply({"routes": {"tag": None}})
        lease.held = attrs.evolve(lease.held, config=wrong)
        self.assertEqual(town.change("PATCH", self.cap(9))[0], 200)
        town.world.run(1)
        held = {town.up[name].lease.held.config.digest() for name in town.router_names()}
        self.assertEqual((len(held), town.counters()["wholesSent"] - wholes), (1, 1))
        self.assertEqual(
            town.call("saga", "tag", ["a", "b"], door=town.addresses["router2"]["http"])["status"],
            200,
        )
        sizes = {
            len(entry)
            for name in town.core_names()
            for entry in town.up[name].chain.entries.values()
        }
        self.assertLess(sorted(sizes)[-2], 2000)

    def test_a_configuration_beyond_its_bound_is_refused_with_its_code(self):
        town = self.town(bodyBytes=8 << 20)
        routes = {
            f"route-{number}": {"model": "screener", "tenants": ["saga"] * 200}
            for number in range(4000)
        }
        for at in range(5):
            got = town.change(
                "PATCH", {"routes": {f"{name}-{at}": route for name, route in routes.items()}}
            )
            if got[0] != 200:
                break
        self.assertEqual((got[0], got[1]["code"]), (422, INVALID.code))
        self.assertIn("bytes", got[1]["reason"])
        self.assertEqual(town.call("saga", "tag", ["a", "b"])["status"], 200)

    def test_a_router_cut_from_the_cores_holds_its_lease_through_a_neighbour(self):
        town = self.town(routers=3)
        ip = town.addresses["router1"]["inner"].rpartition(":")[0]
        cores = [town.addresses[name]["inner"].rpartition(":")[0] for name in town.core_names()]
        town.world.net.cut([ip], cores)
        town.world.run(6)
        at_s = town.world.now
        self.assertEqual(
            town.change("PATCH", {"tenants": {"saga": {"keys": [key_digest("other")]}}})[0], 200
        )
        self.assertLess(town.world.now - at_s, 2.0)
        door = town.addresses["router1"]["http"]
        self.assertEqual(town.call("saga", "tag", ["a", "b"], door=door)["status"], 401)
        self.assertEqual(town.call("oita", "tag", ["a", "b"], door=door)["status"], 200)

    def test_a_key_that_is_taken_while_its_call_waits_ends_the_call_at_once(self):
        town = self.town(routers=2, workers=1)
        self.assertEqual(town.change("PATCH", self.cap(1))[0], 200)
        town.spawn(lambda: town.caller.call("oita", "check", ["b", "long"], max_tokens=6400))
        town.world.run(1)
        box = town.spawn(lambda: town.caller.call("saga", "check", ["b", "x"]))
        town.world.run(1)
        self.assertEqual(
            town.change("PATCH", {"tenants": {"saga": {"keys": [key_digest("other")]}}})[0], 200
        )
        town.world.run(until=lambda: box, limit_s=1.5)
        self.assertTrue(box and box[0]["status"] == 401 and box[0]["notRun"], box)

    def test_changes_are_in_force_within_two_seconds_while_nothing_fails(self):
        town = self.town(routers=9)
        town.record("operator")("quiet", untilMs=int(town.world.now * 1000) + 60000)
        for number in range(4):
            self.assertEqual(town.change("PATCH", self.cap(number + 3))[0], 200)
            town.world.run(0.37)
        for number in range(3):
            key = f"key-{number}"
            self.assertEqual(
                town.change("PATCH", {"tenants": {"saga": {"keys": [key_digest(key)]}}})[0], 200
            )
            got = [
                town.call("saga", "tag", ["a", "b"], key=old, door=node["http"])["status"]
                for node in town.site.routers
                for old in (key, f"key-{number - 1}")
            ]
            self.assertEqual(got, [200, 401] * 9)
            town.world.run(0.37)
        self.assertEqual(check(town.records), {})

    def test_a_revoked_key_is_refused_on_a_kept_alive_connection(self):
        town = self.town()
        bodies = msgspec.json.encode({"model": "tag", "parts": ["a"], "stream": False})

        async def talk():
            ip, _, port = town.site.routers[0]["http"].rpartition(":")
            link, codes = await connect(ip, int(port)), []
            for number in range(2):
                got = await link.exchange(
                    "POST", "/v1/calls", [("authorization", "Bearer key-saga")], bodies
                )
                await got.whole()
                codes.append(got.status)
                while not number and town.version < 2:
                    await asyncio.sleep(0.1)
            return codes

        box = town.spawn(talk)
        town.world.run(1)
        self.assertEqual(
            town.change("PATCH", {"tenants": {"saga": {"keys": [key_digest("other")]}}})[0], 200
        )
        town.world.run(until=lambda: box, limit_s=10)
        self.assertEqual(box, [[200, 401]])
