"""Moves open conversations away from workers that can no longer serve them."""

import asyncio

from swiftdeck.fault import NO_WORKER


class ConversationMover:
    """Moves the conversation of a later call when its worker can no longer serve it.

    Later calls are not limited by the cap of a worker.
    """

    def __init__(self, slot_table, placement, router):
        self.slot_table, self.placement, self.router = slot_table, placement, router

    def move_if_needed(self, conversation, ask):
        """Move a conversation if needed.

        Returns NO_WORKER if its worker can't be used and there is no other, else None.
        """
        is_lost = self._is_lost(conversation.worker, ask)
        if not is_lost and self._is_preferred(conversation.worker, ask):
            return None
        others = (name for name in self.placement.candidates(ask) if name != conversation.worker)
        target = next(others, None)
        if target is None:
            return NO_WORKER if is_lost else None
        self._move_to(conversation, target)
        return None

    def _is_lost(self, worker: str, ask) -> bool:
        """Whether a worker can't be used: it is not listed, drains, or has failed this call."""
        worker_entry = self.router.workers.workers.get(worker)
        return worker_entry is None or worker_entry.draining or worker in ask.avoid

    def _is_preferred(self, worker: str, ask) -> bool:
        """Whether a usable worker is neither shunned nor known to have other weights loaded."""
        now_s = asyncio.get_running_loop().time()
        is_shunned = self.slot_table.slots_of(worker).shunned_until_s > now_s
        return not is_shunned and not self.placement.has_other_weights(worker, ask.weights)

    def _move_to(self, conversation, target: str):
        old = conversation.worker
        self.slot_table.move(conversation, target)
        slots = self.slot_table.slots_of(target)
        is_over_cap = len(slots.open) > slots.cap
        self.router.telemetry.count["moves"] += 1
        self.router.telemetry.count["movesOverCap"] += is_over_cap
        self.router.decisions.add(
            "move", conversation=conversation.name, old=old, new=target, overCap=is_over_cap
        )
