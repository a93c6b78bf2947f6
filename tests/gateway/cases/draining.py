"""Cases of a router that is told to stop while clients go on sending on connections that they keep."""

from tests.gateway.case import SiteCase
from tests.gateway.raw import RawClient
from tests.gateway.town import MODEL, PlatformTown

STREAM_LINES = (
    "Accept: text/event-stream",
    f"Swiftdeck-Model: {MODEL}",
    "Swiftdeck-Prompt-Prefix: short:100",
)
TIME_LEFT_MS = 6000
AT_REST = 3


def stream_lines(events):
    """Header lines of a request for so many events, of some 3.4 ms each."""
    return (*STREAM_LINES, f"Swiftdeck-Token-Count: 100,{events}")


class DrainingCase(SiteCase):
    def connections(self, town, count, router="router1"):
        """Connections that have had an answer each and rest now."""
        clients = [town.operate(lambda: RawClient(town, router).open()) for _ in range(count)]
        for at, client in enumerate(clients):
            town._do("operator", lambda client=client, at=at: client.ask(f"before{at}"))
        town.world.run(1)
        return clients

    def send(self, town, client, name, events=12, **more):
        """Send a request for a stream on a connection."""
        fields = dict(lines=stream_lines(events), time_left_ms=TIME_LEFT_MS) | more
        town._do("operator", lambda: client.ask(name, "r-stream", **fields))

    def end(self, town, stopping, name="router1"):
        """Let a router come to its end and its process with it; gives when it ended."""
        self.assertTrue(town.world.run(until=stopping.done, limit_s=8))
        town.world.kill(name)
        town.world.run(0.1)

    def account(self, clients):
        """Results by request."""
        return {item["id"]: item for client in clients for item in client.account()}

    def passed_on(self, town):
        """Names of the requests that have reached a worker."""
        return {item["id"] for item in town.records if item["kind"] == "arrive"}

    def late_requests(self):
        """A router that has something open throughout gets requests on connections at rest long after SIGTERM."""
        town = PlatformTown(61).start()
        busy, *at_rest = self.connections(town, 1 + AT_REST)
        self.send(town, busy, "long", 1400)
        stopping = town.terminate("router1")
        town.world.run(3.95)
        for at, client in enumerate(at_rest):
            if not client.is_over:
                self.send(town, client, f"late{at}", 1200)
        self.end(town, stopping)
        return town, self.account([busy, *at_rest])

    def test_a_request_that_comes_long_after_sigterm_is_not_passed_on(self):
        town, results = self.late_requests()
        late = [name for name in results if name.startswith("late")]
        self.assertEqual(self.passed_on(town) & set(late), set())
        for name in late:
            self.assertEqual((results[name]["status"], results[name]["complete"]), (503, True))
        self.assertTrue(results["long"]["complete"], results["long"])
        self.assertEqual(town.breaches(), {})
