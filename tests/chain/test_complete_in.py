"""Tests of which views make the partial copy of a joining core complete."""

import unittest
from unittest import mock

import msgspec

from swiftdeck.chain import log_records
from swiftdeck.chain.agreement import Agreement
from swiftdeck.chain.chain import Chain
from swiftdeck.fault import NOT_TAIL
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.sim.folder import SimFolder
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import CoreRef, LogAsk, ReplicateReturn, View

ADDR, NAME, JOINED = "10.0.0.1:1", "core", 5
OTHERS = [CoreRef(core_id=digit * 16, addr=f"10.0.0.{digit}:1") for digit in "234"]

CHANGE = {"t": "claims", "id": "c", "elapsedMs": 0, "ops": []}


class JoiningCore:
    """The chain and the agreement of a single core, with no other core running."""

    def __init__(self, losses_borne=1):
        self.world, self.folder, self.losses_borne = World(), SimFolder(), losses_borne
        self.start()
        self.learn(JOINED - 1, OTHERS[:1])

    def start(self):
        """Start the core from its disk."""

        async def main():
            mesh, telemetry = Mesh(ADDR), Telemetry()
            self.agreement = Agreement(self.folder, mesh, ADDR, self.world.random)
            await self.agreement.start()
            self.chain = Chain(
                self.folder, mesh, self.agreement, telemetry, losses_borne=self.losses_borne
            )
            await self.chain.start()

        self.world.start(NAME, ADDR.partition(":")[0], main)
        self.world.run(0.1)

    def restart(self):
        """Lose the power and start again."""
        self.world.kill(NAME)
        self.folder.lose_power()
        self.start()

    def copy_state(self):
        """Install a state as if copied from a tail, which leaves this core partial."""

        async def replace_state():
            chain = self.chain
            chain.is_partial = True
            await chain.replace_state(chain.state, 3, chain.state.to_bytes())

        self.world.run_task(NAME, replace_state)

    def expect_join(self):
        """Record the expected join, as a core does before it asks to join the current view."""
        return self.world.run_task(NAME, lambda: self.chain.expect_join(self.agreement.decided))

    def learn(self, number, members):
        """Learn a view and run until its effects are done."""
        view = View(number=number, members=members, voters=OTHERS)
        self.world.run_task(NAME, lambda: self.agreement.learn(view))
        self.world.run(0.1)

    def member_ref(self):
        """Return this core as a member of a view."""
        return CoreRef(core_id=self.agreement.core_id, addr=ADDR)


