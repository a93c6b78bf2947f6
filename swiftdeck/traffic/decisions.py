"""The numbered decisions of a process: the newest are kept, and dropped ones are counted."""

import asyncio
from collections import deque


class Decisions:
    """The last `limit` decisions of this process, newest last.

    `clock` returns seconds; `first` is the number of the oldest decision that is still kept.
    """

    def __init__(self, clock, limit=10000):
        self.clock, self.first, self.items, self.limit = clock, 1, deque(), limit
        self.waiters: list[asyncio.Future] = []

    def add(self, kind: str, **fields):
        """Record a decision."""
        number = self.first + len(self.items)
        self.items.append({"n": number, "atMs": int(self.clock() * 1000), "kind": kind} | fields)
        if len(self.items) > self.limit:
            self.items.popleft()
            self.first += 1
        self.wake()

    def wake(self):
        """Wake all that wait for more decisions."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def since(self, number: int) -> tuple[int, list[dict]]:
        """Return how many decisions after a number were dropped, and a list of those still kept."""
        dropped = max(0, self.first - 1 - max(0, number))
        start = max(0, number + 1 - self.first)
        return dropped, [self.items[index] for index in range(start, len(self.items))]

    def about(self, name: str) -> list[dict]:
        """Return the decisions about a call or a conversation.

        All decisions of the conversations that these name are included.
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

    async def wait_for_more(self, timeout_s: float):
        """Wait for the next decision, for at most `timeout_s`."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        await asyncio.wait([waiter], timeout=timeout_s)
