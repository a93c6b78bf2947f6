"""A stand-in for the platform's list of workers."""

import asyncio
from collections import deque

from swiftdeck.fault import NOT_FOUND
from swiftdeck.http.server import HttpServer


class WorkerList:
    """Shows what workers there are, some time after it is so, page by page, and not too often."""

    def __init__(self, addr, record, lag_ms=400, rate_per_s=20, page=3):
        self.addr, self.record, self.lag_ms, self.rate_per_s, self.page = (
            addr,
            record,
            lag_ms,
            rate_per_s,
            page,
        )
        self.shown, self.calls, self.over = {}, deque(), 0
        self.http = HttpServer(self.handle)

    async def start(self):
        """Listen."""
        ip, _, port = self.addr.rpartition(":")
        await self.http.start(ip, int(port))

    def show(self, entries):
        """From now on, some time later, these are the workers; a function that gives them."""
        asyncio.get_running_loop().call_later(self.lag_ms / 1000, self._show, entries)

    def _show(self, entries):
        now = {each["id"]: each for each in entries}
        for name, entry in now.items():
            if (
                entry["server-state"] == "draining"
                and self.shown.get(name, {}).get("server-state") != "draining"
            ):
                self.record("shown", worker=name, state="draining")
        for name in self.shown.keys() - now.keys():
            self.record("shown", worker=name, state="gone")
        self.shown = now

    async def handle(self, exchange):
        """One page of the list."""
        now_s = asyncio.get_running_loop().time()
        while self.calls and self.calls[0] <= now_s - 1:
            self.calls.popleft()
        if exchange.path != "/workers":
            return NOT_FOUND
        if len(self.calls) >= self.rate_per_s:
            self.over += 1
            return await exchange.send_json(429, {})
        self.calls.append(now_s)
        at = int(exchange.query.get("page-token", "p-0").removeprefix("p-"))
        entries = list(self.shown.values())
        after = at + self.page
        return await exchange.send_json(
            200,
            {
                "app-servers": entries[at:after],
                "next-token": f"p-{after}" if after < len(entries) else None,
            },
        )
