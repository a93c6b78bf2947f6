"""Which views make the copy of a core that asked to join a complete one."""

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
    """The chain and the agreement of one core on one disk, with nobody else there."""

    def __init__(self, losses_borne=1):
        self.world, self.folder, self.losses_borne = World(), SimFolder(), losses_borne
        self.start()
        self.learn(JOINED - 1, OTHERS[:1])

    def start(self):
        """Begin a life on what the disk has."""

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

    def copy(self):
        """Take a copy as from a tail, which leaves this core partial."""

        async def take():
            chain = self.chain
            chain.is_partial = True
            await chain.replace_state(chain.state, 3, chain.state.to_bytes())

        self.world.run_task(NAME, take)

    def expect_join(self):
        """Do what stands before the wish to join the present view."""
        return self.world.run_task(NAME, lambda: self.chain.expect_join(self.agreement.decided))

    def learn(self, number, members):
        """Learn a view, and let what follows come to its end."""
        view = View(number=number, members=members, voters=OTHERS)
        self.world.run_task(NAME, lambda: self.agreement.learn(view))
        self.world.run(0.1)

    def own(self):
        """This core as a member."""
        return CoreRef(core_id=self.agreement.core_id, addr=ADDR)


class CompleteInTest(unittest.TestCase):
    def joining(self, **more):
        core = JoiningCore(**more)
        core.copy()
        self.assertTrue(core.expect_join())
        self.assertTrue(core.chain.is_partial)
        return core

    def assert_partial(self, core, is_partial=True):
        """Now and after a restart."""
        self.assertEqual(core.chain.is_partial, is_partial)
        core.restart()
        self.assertEqual(core.chain.is_partial, is_partial)

    def test_the_view_that_was_asked_for_makes_it_complete(self):
        core = self.joining()
        core.learn(JOINED, [*OTHERS[:1], core.own()])
        self.assert_partial(core, False)
        core.learn(JOINED + 1, [core.own()])
        self.assertTrue(core.chain.is_whole())

    def test_so_it_does_when_it_is_learned_after_a_restart(self):
        core = self.joining()
        self.assert_partial(core)
        core.learn(JOINED, [*OTHERS[:1], core.own()])
        self.assert_partial(core, False)

    def test_so_it_does_when_only_the_view_is_on_the_disk_at_a_start(self):
        core = self.joining()
        agreed = core.agreement.journal
        view = View(number=JOINED, members=[*OTHERS[:1], core.own()], voters=OTHERS)

        async def decide():
            agreed.append({"k": "decided", "view": bytes(view)})
            await agreed.sync()

        core.world.run_task(NAME, decide)
        core.restart()
        self.assert_partial(core, False)

    def test_so_it_does_after_the_log_was_written_anew(self):
        core = self.joining()
        core.world.run_task(NAME, core.chain._rewrite)
        core.restart()
        core.learn(JOINED, [*OTHERS[:1], core.own()])
        self.assert_partial(core, False)

    def test_that_view_without_it_does_not(self):
        core = self.joining()
        core.learn(JOINED, OTHERS[:2])
        core.learn(JOINED + 1, [OTHERS[0], core.own(), OTHERS[1]])
        self.assert_partial(core)

    def test_a_later_view_does_not(self):
        core = self.joining()
        core.learn(JOINED + 1, [OTHERS[0], core.own()])
        self.assert_partial(core)

    def test_a_copy_that_was_made_since_does_not_count(self):
        core = self.joining()
        core.copy()
        core.learn(JOINED, [*OTHERS[:1], core.own()])
        self.assert_partial(core)

    def test_a_view_that_may_acknowledge_makes_no_copy_complete(self):
        for losses_borne, members, is_partial in ((1, 2, True), (2, 2, False), (2, 3, True)):
            with self.subTest(losses_borne=losses_borne, members=members):
                core = JoiningCore(losses_borne)
                core.learn(JOINED, OTHERS[:members])
                core.copy()
                core.expect_join()
                core.learn(JOINED + 1, [*OTHERS[:members], core.own()])
                self.assert_partial(core, is_partial)

    def test_a_disk_that_fails_keeps_it_from_joining(self):
        core = JoiningCore()
        core.copy()
        core.folder.full = True
        self.assertFalse(core.expect_join())
        self.assertEqual(core.chain.complete_in, 0)

    def test_a_view_that_acknowledges_nothing_takes_nothing_that_was_under_way(self):
        for members, taken in ((1, 0), (2, 1)):
            with self.subTest(members=members):
                core = JoiningCore()
                core.learn(JOINED, [core.own(), *OTHERS][:members])
                chain, agreement = core.chain, core.agreement
                chain.must_compare = False
                chain._serve_if_complete()
                now_s = chain.loop.time()
                agreement.wait_until_s, agreement.lease_until_s = now_s, now_s + 9
                self.assertTrue(chain._may_write())
                chain.incoming.append((CHANGE, core.world.loops[NAME].create_future()))
                core.world.run_task(NAME, chain._process_incoming)
                self.assertEqual(chain.serial, taken)

    def test_the_log_of_such_a_view_is_given_once_all_of_it_is_synced(self):
        core = JoiningCore()
        core.learn(JOINED, [core.own()])
        chain, ask = core.chain, LogAsk(serial=0, view=JOINED)
        chain._append(1, msgspec.msgpack.encode(CHANGE))
        self.assertEqual(chain.transfer.on_log_ask(ask, "").code, NOT_TAIL.code)
        core.world.run_task(NAME, chain._sync)
        self.assertEqual(chain.transfer.on_log_ask(ask, "").last, 1)

    def test_such_a_view_passes_nothing_before_all_of_it_is_synced(self):
        core = JoiningCore(losses_borne=2)
        core.learn(JOINED, [core.own(), OTHERS[0]])
        chain, passed = core.chain, []

        async def ask(addr, message, timeout_ms):
            passed.append(message.last)
            return ReplicateReturn(last=message.last)

        with mock.patch.object(chain.mesh, "request", ask):
            chain._append(1, msgspec.msgpack.encode(CHANGE))
            core.world.run_task(NAME, chain._replicate_batch)
            self.assertEqual(passed, [])
            core.world.run_task(NAME, chain._sync)
            core.world.run_task(NAME, chain._replicate_batch)
        self.assertEqual(passed[0], 1)

    def test_the_records_read_back_in_their_form_on_the_disk(self):
        records = [
            log_records.State(3, b"s", True),
            log_records.CompleteIn(5),
            log_records.Complete(),
        ]
        stored = msgspec.msgpack.decode(msgspec.msgpack.encode(records))
        self.assertEqual(stored[1], {"k": "complete-in", "view": 5})
        self.assertEqual(log_records.read(stored), records)

    def test_a_log_from_before_there_was_such_a_record_is_read_as_ever(self):
        stored = [{"k": "state", "n": 3, "state": b"s", "partial": True}, {"k": "complete"}]
        self.assertEqual(
            log_records.read(stored),
            [log_records.State(3, b"s", True), log_records.Complete()],
        )


if __name__ == "__main__":
    unittest.main()
