"""Cases of messages between processes that come seconds late, twice and out of order, as a cut lets them go after it heals."""

import unittest
from unittest import mock

import msgspec

from swiftdeck.chain.agreement import Agreement
from swiftdeck.chain.state import ChainState
from swiftdeck.fault import NOT_TAIL, STALE_VIEW, is_fault
from swiftdeck.fault import VERSION_CONFLICT as VERSION_CONFLICT_FAULT
from swiftdeck.platform import configs
from swiftdeck.wire.messages import (
    Accept,
    Bulletin,
    ChainEntry,
    CommitAsk,
    ConfigAsk,
    ConfigChanged,
    Decided,
    DurableConfigAsk,
    JoinAsk,
    KeptNews,
    LeaseAsk,
    LeaveAsk,
    LoadNews,
    OutcomeAsk,
    Prepare,
    ReplicateAsk,
    Section,
    SwapNews,
    View,
    ViewAsk,
    ViewLeaseAsk,
    WorkerNews,
    Write,
)
from tests.gateway.case import SiteCase
from tests.gateway.cases.orders import FIRST, OrderStorm
from tests.gateway.loss_storm import LossStorm
from tests.gateway.orders import TAKEN, VERSION_CONFLICT, OrderCluster
from tests.gateway.platform_cluster import MODEL

SHARE = 0.25


class LateMessagesCase(unittest.TestCase):
    def test_storms_with_messages_that_come_late_and_twice(self):
        for seed in (1, 2):
            storm = OrderStorm(seed, (3, 5)[seed % 2], rounds=4, late_share=SHARE)
            self.assertEqual(storm.found(), [], seed)
            self.assertGreater(storm.cluster.late.count.total(), 500)

    def test_storms_of_losses_with_messages_that_come_late(self):
        for seed, cores in ((3, 3), (4, 5)):
            storm = LossStorm(seed, cores, seconds=15.0, late_share=SHARE)
            self.assertEqual(storm.found(), [], storm.log)