class CompleteInTest(unittest.TestCase):
    def joining_core(self, **options):
        core = JoiningCore(**options)
        core.copy_state()
        self.assertTrue(core.expect_join())
        self.assertTrue(core.chain.is_partial)
        return core

    def assert_partial(self, core, is_partial=True):
        """Check whether the core is partial, now and after a restart."""
        self.assertEqual(core.chain.is_partial, is_partial)
        core.restart()
        self.assertEqual(core.chain.is_partial, is_partial)

    def test_the_expected_view_makes_the_copy_complete(self):
        core = self.joining_core()
        core.learn(JOINED, [*OTHERS[:1], core.member_ref()])
        self.assert_partial(core, False)
        core.learn(JOINED + 1, [core.member_ref()])
        self.assertTrue(core.chain.is_whole())

    def test_the_expected_view_learned_after_a_restart_makes_the_copy_complete(self):
        core = self.joining_core()
        self.assert_partial(core)
        core.learn(JOINED, [*OTHERS[:1], core.member_ref()])
        self.assert_partial(core, False)

    def test_the_expected_view_read_from_disk_at_a_start_makes_the_copy_complete(self):
        core = self.joining_core()
        journal = core.agreement.journal
        view = View(number=JOINED, members=[*OTHERS[:1], core.member_ref()], voters=OTHERS)

        async def decide():
            journal.append({"k": "decided", "view": bytes(view)})
            await journal.sync()

        core.world.run_task(NAME, decide)
        core.restart()
        self.assert_partial(core, False)

    def test_the_record_of_the_expected_view_outlasts_a_rewrite_of_the_log(self):
        core = self.joining_core()
        core.world.run_task(NAME, core.chain._rewrite)
        core.restart()
        core.learn(JOINED, [*OTHERS[:1], core.member_ref()])
        self.assert_partial(core, False)

    def test_the_expected_view_without_the_core_does_not_make_it_complete(self):
        core = self.joining_core()
        core.learn(JOINED, OTHERS[:2])
        core.learn(JOINED + 1, [OTHERS[0], core.member_ref(), OTHERS[1]])
        self.assert_partial(core)

    def test_a_later_view_does_not_make_the_copy_complete(self):
        core = self.joining_core()
        core.learn(JOINED + 1, [OTHERS[0], core.member_ref()])
        self.assert_partial(core)

    def test_a_newer_copy_is_not_made_complete_by_the_expected_view(self):
        core = self.joining_core()
        core.copy_state()
        core.learn(JOINED, [*OTHERS[:1], core.member_ref()])
        self.assert_partial(core)

    def test_copies_from_a_view_that_may_acknowledge_stay_partial(self):
        for losses_borne, members, is_partial in ((1, 2, True), (2, 2, False), (2, 3, True)):
            with self.subTest(losses_borne=losses_borne, members=members):
                core = JoiningCore(losses_borne)
                core.learn(JOINED, OTHERS[:members])
                core.copy_state()
                core.expect_join()
                core.learn(JOINED + 1, [*OTHERS[:members], core.member_ref()])
                self.assert_partial(core, is_partial)

    def test_a_disk_fault_keeps_the_core_from_joining(self):
        core = JoiningCore()
        core.copy_state()
        core.folder.full = True
        self.assertFalse(core.expect_join())
        self.assertEqual(core.chain.complete_in, 0)

    def test_a_view_that_is_too_small_takes_no_queued_change(self):
        for members, taken in ((1, 0), (2, 1)):
            with self.subTest(members=members):
                core = JoiningCore()
                core.learn(JOINED, [core.member_ref(), *OTHERS][:members])
                chain, agreement = core.chain, core.agreement
                chain.must_compare = False
                chain._serve_if_complete()
                now_s = chain.loop.time()
                agreement.wait_until_s, agreement.lease_until_s = now_s, now_s + 9
                self.assertTrue(chain._may_write())
                chain.incoming.append((CHANGE, core.world.loops[NAME].create_future()))
                core.world.run_task(NAME, chain._process_incoming)
                self.assertEqual(chain.serial, taken)

    def test_a_too_small_view_serves_its_log_only_once_it_is_synced(self):
        core = JoiningCore()
        core.learn(JOINED, [core.member_ref()])
        chain, ask = core.chain, LogAsk(serial=0, view=JOINED)
        chain._append(1, msgspec.msgpack.encode(CHANGE))
        self.assertEqual(chain.transfer.on_log_ask(ask, "").code, NOT_TAIL.code)
        core.world.run_task(NAME, chain._sync)
        self.assertEqual(chain.transfer.on_log_ask(ask, "").last, 1)

    def test_a_too_small_view_replicates_nothing_before_the_sync(self):
        core = JoiningCore(losses_borne=2)
        core.learn(JOINED, [core.member_ref(), OTHERS[0]])
        chain, replicated = core.chain, []

        async def request(addr, message, timeout_ms):
            replicated.append(message.last)
            return ReplicateReturn(last=message.last)

        with mock.patch.object(chain.mesh, "request", request):
            chain._append(1, msgspec.msgpack.encode(CHANGE))
            core.world.run_task(NAME, chain._replicate_batch)
            self.assertEqual(replicated, [])
            core.world.run_task(NAME, chain._sync)
            core.world.run_task(NAME, chain._replicate_batch)
        self.assertEqual(replicated[0], 1)

    def test_log_records_round_trip(self):
        records = [
            log_records.State(3, b"s", True),
            log_records.CompleteIn(5),
            log_records.Complete(),
        ]
        stored = msgspec.msgpack.decode(msgspec.msgpack.encode(records))
        self.assertEqual(stored[1], {"k": "complete-in", "view": 5})
        self.assertEqual(log_records.read(stored), records)

    def test_a_log_without_a_complete_in_record_is_readable(self):
        stored = [{"k": "state", "n": 3, "state": b"s", "partial": True}, {"k": "complete"}]
        self.assertEqual(
            log_records.read(stored),
            [log_records.State(3, b"s", True), log_records.Complete()],
        )


if __name__ == "__main__":
    unittest.main()
