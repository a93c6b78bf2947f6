"""Who gives its state to a core outside the chain."""

import unittest

from swiftdeck.fault import NOT_TAIL, is_fault
from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.wire.messages import CopyAsk, LogAsk

OUTSIDER = "0123456789abcdef"


class StateTransferTest(unittest.TestCase):
    def test_only_a_whole_tail_gives_its_state_to_a_core_outside_the_chain(self):
        cluster = SimCluster(4, routers=1).start()
        cores = sorted(
            (cluster.up[name] for name in cluster.core_names()),
            key=lambda core: core.agreement.position(),
        )
        for core in cores:
            name = next(name for name in cluster.core_names() if cluster.up[name] is core)

            async def ask(transfer=core.chain.transfer):
                copied = await transfer.on_copy_ask(CopyAsk(core_id=OUTSIDER), "10.9.9.9:1")
                return copied, transfer.on_log_ask(LogAsk(serial=0), "10.9.9.9:1")

            copied, log = cluster.world.run_task(name, ask)
            is_tail = core is cores[-1]
            self.assertEqual(is_fault(copied), not is_tail, name)
            self.assertEqual(is_fault(log) and log.code == NOT_TAIL.code, not is_tail, name)

    def test_a_snapshot_goes_with_the_state_that_it_was_made_of(self):
        """A member that takes another state over no longer offers what it had before."""
        cluster = SimCluster(4, routers=1).start()
        cores = [cluster.up[name] for name in cluster.core_names()]
        tail = max(cores, key=lambda core: core.agreement.position())
        name = next(name for name in cluster.core_names() if cluster.up[name] is tail)

        async def ask():
            chain = tail.chain
            old = await chain.transfer.on_copy_ask(CopyAsk(core_id=OUTSIDER), "10.9.9.9:1")
            data = chain.state.to_bytes()
            await chain.replace_state(chain.state, chain.serial + 1, data)
            return old, await chain.transfer.on_copy_ask(
                CopyAsk(core_id=OUTSIDER, digest=old.digest), "10.9.9.9:1"
            )

        old, new = cluster.world.run_task(name, ask)
        self.assertEqual(new.serial, old.serial + 1)
