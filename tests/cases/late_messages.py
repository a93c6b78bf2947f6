"""Cases of messages of the own interface that reach a router long after they were given up."""

from swiftdeck.fault import STALE_TERM
from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.wire.messages import GrantAsk, GrantDrop, OpenAsk
from tests.cases.bases import SiteCase

MODEL, WAIT_S = "screener", 6.0


class LateMessagesCase(SiteCase):
    """Single messages of an earlier time, brought to the coordinator that they were for."""

    def setUp(self):
        self.cluster = SimCluster(1, routers=2, workers=1).start()
        self.coordinator = self.cluster.up[self.cluster.coordinator()].coordinators[MODEL]
        names = [name for name in self.cluster.router_names() if name != self.cluster.coordinator()]
        self.router = self.cluster.up[names[0]]
        self.cluster.caller.doors = [self.router.settings.http]

    def ask(self, message):
        """Bring a message of the other router to the coordinator; gives what comes back."""
        addr = self.coordinator.router.me.addr
        return self.cluster.world.run_task(
            self.router.me.name, lambda: self.router.mesh.request(addr, message)
        )

    def tell(self, message):
        """Bring a message that nobody waits for."""
        addr = self.coordinator.router.me.addr
        self.cluster.world.run_in(self.router.me.name, lambda: self.router.mesh.send(addr, message))
        self.cluster.world.run(0.1)

    def grant_ask(self, call):
        """A question for a place, as the other router asks it."""
        return GrantAsk(
            router=self.router.me.name,
            call=call,
            attempt=1,
            tenant="saga",
            model=MODEL,
            group="shared",
            chain=[b"x"],
            talk=[b"x"],
            weights=self.coordinator.config().weights,
            wait_ms=500,
        )

    def running(self):
        """Calls that have a place in the books."""
        conversations = self.coordinator.slot_table.conversations.values()
        return {call for each in conversations for call in each.running}

    def test_a_late_question_for_a_place_takes_one_for_no_longer_than_a_lease(self):
        self.ask(self.grant_ask("gone"))
        self.assertEqual(self.running(), {"gone"})
        self.cluster.world.run(WAIT_S)
        self.assertEqual(self.running(), set())

    def test_a_late_withdrawal_ends_no_call_that_has_a_place(self):
        self.ask(self.grant_ask("here"))
        self.tell(GrantDrop(router=self.router.me.name, call="here", model=MODEL))
        self.tell(GrantDrop(router=self.router.me.name, call="gone", model=MODEL))
        self.assertEqual(self.running(), {"here"})

    def test_a_late_question_of_an_earlier_coordinator_is_refused(self):
        self.ask(self.grant_ask("one"))
        self.cluster.world.run(1)
        known = self.router.known_coordinators[MODEL]
        late = OpenAsk(term=known[0] - 1, model=MODEL, keeper="10.9.9.9:1")
        self.assertEqual(self.router.on_open_ask(late, "10.9.9.9:1").code, STALE_TERM.code)
        self.assertEqual(self.router.known_coordinators[MODEL], known)
