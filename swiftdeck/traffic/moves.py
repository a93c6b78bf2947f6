"""What becomes of an open conversation whose worker leaves."""

import asyncio

from swiftdeck.fault import NO_WORKER


class Moves:
    """A later call is not capped; its conversation moves when its worker can no longer serve it."""

    def __init__(self, books, placement, router):
        self.books, self.placement, self.router = books, placement, router

    def settle(self, conversation, ask):
        """Move the conversation if it must; a fault when it must and can't."""
        worker, now_s = conversation.worker, asyncio.get_running_loop().time()
        book = self.books.of(worker)
        listed = self.router.workers.workers.get(worker)
        is_lost = listed is None or listed.draining or worker in ask.avoid
        if (
            not is_lost
            and book.shunned_until_s <= now_s
            and not self.placement.other_weights(worker, ask.weights)
        ):
            return None
        target = next((name for name in self.placement.candidates(ask) if name != worker), None)
        if target is None:
            return NO_WORKER if is_lost else None
        self.books.move(conversation, target)
        fresh = self.books.of(target)
        over = len(fresh.open) > fresh.cap
        self.router.board.count["moves"] += 1
        self.router.board.count["movesOverCap"] += over
        self.router.decisions.add(
            "move", conversation=conversation.name, old=worker, new=target, overCap=over
        )
        return None
