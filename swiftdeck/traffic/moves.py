"""What becomes of an open conversation whose worker leaves."""

import asyncio

from swiftdeck.fault import NO_WORKER


class Moves:
    """A later call is not capped; its conversation moves when its worker can no longer serve it."""

    def __init__(self, slot_table, placement, router):
        self.slot_table, self.placement, self.router = slot_table, placement, router

    def settle(self, conversation, ask):
        """Move the conversation if it must; returns a fault when it must and can't, or None."""
        is_lost = self._is_lost(conversation.worker, ask)
        if not is_lost and self._is_good(conversation.worker, ask):
            return None
        others = (name for name in self.placement.candidates(ask) if name != conversation.worker)
        target = next(others, None)
        if target is None:
            return NO_WORKER if is_lost else None
        self._move(conversation, target)
        return None

    def _is_lost(self, worker: str, ask) -> bool:
        """Whether a worker can't be used: it is gone, drains, or has failed this call."""
        listed = self.router.workers.workers.get(worker)
        return listed is None or listed.draining or worker in ask.avoid

    def _is_good(self, worker: str, ask) -> bool:
        """Whether a worker that can be used is no worse than others."""
        now_s = asyncio.get_running_loop().time()
        is_shunned = self.slot_table.of(worker).shunned_until_s > now_s
        return not is_shunned and not self.placement.has_other_weights(worker, ask.weights)

    def _move(self, conversation, target: str):
        old = conversation.worker
        self.slot_table.move(conversation, target)
        book = self.slot_table.of(target)
        is_over_cap = len(book.open) > book.cap
        self.router.telemetry.count["moves"] += 1
        self.router.telemetry.count["movesOverCap"] += is_over_cap
        self.router.decisions.add(
            "move", conversation=conversation.name, old=old, new=target, overCap=is_over_cap
        )
