"""A stand-in for a site's store of prefixes."""

import asyncio

from swiftdeck.fault import BAD_REQUEST, NOT_FOUND, is_fault
from swiftdeck.http.server import HttpServer


class Store:
    """Keeps what workers save and gives it back, slowly for long prefixes."""

    def __init__(self, addr, record, link_s=0.02, most=20000):
        self.addr, self.record, self.link_s, self.most = addr, record, link_s, most
        self.entries = {}
        self.http = HttpServer(self.handle, body_limit=16 << 20)

    async def start(self):
        """Listen."""
        ip, _, port = self.addr.rpartition(":")
        await self.http.start(ip, int(port))
        self.record("up")

    async def handle(self, exchange):
        """One exchange of the store's protocol."""
        body = exchange.json()
        if is_fault(body) or not isinstance(body, dict):
            return BAD_REQUEST
        if exchange.path == "/v1/save":
            self.entries |= {
                link: entry for link, entry in zip(body["chain"], body["entries"], strict=False)
            }
            while len(self.entries) > self.most:
                del self.entries[next(iter(self.entries))]
            return await exchange.send_json(200, {})
        if exchange.path == "/v1/lookup":
            chain = body["chain"]
            depth = next(
                (at for at, link in enumerate(chain) if link not in self.entries), len(chain)
            )
            entries = [self.entries[link] for link in chain[:depth]]
            await asyncio.sleep(self.link_s + sum(each[0] for each in entries) * 4e-6)
            return await exchange.send_json(200, {"entries": entries})
        return NOT_FOUND
