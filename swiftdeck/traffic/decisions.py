"""The stream of decisions out: numbered, kept for a while, and honest about what was dropped."""

import asyncio
from collections import deque


class Decisions:
    """What this process decided, newest last.

    `clock` gives seconds; `first` is the number of the oldest decision that is still here.
    """

    def __init__(self, clock, keep=10000):
        self.clock, self.first, self.items, self.keep = clock, 1, deque(), keep
        self.waiting: list[asyncio.Future] = []

    def add(self, kind: str, **fields):
        """Record a decision."""
        number = self.first + len(self.items)
        self.items.append({"n": number, "atMs": int(self.clock() * 1000), "kind": kind} | fields)
        if len(self.items) > self.keep:
            self.items.popleft()
            self.first += 1
        self.wake()

    def wake(self):
        """Let all that wait for more look again."""
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            if not done.done():
                done.set_result(None)

    def since(self, number: int) -> tuple[int, list[dict]]:
        """Return how many after a number are no longer here, and a list of those that are."""
        lost = max(0, self.first - 1 - max(0, number))
        start = max(0, number + 1 - self.first)
        return lost, [self.items[at] for at in range(start, len(self.items))]

    def about(self, name: str) -> list[dict]:
        """Return the decisions that name a call or a conversation.

        Those of the conversations that they name are among them.
        """
        direct = [
            item for item in self.items if name in (item.get("call"), item.get("conversation"))
        ]
        conversations = {item["conversation"] for item in direct if item.get("conversation")}
        return [
            item
            for item in self.items
            if item in direct or item.get("conversation") in conversations
        ]

    async def more(self, timeout_s: float):
        """Wait for the next decision, or until the time is over."""
        done = asyncio.get_running_loop().create_future()
        self.waiting.append(done)
        await asyncio.wait([done], timeout=timeout_s)
