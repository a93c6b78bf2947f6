"""Copies the whole state of one core to another."""

import msgspec

from swiftdeck.chain.state import ChainState
from swiftdeck.fault import DAMAGED, NOT_TAIL, OLD_VIEW, is_fault
from swiftdeck.wire.messages import CopyAsk, CopyReturn

ASK_MS = 5000


class StateTransfer:
    """Gives this core's state to others, and takes that of another over; the chain's owner runs both."""

    def __init__(self, chain):
        self.chain = chain

    def give(self, sender):
        """The state as far as it is synced here, which it is between two commands of the owner."""
        chain, view = self.chain, self.chain.agreement.decided
        at = chain.agreement.position()
        is_before = at > 0 and view.members[at - 1].addr == sender and not chain.needs_copy
        if (
            not (chain.is_whole() or is_before)
            or chain.fault is not None
            or at < 0
            or chain.serial > chain.synced
        ):
            return NOT_TAIL
        return CopyReturn(serial=chain.serial, state=chain.state.to_bytes(), view=view.number)

    async def take(self, addr, above=-1):
        """Take over the state of the core at an address; with `above`, only a longer one of this very view."""
        chain = self.chain
        got = await chain.mesh.ask(addr, CopyAsk(coreId=chain.agreement.coreId), ASK_MS)
        if is_fault(got):
            return got
        if (
            got.serial <= above
            or above >= 0
            and (got.view != chain.agreement.decided.number or chain.serial != above)
        ):
            return OLD_VIEW.because(f"{got.serial} entries there, {chain.serial} here")
        chain.board.count["copiesFromBehind"] += above >= 0
        return await self._install(got)

    async def _install(self, got):
        chain = self.chain
        try:
            fresh = ChainState(chain.state.keepMs, chain.state.claimsMost)
            fresh.on_config = chain.state.on_config
            fresh.from_bytes(got.state)
        except msgspec.DecodeError as error:
            return DAMAGED.because(error)
        fault = await chain.replace_state(fresh, got.serial, got.state)
        return got if fault is None else fault