class OldMessagesCase(unittest.TestCase):
    """Single messages of an earlier time, brought to the process that they were for; each with its field disregarded, too."""

    def setUp(self):
        """A site whose view is not the first, and on which two orders have been taken."""
        self.cluster = OrderCluster(3).start()
        self.cluster.kill(self.cluster.member(1), back_s=3)
        self.cluster.world.run(4)
        self.cluster.settle()
        self.old_view = View().parse(bytes(self.core(-1).agreement.decided))
        self.cluster.kill(self.cluster.member(1), back_s=3)
        self.cluster.world.run(4)
        self.cluster.settle()
        self.lost, self.taken = self.cluster.patch(5, FIRST), self.cluster.patch(7, FIRST)
        self.assertEqual(self.cluster.send(self.taken, "core1"), TAKEN)
        self.assertEqual(self.cluster.send(self.lost, "core1"), VERSION_CONFLICT)

    def core(self, position):
        """The core at a place of the view."""
        return self.cluster.up[self.cluster.member(position)]

    def bring(self, message, position, from_position):
        """Bring a message of one member to another; gives what comes back."""
        sender, target = self.cluster.member(from_position), self.core(position).me.addr
        return self.cluster.world.run_task(
            sender, lambda: self.cluster.up[sender].mesh.request(target, message)
        )

    def number(self):
        """The operator's number in force at the tail."""
        return self.core(-1).chain.state.config.document.edition["operator"].number

    def write_of(self, order):
        """The message that brought an order to the head."""
        change_id, change = configs.parse_items(msgspec.json.encode(order.body), order.base)
        return Write(change_id=change_id, body=msgspec.msgpack.encode(change | {"id": change_id}))

    def test_a_late_write_changes_nothing(self):
        version = self.core(0).chain.state.stored.version
        self.assertFalse(is_fault(self.bring(self.write_of(self.taken), 0, -1)))
        self.assertEqual(
            self.bring(self.write_of(self.lost), 0, -1).code, VERSION_CONFLICT_FAULT.code
        )
        self.cluster.world.run(1)
        self.assertEqual((self.core(-1).chain.state.stored.version, self.number()), (version, 7))
        with mock.patch.object(ChainState, "_check_base", lambda self, change: None):
            self.assertFalse(is_fault(self.bring(self.write_of(self.lost), 0, -1)))
        self.cluster.world.run(1)
        self.assertEqual(self.number(), 5)

    def late_pass(self):
        """An entry of an earlier view, one past the last that the tail has."""
        tail, made = self.core(-1).chain, self.cluster.patch(9, 7)
        change_id, change = configs.parse_items(msgspec.json.encode(made.body), made.base)
        entry = tail.state.examine(change | {"id": change_id})
        entries = [ChainEntry(serial=tail.serial + 1, body=msgspec.msgpack.encode(entry))]
        return ReplicateAsk(view=self.old_view.number, entries=entries, last=tail.serial + 1)

    def test_a_late_pass_of_an_earlier_view_is_not_taken(self):
        late = self.late_pass()
        self.assertEqual(self.bring(late, -1, -2).code, STALE_VIEW.code)
        self.assertEqual(self.number(), 7)
        late.view = self.core(-1).agreement.decided.number
        self.assertFalse(is_fault(self.bring(late, -1, -2)))
        self.assertEqual(self.number(), 9)

    def test_late_ballots_and_views_change_nothing(self):
        voter, decided = self.core(-1).agreement, self.core(-1).agreement.decided
        low, view = 1 << 32, View(number=decided.number + 1, members=decided.members[:1])
        self.assertTrue(self.bring(Prepare(slot=view.number, ballot=9 << 32), -1, 0).granted)
        for late in (
            Prepare(slot=view.number, ballot=low),
            Accept(slot=view.number, ballot=low, view=view),
            Prepare(slot=decided.number, ballot=99 << 32),
            Accept(slot=decided.number, ballot=99 << 32, view=self.old_view),
        ):
            self.assertFalse(self.bring(late, -1, 0).granted)
        self.bring(Decided(view=self.old_view), -1, 0)
        self.assertEqual((voter.decided.number, voter.slot.accepted), (decided.number, None))
        self.assertEqual(voter.slot.promised, 9 << 32)
        refusal = Agreement._refusal
        with mock.patch.object(Agreement, "_refusal", lambda self, ask, _: refusal(self, ask, 0)):
            late = Accept(slot=view.number, ballot=low, view=view)
            self.assertTrue(self.bring(late, -1, 0).granted)

    def test_late_questions_under_an_earlier_view_get_no_word(self):
        number, core_id = self.old_view.number, self.core(0).agreement.core_id
        got = self.bring(ViewLeaseAsk(number=number, core_id=core_id), -1, 0)
        self.assertFalse(got.granted)
        ask = CommitAsk(view=number, serial=1, wait_ms=1)
        self.assertEqual(self.bring(ask, -1, 0).code, NOT_TAIL.code)
        ask.view = self.core(-1).agreement.decided.number
        self.assertFalse(is_fault(self.bring(ask, -1, 0)))
        join = JoinAsk(core_id="new", addr="10.1.0.9:7000", view=number)
        self.assertEqual(self.bring(join, -1, 0).code, STALE_VIEW.code)

    def test_a_late_question_for_a_lease_does_not_take_back_what_a_router_has(self):
        lease, tail = self.cluster.up["router1"].lease, self.core(-1).chain
        self.cluster.world.run(1)
        held = tail.leases.holders[lease.router].held
        late = LeaseAsk(router=lease.router, addr=lease.me.addr, held=held - 1)
        self.bring(late, -1, 0)
        self.assertEqual((tail.leases.holders[lease.router].held, held), (lease.held.version, held))

    def test_a_late_return_of_a_lease_by_an_earlier_life_frees_no_acknowledgement(self):
        lease, tail = self.cluster.up["router1"].lease, self.core(-1).chain
        earlier = f"{lease.me.name}/dead"
        late = LeaseAsk(router=earlier, addr=lease.me.addr, held=1, hand_back=True)
        self.assertFalse(is_fault(self.bring(late, -1, 0)))
        self.assertIn(lease.router, tail.leases.holders)
        late.router = lease.router
        self.bring(late, -1, 0)
        self.assertNotIn(lease.router, tail.leases.holders)

    def test_late_wishes_to_leave_of_an_earlier_view_move_nobody_out(self):
        gone = self.core(-1).agreement
        late = LeaveAsk(core_id=gone.core_id, view=self.old_view.number)
        self.assertEqual(self.bring(late, 0, -1).code, STALE_VIEW.code)
        self.cluster.world.run(1)
        self.assertGreaterEqual(gone.position(), 0)

    def test_late_reads_say_what_holds_now(self):
        digest = self.core(-1).chain.state.config.digest()
        for ask in (DurableConfigAsk(), ConfigAsk()):
            self.assertEqual(self.bring(ask, -1, 0).version, self.version())
        self.assertEqual(self.bring(DurableConfigAsk(), -1, 0).digest, digest)
        view = self.bring(ViewAsk(), -1, 0).view
        self.assertEqual(view.number, self.core(-1).agreement.decided.number)
        change_id, _ = configs.parse_items(msgspec.json.encode(self.taken.body), self.taken.base)
        outcome = self.bring(OutcomeAsk(change_id=change_id, wait_ms=10), -1, 0)
        self.assertEqual(outcome.version, self.version())

    def version(self):
        """The chain's own number of the newest change at the tail."""
        return self.core(-1).chain.durable.version

    def test_a_late_nudge_only_makes_a_router_look(self):
        lease = self.cluster.up["router1"].lease
        held = lease.held.version
        for version in (held - 1, held + 5):
            self.cluster.world.run_in(
                "router1", lambda v=version: lease.on_config_changed(ConfigChanged(version=v), "")
            )
            self.cluster.world.run(1)
            self.assertEqual((lease.held.version, lease.is_held()), (held, True))


