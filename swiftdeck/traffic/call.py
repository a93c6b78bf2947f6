"""A call that a router serves; a ledger of its attempts decides what is done next."""

import asyncio
import hashlib
from typing import Annotated

import attrs
import msgspec

from swiftdeck.config.document import shared_cache_generation
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
from swiftdeck.traffic.prefix import cache_group_of, chain_of, group_of
from swiftdeck.wire.messages import GrantAsk, GrantDrop

WAIT_SLICE_MS = 700
RETRY_WAIT_MS = 2000
"""Longest wait for a grant: of one request, and in total after an attempt that was sent failed."""
CLAIM_WAIT_MS, RELEASE_WAIT_MS = 700, 500
"""How long a new conversation's slot waits for a claim, and a final answer for a release."""


class CallBody(msgspec.Struct):
    """The body of a client's request."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    parts: Annotated[list[str], msgspec.Meta(min_length=1)]
    stream: bool = True
    maxTokens: Annotated[int, msgspec.Meta(ge=1, le=100000)] = 256


@attrs.frozen
class PrefixScope:
    """What the digests of a prompt's prefixes depend on besides the prompt.

    `group` is the isolation group of the tenant. `cache_group` is the one in the names of cached
    prefixes, which has the generation of the shared ones.
    """

    weights: str
    group: str
    cache_group: str


class Call:
    """Serves one request of a client up to its final response."""

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
        self.was_granted, self.claim_result, self.release_result = False, None, None
        self.chain, self.talk, self.scope, self.link = [], [], None, None

    def now_ms(self):
        return self.loop.time() * 1000

    def run_id(self):
        """Return the id of the current attempt's run, which the worker echoes."""
        return f"{self.name}-{self.ledger.attempts[-1].number}"

    async def serve(self):
        """Carry out the ledger's next actions until the final response was sent."""
        handlers = {
            NextAction.CLAIM: self._claim,
            NextAction.NOMINATE: self._request_grant,
            NextAction.SEND: self._send,
        }
        try:
            while True:
                action, fault = next_action(self.ledger, self.now_ms())
                if action in handlers:
                    await handlers[action]()
                else:
                    return await self._finish(action, fault)
        finally:
            self._clean_up()

    def _clean_up(self):
        """Close the connection, the claim and the attempt; drop a request that may be queued."""
        if self.link:
            self.link.close()
        if self.ledger.sent_attempts() and self.claim_key:
            self.router.claims.finish(self.claim_key, self.name, self.digest)
        else:
            self._release_claim()
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
        """Report the end of the last attempt, if its grant is still held."""
        attempt = self.ledger.attempts[-1] if self.ledger.attempts else None
        if attempt and attempt.grant is not None and self.name in self.router.running:
            self.router.record_attempt_end(self, attempt)

    def _release_claim(self):
        """Release the claimed key of a call that was never sent."""
        if (
            self.claim_result is not None
            and self.release_result is None
            and not is_fault(self.ledger.claim)
        ):
            self.release_result = self.router.claims.release(self.claim_key, self.name, self.digest)

    async def _claim(self):
        """Claim the call's idempotency key before the granted attempt is sent.

        While the chain is being repaired, a claim can take long. The slot of a new conversation is
        then handed back after CLAIM_WAIT_MS instead of staying unused; an open conversation keeps
        its slot.
        """
        attempt = self.ledger.attempts[-1]
        self.claim_result = self.claim_result or self.router.claims.claim(
            self.claim_key, self.name, self.digest
        )
        bound_ms = min(CLAIM_WAIT_MS if attempt.grant.is_start else 1e9, self._remaining_wait_ms())
        await asyncio.wait([self.claim_result], timeout=bound_ms / 1000)
        if self.claim_result.done():
            self.ledger.claim = self.claim_result.result()
        if self.ledger.claim is not True:
            attempt.fault = NO_CLAIM
            self._close_attempt()
            attempt.grant = None
            self.router.telemetry.count["slotsHandedBack"] += 1

    def _remaining_wait_ms(self):
        """Return how long the call may still wait for a grant, at least 1 ms."""
        return max(1, min(self.ledger.wait_until_ms, self.ledger.horizon_ends_ms) - self.now_ms())

    async def _wait_for_claim(self):
        """Wait until a pending claim is decided, as a grant could not be used before.

        Returns False if the call's wait ends first.
        """
        if self.claim_result is None or self.ledger.claim is True:
            return True
        await asyncio.wait([self.claim_result], timeout=self._remaining_wait_ms() / 1000)
        return self.claim_result.done()

    async def _request_grant(self):
        """Begin a new attempt: wait for lease and claim, check the call, and ask for a grant.

        The configuration, and with it the digests of the prompt, may have changed since the last
        attempt. An attempt that was refused a grant is replaced, so it doesn't count.
        """
        last_attempt = self.ledger.attempts[-1] if self.ledger.attempts else None
        if last_attempt and last_attempt.grant is None:
            self.ledger.attempts.pop()
            if last_attempt.fault.code != QUEUE_TIMEOUT.code:
                await asyncio.sleep(min(0.2, (last_attempt.fault.retry_ms or 100) / 1000))
        attempt = Attempt(len(self.ledger.attempts) + 1)
        self.ledger.attempts.append(attempt)
        if not await self.router.lease.wait(self.ledger.wait_until_ms / 1000):
            attempt.fault = NO_LEASE
            return
        self.held = self.router.lease.held
        if not await self._wait_for_claim():
            attempt.fault = NO_CLAIM
            return
        scope = self._prefix_scope(self.held.document)
        if self.held.tenant_by_key.get(self.key_digest) != self.tenant:
            attempt.fault = BAD_API_KEY
            return
        if scope is None or self.body.model not in self.held.document.routes:
            attempt.fault = NO_ROUTE.with_reason(self.body.model)
            return
        if not self.router.workers.is_fresh():
            attempt.fault = STALE_WORKER_LIST
            return
        self._name_prefixes(scope)
        attempt.fault = await self._ask_coordinator(attempt)

    def _prefix_scope(self, document):
        """Return the scope of this call's prefixes under a configuration; None if it allows no call."""
        model, tenant = (
            document.models.get(self.route.model),
            document.tenants.get(self.tenant),
        )
        if model is None or tenant is None:
            return None
        group = group_of(self.tenant, tenant.apart)
        cache_group = cache_group_of(group, shared_cache_generation(document))
        return PrefixScope(model.weights, group, cache_group)

    def _name_prefixes(self, scope):
        """Compute the digests of the prompt's prefixes if their scope has changed.

        Those of the conversation depend on the prompt alone, so that it keeps its admission when
        cached prefixes get other names.
        """
        if scope == self.scope:
            return
        if self.scope is None:
            self.talk = chain_of("", "", self.body.parts)
        self.scope = scope
        self.chain = chain_of(scope.weights, scope.cache_group, self.body.parts)

    async def _ask_coordinator(self, attempt):
        """Ask the model's coordinator for a grant; return a fault, or None if it was granted."""
        coordinator = self.router.coordinator_of(self.route.model)
        if coordinator is None:
            return NO_COORDINATOR
        slice_ms, asked_s = int(min(self._remaining_wait_ms(), WAIT_SLICE_MS)), self.loop.time()
        ask = GrantAsk(
            router=self.router.me.name,
            call=self.name,
            attempt=attempt.number,
            tenant=self.tenant,
            model=self.route.model,
            group=self.scope.group,
            chain=self.chain,
            talk=self.talk,
            weights=self.scope.weights,
            wait_ms=slice_ms,
            avoid=self.avoid,
            conversation=self.conversation,
            waited_ms=int((asked_s - self.start_s) * 1000),
            was_granted=self.was_granted,
            size=sum(map(len, self.body.parts[:-1])),
        )
        grant = await self.router.ask_coordinator(coordinator, ask, slice_ms + 300)
        if is_fault(grant):
            return grant
        fault = self.router.accept_grant(self, attempt, grant, asked_s)
        if fault is None:
            attempt.grant, self.conversation, self.was_granted = grant, grant.conversation, True
        return fault

    def _check_before_send(self, attempt):
        """Return a fault if the attempt must not be sent any more, else None.

        Called right before the first byte is sent: it checks all that may have expired while the
        process was frozen.
        """
        router = self.router
        if not router.lease.is_held():
            return NO_LEASE
        held = router.lease.held
        if (
            self._prefix_scope(held.document) != self.scope
            or held.tenant_by_key.get(self.key_digest) != self.tenant
        ):
            return NO_LEASE.with_reason("configuration changed meanwhile", 200)
        if not router.workers.may_take(attempt.grant.worker):
            return STALE_WORKER_LIST.with_reason("worker drains, is gone, or the list is old", 200)
        if not router.is_grant_valid(self.name):
            return NO_COORDINATOR.with_reason("grant lapsed", 200)
        if self.now_ms() >= self.ledger.horizon_ends_ms:
            return QUEUE_TIMEOUT
        return None

    async def _send(self):
        """Carry out the granted attempt: fetch the prefix, connect to the worker, run the call."""
        attempt = self.ledger.attempts[-1]
        if attempt.grant.fetch_from:
            await self._fetch_prefix(attempt)
        ip, _, port = attempt.grant.url.rpartition(":")
        self.link = await connect(ip, int(port), max(50, min(1000, self._remaining_wait_ms())))
        if is_fault(self.link):
            attempt.fault, self.link = self.link, None
            self.avoid.append(attempt.grant.worker)
        else:
            attempt.fault = self._check_before_send(attempt)
            if attempt.fault is not None:
                self.router.telemetry.count[f"looks.{attempt.fault.code}"] += 1
            else:
                self.router.telemetry.count["legsSent"] += 1
                attempt.was_sent = True
                self.router.record_attempt_sent(attempt)
                attempt.fault = await self._run_at_worker(attempt)
                if attempt.fault is not None and attempt.was_sent:
                    self.router.telemetry.count["legsFailed"] += 1
                    self.avoid.append(attempt.grant.worker)
                    self.ledger.wait_until_ms = self.now_ms() + min(
                        self.route.waitMs, RETRY_WAIT_MS
                    )
            if self.link:
                self.link.close()
        if attempt.fault is not None:
            self._close_attempt()
            if not attempt.was_sent and attempt.fault.code != WORKER_UNREACHABLE.code:
                attempt.grant = None

    async def _fetch_prefix(self, attempt):
        """Let the worker fetch the cached prefix from where the grant says.

        A source that fails or takes over 80 % of the time bound is reported as slow.
        """
        bound_ms = int(max(50, min(attempt.grant.fetch_ms, self._remaining_wait_ms())))
        start_ms = self.now_ms()
        response = await fetch_json(
            attempt.grant.url,
            "POST",
            "/v1/fetch",
            {
                "from": attempt.grant.fetch_from,
                "chain": [link.hex() for link in self.chain],
                "weights": self.scope.weights,
                "group": self.scope.cache_group,
                "withinMs": bound_ms,
                "call": self.name,
            },
            timeoutMs=bound_ms,
        )
        took_ms = int(self.now_ms() - start_ms)
        self.slow_from = (
            attempt.grant.fetch_from if is_fault(response) or took_ms > 0.8 * bound_ms else ""
        )
        parts = (
            response[1].get("parts", 0)
            if not is_fault(response) and isinstance(response[1], dict)
            else 0
        )
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

    slow_from, key_digest = "", ""

    async def _run_at_worker(self, attempt):
        """Send the call to the worker and relay its output; return a fault, or None if complete.

        A worker that has other weights loaded did not run the call, so the attempt then counts as
        not sent.
        """
        body = msgspec.json.encode(
            {
                "run": self.run_id(),
                "call": self.name,
                "weights": self.scope.weights,
                "group": self.scope.cache_group,
                "parts": self.body.parts,
                "maxTokens": self.body.maxTokens,
                "route": self.body.model,
                "tenant": self.tenant,
                "key": self.claim_key,
            }
        )
        left_s = max(0.05, self.ledger.horizon_ends_ms / 1000 - self.loop.time())
        try:
            async with asyncio.timeout(min(left_s, self.route.firstPieceMs / 1000)):
                response = await self.link.exchange(
                    "POST",
                    "/v1/run",
                    [("content-type", "application/json")],
                    body,
                    attempt.grant.url,
                )
            if is_fault(response):
                return (
                    response
                    if response.code != BAD_BACKEND_RESPONSE.code
                    else BAD_WORKER_OUTPUT.with_reason(response.reason)
                )
            if response.status == WEIGHTS_MISMATCH.status:
                attempt.was_sent = False
                return NO_WORKER.with_reason("worker has other weights", 200)
            if response.status != 200:
                return WORKER_REFUSED.with_reason(f"status {response.status}")
            return await self._relay_pieces(attempt, response)
        except TimeoutError:
            return self._timeout_fault()

    def _timeout_fault(self):
        """Return the fault for a worker that did not send its next output in time."""
        return HORIZON_REACHED if self.now_ms() >= self.ledger.horizon_ends_ms else WORKER_SILENT

    async def _relay_pieces(self, attempt, response):
        """Pass the worker's pieces on; return a fault, or None once the last one has arrived."""
        lines, expected_seq, self.pieces = response.lines(), 0, []
        while True:
            left_s = self.ledger.horizon_ends_ms / 1000 - self.loop.time()
            bound_ms = self.route.pieceMs if expected_seq else self.route.firstPieceMs
            try:
                async with asyncio.timeout(max(0.01, min(left_s, bound_ms / 1000))):
                    line = await anext(lines, None)
            except TimeoutError:
                return self._timeout_fault()
            if line is None:
                fault = (
                    response.fault
                    if response.fault is not None
                    else WORKER_LOST.with_reason("stream ended early")
                )
                return (
                    fault
                    if fault.code != BAD_BACKEND_RESPONSE.code
                    else BAD_WORKER_OUTPUT.with_reason(fault.reason)
                )
            if not line.strip():
                continue
            piece = self._parse_piece(line, expected_seq)
            if is_fault(piece):
                return piece
            expected_seq += 1
            if piece.get("end"):
                usage = piece.get("usage")
                self.usage = usage if isinstance(usage, dict) else {}
                attempt.is_whole = True
                return None
            attempt.delivered += 1 if self.body.stream else 0
            await self._deliver_piece(piece)

    def _parse_piece(self, line, expected_seq):
        """Parse a piece of the worker's output; return a fault unless it is the expected one."""
        if not line.startswith(b"data:"):
            return BAD_WORKER_OUTPUT.with_reason("line is not data")
        try:
            piece = msgspec.json.decode(line[5:])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return BAD_WORKER_OUTPUT.with_reason(str(error))
        if not isinstance(piece, dict) or piece.get("run") != self.run_id():
            return BAD_WORKER_OUTPUT.with_reason("piece of another run")
        if piece.get("seq") != expected_seq or not isinstance(piece.get("text", ""), str):
            return BAD_WORKER_OUTPUT.with_reason(
                f"piece {piece.get('seq')} where {expected_seq} was due"
            )
        return piece

    usage = {}

    async def _deliver_piece(self, piece):
        """Send a piece to the client, or collect it for a response in one piece."""
        if not self.body.stream:
            self.pieces.append(piece.get("text", ""))
            return
        self._begin_response()
        await self._send_event(
            {
                "call": self.name,
                "run": piece["run"],
                "seq": piece["seq"],
                "text": piece.get("text", ""),
            }
        )

    def _begin_response(self):
        """Send the headers of a streamed response, if they were not sent yet."""
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

    async def _send_event(self, body, name=""):
        event_line = f"event: {name}\n".encode() if name else b""
        await self.exchange.send_chunk(event_line + b"data: " + msgspec.json.encode(body) + b"\n\n")

    async def _confirm_not_run(self, fault):
        """Return the final fault of a call that was never sent, once its key is released.

        The fault promises "not run", so a retry with the same key must find it free. If that isn't
        certain within RELEASE_WAIT_MS, the fault is CLAIM_UNRELEASED.
        """
        self._release_claim()
        if self.release_result is None:
            return fault
        await asyncio.wait([self.release_result], timeout=RELEASE_WAIT_MS / 1000)
        return (
            fault
            if self.release_result.done()
            else CLAIM_UNRELEASED.with_reason(fault.reason or fault.name, fault.retry_ms or None)
        )

    async def end_at_shutdown(self):
        """End the call because the router's time to shut down is over.

        The final response depends on what was sent so far.
        """
        return await self._finish(NextAction.GIVE_UP, self.ledger.final_fault(ROUTER_STOPPING))

    async def _finish(self, action, fault):
        """Send the final response: the end of the output, or a fault."""
        attempt = self.ledger.attempts[-1] if self.ledger.attempts else None
        self._close_attempt()
        if action is NextAction.FINISH:
            self.router.telemetry.count["callsServed"] += 1
            body = {
                "call": self.name,
                "run": self.run_id(),
                "end": True,
                "legs": len(self.ledger.sent_attempts()),
                "usage": self.usage,
                "worker": attempt.grant.worker,
                "waitedMs": attempt.grant.waited_ms,
            }
            if not self.body.stream:
                text = {"text": "".join(self.pieces)}
                return await self.exchange.send_json(200, body | text, [("call-id", self.name)])
            self._begin_response()
            await self._send_event(body)
            return self.exchange.finish()
        if fault.notRun:
            fault = await self._confirm_not_run(fault)
        self.router.telemetry.count[f"faults.{fault.code}"] += 1
        self.router.decisions.add(
            "final", call=self.name, tenant=self.tenant, code=fault.code, why=fault.name
        )
        sent_attempts = self.ledger.sent_attempts()
        details = {"call": self.name} | (
            {"worker": sent_attempts[-1].grant.worker} if sent_attempts else {}
        )
        if self.begun:
            await self._send_event(fault.as_body() | details, "error")
            return self.exchange.finish()
        return await self.exchange.give_fault(fault, [("call-id", self.name)], **details)
