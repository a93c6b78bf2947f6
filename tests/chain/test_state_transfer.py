"""Tests of which member serves its state to a core outside the chain."""

import unittest

from swiftdeck.fault import NOT_TAIL, is_fault
from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.wire.messages import CopyAsk, LogAsk

OUTSIDER = "0123456789abcdef"


class StateTransferTest(unittest.TestCase):
    def test_only_the_tail_serves_its_state_to_a_core_outside_the_chain(self):
        cluster = SimCluster(4, routers=1).start()
        cores = sorted(
            (cluster.up[name] for name in cluster.core_names()),
            key=lambda core: core.agreement.position(),
        )
        for core in cores:
            name = next(name for name in cluster.core_names() if cluster.up[name] is core)

            async def request_copy(transfer=core.chain.transfer):
                copied = await transfer.on_copy_ask(CopyAsk(core_id=OUTSIDER), "10.9.9.9:1")
                return copied, transfer.on_log_ask(LogAsk(serial=0), "10.9.9.9:1")

            copied, log = cluster.world.run_task(name, request_copy)
            is_tail = core is cores[-1]
            self.assertEqual(is_fault(copied), not is_tail, name)
            self.assertEqual(is_fault(log) and log.code == NOT_TAIL.code, not is_tail, name)

    def test_replacing_the_state_discards_its_snapshots(self):
        """A member whose state was replaced must not serve a snapshot of the earlier state."""
        cluster = SimCluster(4, routers=1).start()
        cores = [cluster.up[name] for name in cluster.core_names()]
        tail = max(cores, key=lambda core: core.agreement.position())
        name = next(name for name in cluster.core_names() if cluster.up[name] is tail)

        async def request_copy():
            chain = tail.chain
            old = await chain.transfer.on_copy_ask(CopyAsk(core_id=OUTSIDER), "10.9.9.9:1")
            data = chain.state.to_bytes()
            await chain.replace_state(chain.state, chain.serial + 1, data)
            return old, await chain.transfer.on_copy_ask(
                CopyAsk(core_id=OUTSIDER, digest=old.digest), "10.9.9.9:1"
            )

        old, new = cluster.world.run_task(name, request_copy)
        self.assertEqual(new.serial, old.serial + 1)