class LateNewsCase(SiteCase):
    """News between routers that come long after they were told."""

    def test_late_word_of_new_weights_takes_no_version_back(self):
        cluster = self.cluster(81)
        self.assertEqual(cluster.operate(lambda: cluster.operator.name(MODEL, 2)), 200)
        cluster.world.run(6)
        gateway = cluster.up["router1"]
        workers = list(gateway.worker_registry.by_service["lm"])
        news = SwapNews(workers=[each.name for each in workers], model=MODEL, version=1, for_ms=500)
        cluster.world.run_in("router1", lambda: gateway.on_swap_news(news, ""))
        self.assertEqual({each.weights[MODEL] for each in workers}, {2})
        until_s = {each.swapping_until_s for each in workers}
        self.assertLessEqual(max(until_s), gateway.loop.time() + 0.5)
        cluster.world.run(2)
        self.assert_kept(cluster)

    def test_late_word_of_a_failing_worker_lapses(self):
        cluster = self.cluster(82)
        cluster.world.run(2)
        gateway = cluster.up["router1"]
        worker = gateway.worker_registry.by_service["lm"][0]
        worker.answered_s = -1.0
        news = WorkerNews(worker=worker.name, for_ms=60000)
        cluster.world.run_in("router1", lambda: gateway.on_worker_news(news, ""))
        cluster.world.run(2.1)
        self.assertLessEqual(worker.shunned_until_s, gateway.loop.time())
        self.assert_kept(cluster)

    def test_late_word_of_loads_and_kept_parts_costs_no_request(self):
        cluster = self.cluster(83, rate=12)
        gateway = cluster.up["router1"]
        names = [each.name for each in gateway.worker_registry.by_service["lm"]]
        for name in names:
            load = LoadNews(worker=name, backlog=1 << 20, running=9, tokens_per_s=10)
            kept = KeptNews(holder=name, salts=["s"], parts=["p"], tokens=[9000])
            section = Section(origin="10.2.0.2:7000", loads=[load], kept=[kept])
            bulletin = Bulletin(sections=[section])
            cluster.world.run_in("router1", lambda b=bulletin: gateway.broadcast.on_bulletin(b, ""))
        cluster.world.run(6)
        self.assert_kept(cluster, 0.9)
