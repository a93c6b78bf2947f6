"""A stand-in for a cache store, which holds prompt parts that workers send to it."""

import asyncio

import msgspec

from swiftdeck.bench.platform_api.parts import KeptPart, PartCache
from swiftdeck.fault import NOT_FOUND
from swiftdeck.http.server import HttpServer

PARTS_PATH = "/bench/parts"


async def answer_cache_call(cache, exchange):
    """Answer a call for cache reports, for the cache listing or for parts; return False for any other call.

    Parts come after a delay of 1 ms plus 1 microsecond per token that the caller doesn't have yet.
    """
    if exchange.path == "/swiftdeck/kv-events":
        report = await cache.reports(
            int(exchange.query.get("since", "0")), int(exchange.headers.get("wait-ms", "0"))
        )
        await exchange.send_json(200, report)
    elif exchange.path == "/swiftdeck/kv-list":
        await exchange.send_json(200, cache.listed())
    elif exchange.path == PARTS_PATH and exchange.method == "POST":
        query = exchange.json()
        cached_parts = cache.cached_prefix(query["salt"], query["model"], query["names"])
        await asyncio.sleep(
            0.001 + 1e-6 * sum(part.tokens for part in cached_parts[query["above"] :])
        )
        await exchange.send_json(
            200, [[part.tokens, part.model, part.tenant, part.version] for part in cached_parts]
        )
    else:
        return False
    return True


class PartStore:
    """Stores the parts that workers send; a part that is already stored is not replaced. `room` is in tokens."""

    def __init__(self, address, record, random, room=2_000_000):
        self.address, self.record, self.cache = address, record, PartCache(room, random)
        self.http = HttpServer(self.handle)

    async def start(self):
        """Listen, with an empty cache."""
        ip, _, port = self.address.rpartition(":")
        await self.http.start(ip, int(port))
        self.record("up")

    async def handle(self, exchange):
        """Handle one exchange with a worker or with a reader of the cache reports."""
        if await answer_cache_call(self.cache, exchange):
            return None
        if exchange.path != PARTS_PATH or exchange.method != "PUT":
            return NOT_FOUND
        document = msgspec.json.decode(exchange.body)
        for name, fields in document["parts"]:
            self.cache.keep(document["salt"], name, KeptPart(*fields))
        return await exchange.send_json(200, {})
