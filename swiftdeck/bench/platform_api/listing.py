"""A stand-in for the platform's list of workers."""

import asyncio
from collections import deque

from swiftdeck.fault import NOT_FOUND
from swiftdeck.http.server import HttpServer


class WorkerList:
    """Lists the workers with a delay of `lag_ms`, in pages of `page` entries, and rejects calls beyond `rate_per_s`."""

    def __init__(self, address, record, lag_ms=400, rate_per_s=20, page=3):
        self.address, self.record, self.lag_ms, self.rate_per_s, self.page = (
            address,
            record,
            lag_ms,
            rate_per_s,
            page,
        )
        self.shown, self.calls, self.over = {}, deque(), 0
        self.http = HttpServer(self.handle)

    async def start(self):
        """Listen on the address of the list."""
        ip, _, port = self.address.rpartition(":")
        await self.http.start(ip, int(port))

    def show(self, entries):
        """Replace the listed entries after the lag of the list."""
        asyncio.get_running_loop().call_later(self.lag_ms / 1000, self._publish, entries)

    def _publish(self, entries):
        current = {listed["id"]: listed for listed in entries}
        for name, entry in current.items():
            if (
                entry["server-state"] == "draining"
                and self.shown.get(name, {}).get("server-state") != "draining"
            ):
                self.record("shown", worker=name, state="draining")
        for name in self.shown.keys() - current.keys():
            self.record("shown", worker=name, state="gone")
        self.shown = current

    async def handle(self, exchange):
        """Answer with one page of the list, or with 429 beyond the rate limit."""
        now_s = asyncio.get_running_loop().time()
        while self.calls and self.calls[0] <= now_s - 1:
            self.calls.popleft()
        if exchange.path != "/workers":
            return NOT_FOUND
        if len(self.calls) >= self.rate_per_s:
            self.over += 1
            return await exchange.send_json(429, {})
        self.calls.append(now_s)
        begin = int(exchange.query.get("page-token", "p-0").removeprefix("p-"))
        entries = list(self.shown.values())
        end = begin + self.page
        return await exchange.send_json(
            200,
            {
                "app-servers": entries[begin:end],
                "next-token": f"p-{end}" if end < len(entries) else None,
            },
        )
