"""Cases of answers that are late, doubled, foreign, cut, empty or framed wrongly, on kept and new connections."""

import asyncio
import itertools
from unittest import mock

from swiftdeck.bench.platform_api.worker import PlatformWorker, digest
from swiftdeck.gateway import proxied_request
from swiftdeck.gateway.pool import WorkerConnection
from swiftdeck.http.connection import HttpConnection
from swiftdeck.platform.header_codec import WorkerHeaderCodec
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import ROUTES, PlatformCluster

HELD_MS = 250
VERDICT = WorkerHeaderCodec.verdict


def by_headers(*ignored, **assumed):
    """A reading of answers that leaves out some headers, and takes some others for granted."""

    def verdict(self, request, status, headers):
        names = {name.lower() for name, _ in headers}
        kept = [(name, value) for name, value in headers if name.lower() not in ignored]
        if assumed.get("id") and b"swiftdeck-request-id" not in names - set(ignored):
            kept.append((b"swiftdeck-request-id", request.name.encode()))
        return VERDICT(self, request, status, kept)

    return mock.patch.object(WorkerHeaderCodec, "verdict", verdict)


TROUBLED = ("lm1", "lm2", "lm3", "app1")
MATRIX = (
    ("empty", "foreign"),
    ("swapped", "nameless"),
    ("stray refusal", "encoded"),
    ("framed twice", "bad chunk"),
    ("stall", "forgets"),
    ("back", "surplus"),
    ("cut", "reset"),
    ("garble", "failing"),
)


def held_too_long(cluster):
    """Requests that ended more than a quarter of a second past their route's timeout."""
    asked = {item["id"]: item for item in cluster.records if item["kind"] == "try"}
    timeouts = {fields[0]: fields[3]["timeout-ms"] for fields in ROUTES.values()}
    return [
        item["id"]
        for item in cluster.records
        if item["kind"] == "result"
        for begun in [asked[item["id"]]]
        if item["atMs"] - begun["atMs"] > timeouts[f"/{begun['target'].split('/')[1]}/"] + HELD_MS
    ]


class AnswersCase(SiteCase):
    def day(self, quirks, seed, share=0.4, keeps=True, seconds=4):
        """A site some of whose workers answer wrongly now and then."""
        with mock.patch.object(
            WorkerConnection, "is_clean", WorkerConnection.is_clean if keeps else lambda link: False
        ):
            cluster = self.cluster(seed, rate=10)
            for name, quirk in zip(TROUBLED, itertools.cycle(quirks)):
                cluster.up[name].quirk, cluster.up[name].quirk_share = quirk, share
            cluster.world.run(seconds)
            cluster.rest()
        return cluster

    def test_no_wrong_answer_breaks_a_rule_on_kept_and_on_new_connections(self):
        for (seed, quirks), keeps in itertools.product(enumerate(MATRIX, 20), (True, False)):
            with self.subTest(quirks, keeps=keeps):
                cluster = self.day(quirks, seed, keeps=keeps)
                self.assertEqual(cluster.breaches(), {})
                self.assertEqual(cluster.world.faults, [])
                self.assertEqual(held_too_long(cluster), [])

    def test_without_each_look_at_an_answer_the_rules_fall(self):
        own_id = by_headers(b"swiftdeck-request-id", id=True)
        for patch, quirk, rules in (
            (own_id, "foreign", ("MIXED",)),
            (by_headers(id=True), "stray refusal", ("TWICE", "REFUSED")),
            (by_headers(b"content-encoding"), "encoded", ("MIXED",)),
            (
                mock.patch.object(proxied_request, "_is_behind", lambda *_: False),
                "back",
                ("ORDER",),
            ),
        ):
            with self.subTest(quirk):
                self.assert_falls_without(patch, lambda: self.day((quirk,), 31, 0.6), *rules)

    def test_an_answer_without_body_and_length_is_whole(self):
        async def no_content(worker, exchange, head, name, run, *_):
            seal = f"{run}.seal"
            worker.record("answer", id=name, run=run, seal=seal, status=204, body=digest(b""))
            worker._write_raw_response(
                exchange,
                204,
                [("Swiftdeck-Request-Id", name), ("Swiftdeck-Server-Seal", seal)],
            )
            exchange.begun = exchange.finished = True
            exchange.connection.transport.pause_reading()
            return True

        with mock.patch.object(PlatformWorker, "_answer", no_content):
            cluster = PlatformCluster(35).start()
            got = cluster.ask("r-once")
            self.assertEqual((got["status"], got["complete"]), (204, True))
            self.assertEqual((cluster.count("callsServed"), cluster.count("streamsBroken")), (1, 0))
            self.assertEqual(cluster.breaches(), {})

    def silent(self):
        """Requests with more time than their route has, at workers that never answer."""
        cluster = PlatformCluster(34).start()
        for name in cluster.workers:
            cluster.up[name].quirk = "silence"
        for name in ("r-once", "r-safe", "r-stream", "r-resume"):
            cluster.beside(
                lambda name=name: cluster._asking(name, within_ms=9000, tries=1), "clients"
            )
        cluster.world.run(9.5)
        return cluster

    def test_a_worker_that_never_answers_holds_a_request_no_longer_than_its_route_says(self):
        cluster = self.silent()
        self.assertEqual(held_too_long(cluster), [])
        self.assertEqual(cluster.breaches(), {})
        ends = [item["status"] for item in cluster.records if item["kind"] == "result"]
        self.assertEqual(set(ends) - {502, 504, 0}, set(), ends)

    def test_a_client_that_takes_nothing_holds_its_request_no_longer_than_the_route_says(self):
        cluster, never = PlatformCluster(33).start(), HttpConnection.writable

        async def writable(self):
            if self.server is cluster.up["router1"].http:
                await asyncio.get_running_loop().create_future()
            return await never(self)

        with mock.patch.object(HttpConnection, "writable", writable):
            cluster.beside(
                lambda: cluster._asking("r-safe", door="router1", within_ms=9000), "clients"
            )
            cluster.world.run(1)
            self.assertEqual(cluster.up["router1"].open, 1)
            cluster.world.run(2.2)
        self.assertEqual((cluster.up["router1"].open, cluster.count("workersShunned")), (0, 0))
