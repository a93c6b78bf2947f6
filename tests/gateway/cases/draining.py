"""Cases of a router that is told to stop while clients go on sending on connections that they keep."""

import asyncio
from unittest import mock

from swiftdeck.gateway.admission import Admission
from swiftdeck.http.drain import Drain, OpenRequests
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import BOUNDS, MODEL, PlatformCluster, document
from tests.gateway.raw import RawClient, request_bytes

STREAM_LINES = (
    "Accept: text/event-stream",
    f"Swiftdeck-Model: {MODEL}",
    "Swiftdeck-Prompt-Prefix: short:100",
)
TIME_LEFT_MS, LONG_TIME_LEFT_MS = 6000, 20000
AT_REST = 3
LATE_S, FROZEN_S = 3.95, 5.0
NEXT_VERSION = 4
GRACE_S = BOUNDS["grace_s"]


def stream_lines(events):
    """Header lines of a request for so many events, of some 3.4 ms each."""
    return (*STREAM_LINES, f"Swiftdeck-Token-Count: 100,{events}")


async def waits_forever(*args):
    """A step that doesn't come to its end."""
    await asyncio.Event().wait()


def begins_without_an_end(self, now_s):
    """A drain that leaves what is open alone."""
    self.drain.begin(now_s)


class DrainingCase(SiteCase):
    def setUp(self):
        self.cluster = PlatformCluster(61).start()

    def connections(self, count, router="router1"):
        """Connections that have had an answer each and rest now."""
        clients = [self.connect(router) for _ in range(count)]
        for at, client in enumerate(clients):
            self.within(lambda client=client, at=at: client.ask(f"before{at}"))
        self.cluster.world.run(1)
        return clients

    def connect(self, router="router1"):
        """A new connection."""
        return self.cluster.operate(lambda: RawClient(self.cluster, router).open())

    def within(self, action):
        """Do something inside the clients' process."""
        self.cluster._do("operator", action)

    def send(self, client, name, events=12, **more):
        """Send a request for a stream on a connection."""
        fields = dict(lines=stream_lines(events), time_left_ms=TIME_LEFT_MS) | more
        self.within(lambda: client.ask(name, "r-stream", **fields))

    def stop(self):
        """The router is told to stop."""
        self.stop_s = self.cluster.world.now
        self.stopping = self.cluster.terminate("router1")

    def until(self, after_s):
        """Run until so long after the router was told to stop."""
        self.cluster.world.run(self.stop_s + after_s - self.cluster.world.now)

    def end(self):
        """Let the router come to its end and its process with it, within its grace."""
        left_s = self.stop_s + GRACE_S - self.cluster.world.now
        self.assertTrue(self.cluster.world.run(until=self.stopping.done, limit_s=left_s))
        self.cluster.world.kill("router1")
        self.cluster.world.run(0.1)

    def account(self, *clients):
        """Results by request."""
        return {item["id"]: item for client in clients for item in client.account()}

    def ended_s(self, name):
        """When a worker was done with a request, or never, from when the router was told to stop."""
        ends = [
            each for each in self.cluster.records if (each["kind"], each.get("id")) == ("ran", name)
        ]
        return ends[-1]["atMs"] / 1000 - self.stop_s

    def passed_on(self):
        """Names of the requests that have reached a worker."""
        return {item["id"] for item in self.cluster.records if item["kind"] == "arrive"}

    def assert_refused(self, results, *names):
        """These requests weren't passed on, and were told so."""
        self.assertEqual(self.passed_on() & set(names), set())
        for name in names:
            got = results[name]
            self.assertEqual((got["status"], got["complete"]), (503, True), name)
            self.assertGreater(got["retryAfter"], 0)

    def late_requests(self):
        """A router that has something open throughout gets requests on connections at rest long after SIGTERM."""
        busy, *at_rest = self.connections(1 + AT_REST)
        self.send(busy, "long", 1400)
        self.stop()
        self.until(LATE_S)
        sent = [client for client in at_rest if not client.is_over]
        for at, client in enumerate(sent):
            self.send(client, f"late{at}", 1200)
        newcomer = self.connect()
        self.send(newcomer, "newcomer", 1200)
        self.end()
        results = self.account(busy, newcomer, *at_rest)
        return results, [f"late{at}" for at in range(len(sent))] + ["newcomer"]

    def test_a_request_that_comes_long_after_sigterm_is_not_passed_on(self):
        results, late = self.late_requests()
        self.assert_refused(results, *late)
        self.assertTrue(results["long"]["complete"], results["long"])
        self.assertEqual(self.cluster.breaches(), {})

    def test_without_an_end_of_admission_the_checker_and_the_invariant_catch_it(self):
        with mock.patch.object(Drain, "admits", lambda self, now_s: True):
            self.late_requests()
        found = self.cluster.breaches()
        self.assertIn("LOST", found)
        self.assertIn("invariant.passedOnAfterAdmissionEnd", found)

    def test_a_request_of_which_a_part_came_before_the_end_of_admission_is_refused_when_it_is_whole(
        self,
    ):
        busy, parted, pipelining = self.connections(3)
        self.send(busy, "long", 1400)
        self.stop()
        self.until(1.0)
        whole = request_bytes("parted", "r-once", body=b"x" * 100)
        parted.tell("parted", "r-once", body=b"x" * 100)
        self.within(lambda: parted.transport.write(whole[:-50]))
        self.until(2.2)
        self.send(pipelining, "first", 300)
        self.until(2.7)
        self.within(lambda: parted.transport.write(whole[-50:]))
        self.end()
        results = self.account(busy, parted, pipelining)
        self.assert_refused(results, "parted")
        self.assertTrue(results["first"]["complete"])
        self.assertEqual(self.cluster.breaches(), {})

    def test_requests_that_wait_behind_an_answer_are_each_answered(self):
        (client,) = self.connections(1)
        self.send(client, "first", 900)
        self.cluster.world.run(0.1)
        for name in ("second", "third"):
            self.send(client, name)
        self.stop()
        self.end()
        results = self.account(client)
        self.assertTrue(results["first"]["complete"])
        self.assert_refused(results, "second", "third")
        self.assertEqual(self.cluster.breaches(), {})

    def test_a_request_that_is_never_whole_is_told_that_it_has_not_run(self):
        busy, parted = self.connections(2)
        self.send(busy, "long", 2000)
        self.stop()
        self.until(4.5)
        parted = self.connect()
        self.within(lambda: parted.transport.write(request_bytes("parted", body=b"x" * 99)[:-9]))
        self.end()
        self.assertIn(b"HTTP/1.1 503", parted.got)
        self.assertIn(b"connection: close", parted.got)
        self.assertEqual(self.cluster.breaches(), {})

    def too_long(self):
        """A router has an answer under way, and a request without one, until it has no more time."""
        streaming, silent = self.connections(2)
        for name in ("app1", "app2"):
            self.cluster.up[name].quirk = "silence"
        self.send(streaming, "stream", 4000, time_left_ms=LONG_TIME_LEFT_MS)
        self.within(lambda: silent.ask("silent", "r-once", time_left_ms=LONG_TIME_LEFT_MS))
        self.cluster.world.run(0.2)
        self.stop()
        self.end()
        return self.account(streaming, silent)

    def route_timeouts(self, timeout_ms=LONG_TIME_LEFT_MS):
        """Let routes take longer than a router may work after it was told to stop."""
        for router in self.cluster.routers():
            for each in self.cluster.up[router].document.paths.values():
                each.timeout_ms = timeout_ms

    def test_only_an_answer_that_has_begun_is_cut_and_that_in_the_last_sixth_of_the_grace(self):
        self.route_timeouts()
        results = self.too_long()
        self.assertEqual((results["stream"]["status"], results["stream"]["complete"]), (200, False))
        self.assertGreaterEqual(self.ended_s("stream"), GRACE_S * 5 / 6)
        self.assertEqual((results["silent"]["status"], results["silent"]["complete"]), (502, True))
        self.assertEqual(self.cluster.count("requestsCut.endOfWork"), 1)
        self.assertEqual(self.cluster.breaches(), {})

    def test_without_an_end_of_the_work_the_invariant_catches_it(self):
        self.route_timeouts()
        with mock.patch.object(OpenRequests, "begin_drain", begins_without_an_end):
            self.too_long()
        self.assertEqual(self.cluster.breaches().get("invariant.requestsCut"), 1)

    def test_a_request_that_is_still_being_placed_at_the_end_is_promised_not_to_have_run(self):
        self.route_timeouts()
        (client,) = self.connections(1)
        lines = [*stream_lines(100), "Swiftdeck-Prompt-Prefix: large:9000"]
        lines = [each.replace("100,100", "9000,100") for each in lines if "short" not in each]
        with mock.patch.object(Admission, "ask", waits_forever):
            self.send(client, "waiting", lines=lines, time_left_ms=LONG_TIME_LEFT_MS)
            self.stop()
            self.end()
        self.assert_refused(self.account(client), "waiting")
        self.assertEqual(self.cluster.breaches(), {})

    def test_no_acknowledgement_waits_for_a_router_that_has_stopped(self):
        self.stop()
        self.end()
        begun_s = self.cluster.world.now
        put = self.cluster.operator.put
        self.assertEqual(self.cluster.operate(lambda: put(document(), NEXT_VERSION)), 200)
        self.assertLess(self.cluster.world.now - begun_s, 0.5)

    def test_a_router_that_is_frozen_after_sigterm_refuses_what_came_meanwhile(self):
        busy, *at_rest = self.connections(1 + AT_REST)
        self.send(busy, "long", 300)
        self.stop()
        self.until(0.5)
        self.cluster.freeze("router1", FROZEN_S)
        self.until(LATE_S)
        for at, client in enumerate(at_rest):
            self.send(client, f"late{at}")
        self.until(0.5 + FROZEN_S + 0.1)
        results = self.account(*at_rest)
        self.assert_refused(results, *(f"late{at}" for at in range(AT_REST)))
        self.end()
        self.assertEqual(self.cluster.breaches(), {})

    def test_a_router_that_reaches_no_core_ends_within_its_grace(self):
        cores = [ip for name, ip in self.cluster.machines.items() if name.startswith("core")]
        others = [ip for name, ip in self.cluster.machines.items() if name != "router1"]
        for cut_off in (cores, others):
            self.setUp()
            (client,) = self.connections(1)
            self.cluster.trouble(
                "router1",
                lambda cut_off=cut_off: self.cluster.world.net.cut(
                    [self.cluster.machines["router1"]], cut_off
                ),
                1e3,
            )
            self.cluster.world.run(1)
            self.send(client, "open", 900)
            self.stop()
            self.end()
            self.assertTrue(self.account(client)["open"]["complete"])
            self.assertEqual(self.cluster.invariant_violations(), {})

    def test_a_time_at_rest_that_grows_and_shrinks_under_load_cuts_nothing(self):
        self.cluster.drive(12)
        for turn in range(8):
            limits = document()["limits"] | {"idle-ms": (400, 15000)[turn % 2]}
            changed = document() | {"limits": limits}
            put = self.cluster.operator.put
            status = self.cluster.operate(
                lambda changed=changed, turn=turn: put(changed, NEXT_VERSION + turn)
            )
            self.assertEqual(status, 200)
            self.cluster.world.run(1.2)
        self.assert_kept(self.cluster)
        cut = [item for item in self.cluster.records if item["kind"] == "result" and item["sent"]]
        self.assertEqual([item for item in cut if not item["complete"]], [])
