"""One call on its way through a router: a ledger of attempts from which the next move is derived."""

import asyncio
import hashlib
from typing import Annotated

import msgspec

from swiftdeck.fault import (
    BAD_API_KEY,
    BAD_BACKEND_RESPONSE,
    BAD_WORKER_OUTPUT,
    CLAIM_UNRELEASED,
    HORIZON_REACHED,
    NO_CLAIM,
    NO_COORDINATOR,
    NO_LEASE,
    NO_ROUTE,
    NO_WORKER,
    QUEUE_TIMEOUT,
    ROUTER_STOPPING,
    STALE_WORKER_LIST,
    WEIGHTS_MISMATCH,
    WORKER_LOST,
    WORKER_REFUSED,
    WORKER_SILENT,
    WORKER_UNREACHABLE,
    is_fault,
)
from swiftdeck.http.client import connect, fetch_json
from swiftdeck.traffic.ledger import Attempt, Ledger, NextAction, next_action
from swiftdeck.traffic.prefix import chain_of, group_of
from swiftdeck.wire.messages import GrantAsk, GrantDrop

SLICE_MS = 700
AGAIN_MS = 2000
CLAIM_MS, RELEASE_MS = 700, 500


class CallBody(msgspec.Struct):
    """What a caller sends."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    parts: Annotated[list[str], msgspec.Meta(min_length=1)]
    stream: bool = True
    maxTokens: Annotated[int, msgspec.Meta(ge=1, le=100000)] = 256


class Call:
    """Drives one exchange to its final return."""

    def __init__(self, router, exchange, held, tenant, route, body, start_s):
        self.router, self.exchange, self.held = router, exchange, held
        self.tenant, self.route, self.body = tenant, route, body
        self.loop = asyncio.get_running_loop()
        self.name = f"{router.random.getrandbits(80):020x}"
        self.start_s = start_s
        key = exchange.headers.get("idempotency-key", "")
        self.claim_key = f"{tenant}:{key}" if key and not route.repeatable else ""
        self.digest = hashlib.sha256(exchange.body).hexdigest()[:32] if self.claim_key else ""
        self.ledger = Ledger(
            route.repeatable,
            bool(self.claim_key),
            start_s * 1000 + route.waitMs,
            start_s * 1000 + route.horizonMs,
        )
        self.is_last = exchange.headers.get("conversation-end", "") not in ("", "0", "false")
        self.conversation, self.avoid, self.pieces, self.begun = "", [], [], False
        self.was_granted, self.claiming, self.released = False, None, None
        self.chain, self.talk, self.weights, self.link = [], [], "", None

    def now_ms(self):
        return self.loop.time() * 1000

    def run(self):
        """The id of the present attempt's run, which the worker echoes."""
        return f"{self.name}-{self.ledger.attempts[-1].number}"

    async def serve(self):
        """Make moves until the call has its final return."""
        acts = {
            NextAction.CLAIM: self._claim,
            NextAction.NOMINATE: self._nominate,
            NextAction.SEND: self._send,
        }
        try:
            while True:
                move, fault = next_action(self.ledger, self.now_ms())
                if move in acts:
                    await acts[move]()
                else:
                    return await self._end(move, fault)
        finally:
            self._settle()

    def _settle(self):
        if self.link:
            self.link.close()
        if self.ledger.sent() and self.claim_key:
            self.router.claims.finish(self.claim_key, self.name, self.digest)
        else:
            self._release()
        attempt = self.ledger.attempts[-1] if self.ledger.attempts else None
        if (
            attempt
            and attempt.grant is None
            and (attempt.fault is None or attempt.fault.code == QUEUE_TIMEOUT.code)
        ):
            self.router.tell_coordinator(
                self.route.model, GrantDrop(call=self.name, model=self.route.model)
            )
        self._close_attempt()

    def _close_attempt(self):
        attempt = self.ledger.attempts[-1] if self.ledger.attempts else None
        if attempt and attempt.grant is not None and self.name in self.router.running:
            self.router.attempt_ended(self, attempt)

    def _release(self):
        """Give up the key of a call that was never sent."""
        if self.claiming is not None and self.released is None and not is_fault(self.ledger.claim):
            self.released = self.router.claims.release(self.claim_key, self.name, self.digest)

    async def _claim(self):
        """Claim the key for the attempt that was granted.

        While the chain is mended a new conversation's slot does not stand empty for long; an open one keeps its own.
        """
        attempt = self.ledger.attempts[-1]
        self.claiming = self.claiming or self.router.claims.claim(
            self.claim_key, self.name, self.digest
        )
        bound_ms = min(CLAIM_MS if attempt.grant.is_start else 1e9, self._left_ms())
        await asyncio.wait([self.claiming], timeout=bound_ms / 1000)
        if self.claiming.done():
            self.ledger.claim = self.claiming.result()
        if self.ledger.claim is not True:
            attempt.fault = NO_CLAIM
            self._close_attempt()
            attempt.grant = None
            self.router.telemetry.count["slotsHandedBack"] += 1

    def _left_ms(self):
        """What is left of the call's wait."""
        return max(1, min(self.ledger.waitUntilMs, self.ledger.horizonMs) - self.now_ms())

    async def _may_claim(self):
        """Whether a grant is worth asking for: none is while the chain keeps this call's claim waiting."""
        if self.claiming is None or self.ledger.claim is True:
            return True
        await asyncio.wait([self.claiming], timeout=self._left_ms() / 1000)
        return self.claiming.done()

    async def _nominate(self):
        last = self.ledger.attempts[-1] if self.ledger.attempts else None
        if last and last.grant is None:
            self.ledger.attempts.pop()
            if last.fault.code != QUEUE_TIMEOUT.code:
                await asyncio.sleep(min(0.2, (last.fault.retry_ms or 100) / 1000))
        attempt = Attempt(len(self.ledger.attempts) + 1)
        self.ledger.attempts.append(attempt)
        if not await self.router.lease.wait(self.ledger.waitUntilMs / 1000):
            attempt.fault = NO_LEASE
            return
        self.held = self.router.lease.held
        if not await self._may_claim():
            attempt.fault = NO_CLAIM
            return
        model = self.held.document.models.get(self.route.model)
        tenant = self.held.document.tenants.get(self.tenant)
        if self.held.tenant_by_key.get(self.key_digest) != self.tenant:
            attempt.fault = BAD_API_KEY
            return
        if model is None or tenant is None or self.body.model not in self.held.document.routes:
            attempt.fault = NO_ROUTE.with_reason(self.body.model)
            return
        if not self.router.workers.is_fresh():
            attempt.fault = STALE_WORKER_LIST
            return
        group = group_of(self.tenant, tenant.apart)
        if (self.weights, group) != (model.weights, getattr(self, "group", None)):
            self.weights, self.group = model.weights, group
            self.chain, self.talk = (
                chain_of(model.weights, group, self.body.parts),
                chain_of("", group, self.body.parts),
            )
        attempt.fault = await self._ask_coordinator(attempt)

    async def _ask_coordinator(self, attempt):
        coordinator = self.router.coordinator_of(self.route.model)
        if coordinator is None:
            return NO_COORDINATOR
        slice_ms, asked_s = int(min(self._left_ms(), SLICE_MS)), self.loop.time()
        ask = GrantAsk(
            router=self.router.me.name,
            call=self.name,
            attempt=attempt.number,
            tenant=self.tenant,
            model=self.route.model,
            group=self.group,
            chain=self.chain,
            talk=self.talk,
            weights=self.weights,
            wait_ms=slice_ms,
            avoid=self.avoid,
            conversation=self.conversation,
            waited_ms=int((asked_s - self.start_s) * 1000),
            was_granted=self.was_granted,
            size=sum(map(len, self.body.parts[:-1])),
        )
        got = await self.router.ask_coordinator(coordinator, ask, slice_ms + 300)
        if is_fault(got):
            return got
        fault = self.router.take_grant(self, attempt, got, asked_s)
        if fault is None:
            attempt.grant, self.conversation, self.was_granted = got, got.conversation, True
        return fault

    def _may_be_sent(self, attempt):
        """Looked at right before the bytes go: everything that a frozen process could have outlived."""
        router, model = self.router, None
        if not router.lease.is_held():
            return NO_LEASE
        model = router.lease.held.document.models.get(self.route.model)
        if (
            model is None
            or model.weights != self.weights
            or router.lease.held.tenant_by_key.get(self.key_digest) != self.tenant
        ):
            return NO_LEASE.with_reason("configuration changed meanwhile", 200)
        if not router.workers.may_take(attempt.grant.worker):
            return STALE_WORKER_LIST.with_reason("worker drains, is gone, or the list is old", 200)
        if not router.is_grant_valid(self.name):
            return NO_COORDINATOR.with_reason("grant lapsed", 200)
        if self.now_ms() >= self.ledger.horizonMs:
            return QUEUE_TIMEOUT
        return None

    async def _send(self):
        attempt = self.ledger.attempts[-1]
        if attempt.grant.fetch_from:
            await self._fetch(attempt)
        ip, _, port = attempt.grant.url.rpartition(":")
        self.link = await connect(ip, int(port), max(50, min(1000, self._left_ms())))
        if is_fault(self.link):
            attempt.fault, self.link = self.link, None
            self.avoid.append(attempt.grant.worker)
        else:
            attempt.fault = self._may_be_sent(attempt)
            if attempt.fault is not None:
                self.router.telemetry.count[f"looks.{attempt.fault.code}"] += 1
            else:
                self.router.telemetry.count["legsSent"] += 1
                attempt.was_sent = True
                self.router.attempt_sent(attempt)
                attempt.fault = await self._run_at_worker(attempt)
                if attempt.fault is not None and attempt.was_sent:
                    self.router.telemetry.count["legsFailed"] += 1
                    self.avoid.append(attempt.grant.worker)
                    self.ledger.waitUntilMs = self.now_ms() + min(self.route.waitMs, AGAIN_MS)
            if self.link:
                self.link.close()
        if attempt.fault is not None:
            self._close_attempt()
            if not attempt.was_sent and attempt.fault.code != WORKER_UNREACHABLE.code:
                attempt.grant = None

    async def _fetch(self, attempt):
        bound_ms = int(max(50, min(attempt.grant.fetch_ms, self._left_ms())))
        start_ms = self.now_ms()
        got = await fetch_json(
            attempt.grant.url,
            "POST",
            "/v1/fetch",
            {
                "from": attempt.grant.fetch_from,
                "chain": [link.hex() for link in self.chain],
                "weights": self.weights,
                "group": self.group,
                "withinMs": bound_ms,
                "call": self.name,
            },
            timeoutMs=bound_ms,
        )
        took_ms = int(self.now_ms() - start_ms)
        self.slow_from = (
            attempt.grant.fetch_from if is_fault(got) or took_ms > 0.8 * bound_ms else ""
        )
        parts = got[1].get("parts", 0) if not is_fault(got) and isinstance(got[1], dict) else 0
        self.router.telemetry.count["fetches"] += 1
        self.router.telemetry.count["fetchesBounded"] += bool(self.slow_from)
        self.router.telemetry.count["fetchedParts"] += parts if isinstance(parts, int) else 0
        self.router.decisions.add(
            "fetch",
            call=self.name,
            source=attempt.grant.fetch_from,
            worker=attempt.grant.worker,
            parts=parts,
            took_ms=took_ms,
        )

    slow_from, key_digest, group = "", "", None

    async def _run_at_worker(self, attempt):
        body = msgspec.json.encode(
            {
                "run": self.run(),
                "call": self.name,
                "weights": self.weights,
                "group": self.group,
                "parts": self.body.parts,
                "maxTokens": self.body.maxTokens,
                "route": self.body.model,
                "tenant": self.tenant,
                "key": self.claim_key,
            }
        )
        left_s = max(0.05, self.ledger.horizonMs / 1000 - self.loop.time())
        try:
            async with asyncio.timeout(min(left_s, self.route.firstPieceMs / 1000)):
                got = await self.link.exchange(
                    "POST",
                    "/v1/run",
                    [("content-type", "application/json")],
                    body,
                    attempt.grant.url,
                )
            if is_fault(got):
                return (
                    got
                    if got.code != BAD_BACKEND_RESPONSE.code
                    else BAD_WORKER_OUTPUT.with_reason(got.reason)
                )
            if got.status == WEIGHTS_MISMATCH.status:
                attempt.was_sent = False
                return NO_WORKER.with_reason("worker has other weights", 200)
            if got.status != 200:
                return WORKER_REFUSED.with_reason(f"status {got.status}")
            return await self._relay(attempt, got)
        except TimeoutError:
            return self._late()

    def _late(self):
        return HORIZON_REACHED if self.now_ms() >= self.ledger.horizonMs else WORKER_SILENT

    async def _relay(self, attempt, got):
        lines, expected, self.pieces = got.lines(), 0, []
        while True:
            left_s = self.ledger.horizonMs / 1000 - self.loop.time()
            bound_ms = self.route.pieceMs if expected else self.route.firstPieceMs
            try:
                async with asyncio.timeout(max(0.01, min(left_s, bound_ms / 1000))):
                    line = await anext(lines, None)
            except TimeoutError:
                return self._late()
            if line is None:
                fault = (
                    got.fault
                    if got.fault is not None
                    else WORKER_LOST.with_reason("stream ended early")
                )
                return (
                    fault
                    if fault.code != BAD_BACKEND_RESPONSE.code
                    else BAD_WORKER_OUTPUT.with_reason(fault.reason)
                )
            if not line.strip():
                continue
            piece = self._read(line, expected)
            if is_fault(piece):
                return piece
            expected += 1
            if piece.get("end"):
                usage = piece.get("usage")
                self.usage = usage if isinstance(usage, dict) else {}
                attempt.is_whole = True
                return None
            attempt.delivered += 1 if self.body.stream else 0
            await self._give(piece)

    def _read(self, line, expected):
        if not line.startswith(b"data:"):
            return BAD_WORKER_OUTPUT.with_reason("line is not data")
        try:
            piece = msgspec.json.decode(line[5:])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return BAD_WORKER_OUTPUT.with_reason(str(error))
        if not isinstance(piece, dict) or piece.get("run") != self.run():
            return BAD_WORKER_OUTPUT.with_reason("piece of another run")
        if piece.get("seq") != expected or not isinstance(piece.get("text", ""), str):
            return BAD_WORKER_OUTPUT.with_reason(
                f"piece {piece.get('seq')} where {expected} was due"
            )
        return piece

    usage = {}

    async def _give(self, piece):
        if not self.body.stream:
            self.pieces.append(piece.get("text", ""))
            return
        self._begin()
        await self._event(
            {
                "call": self.name,
                "run": piece["run"],
                "seq": piece["seq"],
                "text": piece.get("text", ""),
            }
        )

    def _begin(self):
        if not self.begun:
            self.begun = True
            self.exchange.begin(
                200,
                [
                    ("content-type", "text/event-stream"),
                    ("transfer-encoding", "chunked"),
                    ("call-id", self.name),
                ],
            )

    async def _event(self, body, name=""):
        lead = f"event: {name}\n".encode() if name else b""
        await self.exchange.send_chunk(lead + b"data: " + msgspec.json.encode(body) + b"\n\n")

    async def _promised(self, fault):
        """A call that comes back with its key must find it free, or no promise is given; at once, either way."""
        self._release()
        if self.released is None:
            return fault
        await asyncio.wait([self.released], timeout=RELEASE_MS / 1000)
        return (
            fault
            if self.released.done()
            else CLAIM_UNRELEASED.with_reason(fault.reason or fault.name, fault.retry_ms or None)
        )

    async def end_with_work(self):
        """Give the final return that what was done allows, as the router has no more time."""
        return await self._end(NextAction.GIVE_UP, self.ledger.verdict(ROUTER_STOPPING))

    async def _end(self, move, fault):
        attempt = self.ledger.attempts[-1] if self.ledger.attempts else None
        self._close_attempt()
        if move is NextAction.FINISH:
            self.router.telemetry.count["callsServed"] += 1
            body = {
                "call": self.name,
                "run": self.run(),
                "end": True,
                "legs": len(self.ledger.sent()),
                "usage": self.usage,
                "worker": attempt.grant.worker,
                "waitedMs": attempt.grant.waited_ms,
            }
            if not self.body.stream:
                text = {"text": "".join(self.pieces)}
                return await self.exchange.send_json(200, body | text, [("call-id", self.name)])
            self._begin()
            await self._event(body)
            return self.exchange.finish()
        if fault.notRun:
            fault = await self._promised(fault)
        self.router.telemetry.count[f"faults.{fault.code}"] += 1
        self.router.decisions.add(
            "final", call=self.name, tenant=self.tenant, code=fault.code, why=fault.name
        )
        sent = self.ledger.sent()
        told = {"call": self.name} | ({"worker": sent[-1].grant.worker} if sent else {})
        if self.begun:
            await self._event(fault.as_body() | told, "error")
            return self.exchange.finish()
        return await self.exchange.give_fault(fault, [("call-id", self.name)], **told)
