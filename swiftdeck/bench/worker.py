"""A stand-in for a model worker: a finite prefix cache, costly prefill, cheap extension."""

import asyncio
import json
import re

from swiftdeck.bench.cache import Entry, PrefixCache
from swiftdeck.fault import BAD_REQUEST, NOT_FOUND, WEIGHTS_MISMATCH, is_fault
from swiftdeck.http.client import fetch_json
from swiftdeck.http.server import HttpServer
from swiftdeck.traffic.prefix import chain_of

LATE_MS = 500
TOKENS_OF_A_PIECE = 16
SHOWN = ("run", "call", "tenant", "group", "weights", "route")
MARKER = re.compile(r"\[\[([^\]]*)\]\]")


class Worker:
    """Serves one model over the workers' protocol of docs/protocols.md."""

    def __init__(
        self,
        name,
        addr,
        record,
        random,
        weights="w1",
        store="",
        room=1_000_000,
        speed=1.0,
        load_s=1.0,
    ):
        self.name, self.addr, self.record, self.random = name, addr, record, random
        self.weights, self.store, self.speed, self.load_s = weights, store, speed, load_s
        self.cache = PrefixCache(room, self._report)
        self.events, self.number, self.watching = [], 0, []
        self.computed = self.hit_tokens = 0
        self.quirk, self.link_s, self.tokens_per_char = "", 0.0, 0.25
        self.engine = None
        self.http = HttpServer(self.handle, body_limit=16 << 20, idleMs=LATE_MS, slow_ms=LATE_MS)

    async def start(self):
        """Listen."""
        self.engine = asyncio.Lock()
        ip, _, port = self.addr.rpartition(":")
        await self.http.start(ip, int(port))
        self.record("up", weights=self.weights)

    def _report(self, kind, link=b"", **more):
        self.number += 1
        self.events.append(
            {"n": self.number, "kind": kind} | ({"prefix": link.hex()} if link else {}) | more
        )
        del self.events[:-5000]
        waiting, self.watching = self.watching, []
        for done in waiting:
            if not done.done():
                done.set_result(None)

    async def handle(self, exchange):
        """One exchange of the workers' protocol."""
        path = exchange.path
        if path == "/v1/kept":
            return await exchange.send_json(
                200,
                {
                    "n": self.number,
                    "weights": self.weights,
                    "kept": [link.hex() for link in self.cache.entries],
                },
            )
        if path == "/v1/events":
            return await self._events(exchange, int(exchange.query.get("since", "0")))
        body = exchange.json()
        if is_fault(body) or not isinstance(body, dict):
            return BAD_REQUEST
        if path == "/v1/run":
            return await self._run(exchange, body)
        if path == "/v1/weights":
            return await self._load(exchange, body["weights"])
        if path == "/v1/fetch":
            return await self._fetch(exchange, body)
        if path == "/v1/lookup":
            return await self._lookup(exchange, body)
        if path == "/v1/quirk":
            self.quirk, self.link_s = body.get("quirk", ""), body.get("link_s", 0.0)
            self.record("quirk", quirk=self.quirk)
            return await exchange.send_json(200, {})
        return NOT_FOUND

    async def _events(self, exchange, at):
        exchange.begin(
            200, [("content-type", "application/x-ndjson"), ("transfer-encoding", "chunked")]
        )
        while True:
            items = [each for each in self.events if each["n"] > at]
            if self.quirk == "old reports":
                items = self.events[-20:]
            for item in items:
                if self.quirk == "lose reports" and self.random.random() < 0.3:
                    continue
                for _ in range(2 if self.quirk == "double reports" else 1):
                    await exchange.send_chunk(json.dumps(item).encode() + b"\n")
            at = items[-1]["n"] if items else at
            done = asyncio.get_running_loop().create_future()
            self.watching.append(done)
            await asyncio.wait([done], timeout=1.0)
            if self.quirk == "late reports":
                await asyncio.sleep(2.0)
            if not done.done():
                await exchange.send_chunk(json.dumps({"n": at, "kind": "beat"}).encode() + b"\n")

    async def _load(self, exchange, weights):
        if weights != self.weights:
            await asyncio.sleep(self.load_s)
            self.weights = weights
            self.cache.clear()
            self._report("weights", weights=weights)
            self.record("weights", weights=weights)
        await exchange.send_json(200, {"weights": self.weights})

    async def _fetch(self, exchange, body):
        chain = [bytes.fromhex(link) for link in body["chain"]]
        got = await fetch_json(
            body["from"],
            "POST",
            "/v1/lookup",
            {"chain": body["chain"], "above": self.cache.depth(chain)},
            timeoutMs=body["withinMs"],
        )
        entries = (
            [Entry(*each) for each in got[1]["entries"]]
            if not is_fault(got) and got[0] == 200
            else []
        )
        if entries and body["weights"] == self.weights:
            self.cache.keep(chain[: len(entries)], entries)
        self.record("fetch", call=body.get("call", ""), source=body["from"], parts=len(entries))
        await exchange.send_json(200, {"parts": len(entries)})

    async def _lookup(self, exchange, body):
        chain = [bytes.fromhex(link) for link in body["chain"]]
        depth = self.cache.depth(chain)
        entries = [self.cache.entries[link] for link in chain[:depth]]
        tokens = sum(entry.tokens for entry in entries[body.get("above", 0) :])
        await asyncio.sleep(self.link_s + tokens * 2e-6 * self.speed)
        await exchange.send_json(
            200, {"entries": [[each.tokens, each.tenant, each.weights] for each in entries]}
        )

    def prefill_s(self, total, new):
        """Seconds to compute the last `new` of `total` tokens, by a fitted square law."""
        kept = (total - new) / 1000
        whole = total / 1000
        return (
            0.05 + 0.03025 * (whole - kept) + 8.126e-5 * (whole * whole - kept * kept)
        ) * self.speed

    async def _run(self, exchange, body):
        run, call = body["run"], body["call"]
        marker = (MARKER.findall(body["parts"][-1]) or [""])[-1]
        shown = {name: body[name] for name in SHOWN} | {"marker": marker}
        if body["weights"] != self.weights:
            self.record("refused", **shown)
            return WEIGHTS_MISMATCH
        self.record("run", **shown, loaded=self.weights)
        whole = False
        try:
            if self.quirk == "hang":
                await asyncio.sleep(3600)
            chain = chain_of(body["weights"], body["group"], body["parts"])
            tokens = [max(1, int(len(part) * self.tokens_per_char)) for part in body["parts"]]
            async with self.engine:
                usage = await self._prefill(run, chain, tokens, body)
            whole = await self._stream(exchange, run, marker, body["maxTokens"], usage)
            if self.store and whole:
                asyncio.ensure_future(self._save(chain, tokens, body))
        finally:
            self.record("ran", run=run, call=call, whole=whole, marker=marker)

    async def _prefill(self, run, chain, tokens, body):
        """Compute what the cache doesn't hold of a prompt, and keep it; returns the usage."""
        depth = self.cache.depth(chain)
        self.cache.touch(chain[:depth])
        entries = [self.cache.entries[link] for link in chain[:depth]]
        origins = sorted({(entry.tenant, entry.weights) for entry in entries})
        new = sum(tokens[depth:])
        self.computed += new
        self.hit_tokens += sum(tokens[:depth])
        usage = {"hitParts": depth, "parts": len(tokens), "newTokens": new}
        self.record("prefill", run=run, **usage, origins=origins)
        await asyncio.sleep(self.prefill_s(sum(tokens), new))
        if body["weights"] == self.weights:
            kept = [Entry(count, body["tenant"], body["weights"]) for count in tokens]
            self.cache.keep(chain, kept)
        return usage

    async def _stream(self, exchange, run, marker, count, usage):
        """Send the pieces of an answer, with the quirk in its middle; False when it breaks off."""
        headers = [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")]
        exchange.begin(200, headers)
        pieces = max(1, count // TOKENS_OF_A_PIECE)
        for seq in range(pieces):
            await asyncio.sleep(0.01 * min(TOKENS_OF_A_PIECE, count) * self.speed)
            quirk = self.quirk if seq == pieces // 2 else ""
            if quirk == "die midway":
                exchange.connection.abort()
                return False
            if quirk == "malformed":
                await exchange.send_chunk(b"data: {nonsense\n\n")
            if quirk == "endless line":
                for _ in range(40):
                    await exchange.send_chunk(b"data: " + b"x" * 20000)
            named = "foreign-1" if quirk == "foreign" else run
            piece = {"run": named, "seq": seq, "text": f"[[{marker}]]{seq} "}
            for _ in range(2 if quirk == "repeat" else 1):
                await self._send_event(exchange, piece)
        await self._send_event(exchange, {"run": run, "seq": pieces, "end": True, "usage": usage})
        exchange.finish()
        return True

    @staticmethod
    async def _send_event(exchange, value):
        await exchange.send_chunk(b"data: " + json.dumps(value).encode() + b"\n\n")

    async def _save(self, chain, tokens, body):
        await fetch_json(
            self.store,
            "POST",
            "/v1/save",
            {
                "chain": [link.hex() for link in chain],
                "entries": [[count, body["tenant"], body["weights"]] for count in tokens],
            },
            timeoutMs=2000,
        )
