"""A stand-in for a store of kept parts."""

import asyncio

import msgspec

from swiftdeck.bench.platform_api.parts import KeptPart, PartCache
from swiftdeck.fault import NOT_FOUND
from swiftdeck.http.server import HttpServer

PARTS = "/bench/parts"


async def give_reports(cache, exchange):
    """Answer the calls for reports, if this is one."""
    if exchange.path == "/swiftdeck/kv-events":
        got = await cache.reports(
            int(exchange.query.get("since", "0")), int(exchange.headers.get("wait-ms", "0"))
        )
        await exchange.send_json(200, got)
    elif exchange.path == "/swiftdeck/kv-list":
        await exchange.send_json(200, cache.listed())
    elif exchange.path == PARTS and exchange.method == "POST":
        asked = exchange.json()
        found = cache.first(asked["salt"], asked["model"], asked["names"])
        await asyncio.sleep(0.001 + 1e-6 * sum(each.tokens for each in found[asked["above"] :]))
        await exchange.send_json(
            200, [[each.tokens, each.model, each.tenant, each.version] for each in found]
        )
    else:
        return False
    return True


class PartStore:
    """Keeps what workers send it, as it was first made."""

    def __init__(self, addr, record, random, room=2_000_000):
        self.addr, self.record, self.cache = addr, record, PartCache(room, random)
        self.http = HttpServer(self.handle)

    async def start(self):
        """Listen, with nothing kept."""
        ip, _, port = self.addr.rpartition(":")
        await self.http.start(ip, int(port))
        self.record("up")

    async def handle(self, exchange):
        """One exchange with a worker or a follower."""
        if await give_reports(self.cache, exchange):
            return None
        if exchange.path != PARTS or exchange.method != "PUT":
            return NOT_FOUND
        sent = msgspec.json.decode(exchange.body)
        for name, kept in sent["parts"]:
            self.cache.keep(sent["salt"], name, KeptPart(*kept))
        return await exchange.send_json(200, {})
