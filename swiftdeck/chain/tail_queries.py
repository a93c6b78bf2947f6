"""Queries that the tail answers: outcomes of changes, the configuration in force, leases of routers."""

from swiftdeck.fault import NOT_TAIL, STALE_VIEW, UNKNOWN_CHANGE
from swiftdeck.wire.messages import (
    ConfigAsk,
    ConfigReturn,
    DurableConfigAsk,
    DurableConfigReturn,
    LeaseAsk,
    LeaseReturn,
    OutcomeAsk,
    OutcomeReturn,
)

MAX_OUTCOME_WAIT_MS = 30000
OUTCOME_ASK_BYTES = 4096
"""The largest frame of an OutcomeAsk, which waits for long: an id has 100 characters at the most."""


class TailQueries:
    """Answers queries while this member is the tail and may serve; a durable-configuration query needs no lease."""

    def __init__(self, chain):
        self.chain, self.leases = chain, chain.leases
        chain.mesh.register(OutcomeAsk, self.on_outcome_ask, True, OUTCOME_ASK_BYTES)
        for kind, handler in (
            (ConfigAsk, self.on_config_ask),
            (DurableConfigAsk, self.on_durable_config_ask),
            (LeaseAsk, self.on_lease_ask),
        ):
            chain.mesh.register(kind, handler)

    async def on_outcome_ask(self, ask, sender):
        """Return the outcome of a change, once all entries that were applied when it was found are synced here."""
        chain, outcome, serial = self.chain, None, 0
        end_s = chain.loop.time() + min(ask.wait_ms, MAX_OUTCOME_WAIT_MS) / 1000
        while True:
            if not chain.may_tell() or not chain.has_copies():
                return NOT_TAIL
            if outcome is None:
                outcome, serial = self._outcome(ask.change_id), chain.serial
            if outcome is not None and chain.is_synced(serial):
                return outcome
            if chain.loop.time() >= end_s:
                return UNKNOWN_CHANGE.with_reason(ask.change_id)
            await chain.await_commit(min(end_s, self._confirmation_deadline_s(ask.change_id)))

    def _outcome(self, change_id: str) -> OutcomeReturn | None:
        state = self.chain.state
        if change_id in state.stored.batches:
            return OutcomeReturn(results=state.stored.batches[change_id])
        change = state.outcomes.find(change_id)
        if change and self.leases.is_in_force(change.version):
            return OutcomeReturn(version=change.version)
        self.chain.telemetry.count["acksHeld"] += bool(change)
        return None

    def _confirmation_deadline_s(self, change_id: str) -> float:
        change = self.chain.state.outcomes.find(change_id)
        return (
            self.leases.confirmation_deadline_s(change.version)
            if change
            else self.chain.loop.time() + 1
        )

    def on_durable_config_ask(self, ask, sender):
        """Return the configuration that this tail has synced, which need not be the newest.

        Whatever a tail has is committed.
        """
        chain = self.chain
        if not chain.is_last() or chain.needs_copy or chain.fault is not None:
            return NOT_TAIL
        config = chain.durable.config
        packed = chain.updates.pack_whole(config) if ask.takes_packed else b""
        return DurableConfigReturn(
            version=chain.durable.version,
            document=b"" if packed else config.bytes(),
            digest=config.digest(),
            view=chain.agreement.decided.number,
            packed=packed,
        )

    def on_config_ask(self, ask, sender):
        """Return the configuration in force, as operators sent it."""
        if not self.chain.may_tell():
            return NOT_TAIL
        durable = self.chain.durable
        return ConfigReturn(version=durable.version, document=durable.config.operators_bytes())

    def on_lease_ask(self, ask, sender):
        """Grant a router a lease, with the configuration update that it lacks, or take one back."""
        chain = self.chain
        if not chain.may_tell():
            return NOT_TAIL
        now_s, durable = chain.loop.time(), chain.durable
        if ask.hand_back:
            self.leases.hand_back(ask.router)
            chain.notify_commit_waiters()
            return LeaseReturn(version=durable.version)
        if ask.held > durable.version:
            return STALE_VIEW.with_reason("router knows a newer version")
        chain.weight_ages.merge(ask.named, now_s)
        if self.leases.renew(ask) >= durable.version:
            chain.notify_commit_waiters()
        lease = LeaseReturn(
            lease_ms=self.leases.lease_ms,
            routers=len(self.leases.holders),
            version=durable.version,
            view=chain.agreement.decided.number,
            named=chain.weight_ages.told(now_s),
            core_calm_ms=chain.core_calm_ms(),
        )
        chain.updates.add_update(lease, ask, chain.state, durable)
        return lease
