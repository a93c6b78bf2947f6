"""A request that the gateway forwards to a worker: its ledger of attempts determines the next action."""

import asyncio
import re

import h11

from swiftdeck.fault import (
    BAD_BACKEND_RESPONSE,
    BAD_WORKER_OUTPUT,
    CLIENT_CLOSED,
    DEADLINE_PASSED,
    NO_WORKER,
    NO_WORKER_CAPACITY,
    RETRY_BUDGET_EXHAUSTED,
    ROUTER_STOPPING,
    STREAM_BROKEN,
    WORKER_FULL,
    WORKER_LOST,
    WORKER_SILENT,
    WORKER_UNREACHABLE,
    is_fault,
)
from swiftdeck.gateway.call_trace import CallTrace
from swiftdeck.gateway.interfaces import PROMISES, UpstreamRequest, Verdict
from swiftdeck.gateway.ledger import Attempt, Ledger, NextAction, next_action
from swiftdeck.gateway.patience import silence_limit_s
from swiftdeck.gateway.place_search import PlaceSearch
from swiftdeck.gateway.places import Wish
from swiftdeck.http.cuts import CutReason

EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)\r?\n")
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_DATA = re.compile(rb"(?:^|\n)data:")
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
BODILESS_STATUSES = (204, 304)
HALF_CLOSED_S = 0.25
"""How long after its client half-closed the connection a non-repeatable request may still take to reach a worker."""
DEADLINE_MARGIN_S = 0.015
STREAMING_MARGIN_S = 2 * DEADLINE_MARGIN_S
"""A final answer of the router is due DEADLINE_MARGIN_S before the client's deadline. An answer that has begun, or that a worker
still computes, may use all of the client's time."""


def _without_transfer_encoding(headers):
    """Return the headers for an answer that has no body, by its status or method, and so must not announce chunks."""
    return [each for each in headers if each[0].lower() != b"transfer-encoding"]


def _is_behind(event_id: bytes, last_event_id: str) -> bool:
    """Return whether an event's id is not above the id of the last event that was relayed."""
    return event_id.isdigit() and last_event_id.isdecimal() and int(event_id) <= int(last_event_id)


class ProxiedRequest:
    """Drives one client request to its final answer, over one or more attempts at workers."""

    def __init__(self, gateway, exchange, request, route, tenant, start_s):
        self.gateway, self.exchange, self.request, self.route, self.tenant = (
            gateway,
            exchange,
            request,
            route,
            tenant,
        )
        self.loop, self.start_s = asyncio.get_running_loop(), start_s
        path = route.path
        self.service = route.service(gateway.random.random())
        left_s = min(request.time_left_ms, path.timeout_ms) / 1000
        self.ledger = Ledger(
            path.repeatable, path.resumable, path.tries, start_s + left_s - DEADLINE_MARGIN_S
        )
        self.avoid, self.link, self.place, self.worker = set(), None, None, None
        self.last_event, self.partial_event, self.is_long = (
            request.last_event,
            b"",
            gateway.placing.is_long(request),
        )
        self.aim_s = (path.target_ms or 1000) / 1000
        self.salt, self.version = "", 0
        self.is_isolated = gateway.isolates(tenant)
        self.is_sending_to_client, self.first_event_ms, self.reading_ms = False, 0, 0.0
        self.trace = self._new_trace() if gateway.draws_call_trace(self.is_long) else None

    def _new_trace(self):
        shared = self.request.shared()
        return CallTrace(
            tokens=self.request.prompt_tokens,
            shared_tokens=sum(part.tokens for part in shared),
            part=shared[0].name if shared else "",
        )

    def _elapsed_ms(self):
        return int((self.loop.time() - self.start_s) * 1000)

    def _left_s(self):
        return self.ledger.deadline_s - self.loop.time()

    async def serve(self):
        """Make attempts until the request has its final answer.

        Work stops at once when the client has left, and at the end of the router's drain at the latest.
        """
        try:
            await self.gateway.requests.run(self._run_attempts, self._end_early, self)
        finally:
            self._release_worker()
            if self.trace is not None:
                self.trace.ended_ms = self._elapsed_ms()
                self.gateway.telemetry.log_event(
                    "long call", request=self.request.name, **self.trace.fields()
                )

    async def _run_attempts(self):
        """Take the actions that the ledger calls for, until one of them is the final answer."""
        handlers = {NextAction.PLACE: self._choose_worker, NextAction.SEND: self._run_attempt}
        self.exchange.watch_client(self._client_ended)
        while True:
            if self._is_abandoned():
                return await self._end_early()
            action, fault = next_action(self.ledger, self.loop.time())
            if action not in handlers:
                return await self._send_final_answer(action, fault)
            await handlers[action]()

    def _client_ended(self):
        """Stop the work for a client that has left: now, or when a non-repeatable request hasn't reached a worker in time."""
        self._end_if_abandoned()
        self.loop.call_later(HALF_CLOSED_S + DEADLINE_MARGIN_S, self._end_if_abandoned)

    def _end_if_abandoned(self):
        if self._is_abandoned():
            self.gateway.requests.interrupt(self)

    def _is_abandoned(self) -> bool:
        """Return whether the client has ended its side and the request may be given up.

        A non-repeatable request that has reached a worker can't be withdrawn. A client that only half-closed its
        connection still gets that answer, provided that the request reaches a worker within HALF_CLOSED_S.
        """
        path, exchange = self.route.path, self.exchange
        if path.repeatable or path.streaming:
            return exchange.has_client_ended()
        may_have_run = any(each.may_have_run() for each in self.ledger.attempts)
        return not may_have_run and exchange.has_client_ended(HALF_CLOSED_S)

    async def _end_early(self):
        """Send the final answer that the attempts so far allow; an answer that has begun can only be aborted."""
        self._release_worker()
        if self._is_abandoned():
            counter, fault, reason = "endedWithClient", CLIENT_CLOSED, CutReason.CLIENT_LEFT
        else:
            counter, fault, reason = "endedWithWork", ROUTER_STOPPING, CutReason.END_OF_WORK
        self.gateway.telemetry.count[counter] += 1
        if self.exchange.begun:
            return self.exchange.abort(reason)
        fault = self.ledger.verdict(fault)
        self.gateway.telemetry.count[f"faults.{fault.code}"] += 1
        return await self.gateway.refuse(self.exchange, fault, self.request)

    def _release_worker(self):
        """Close the connection, leave the worker's counts of running calls and release the place at its owner."""
        if self.link is not None:
            self.link.close()
            self.link = None
        if self.worker is not None:
            self.worker.running -= 1
            self.worker.running_long -= self.is_long
            self.worker = None
        if self.place is not None:
            self.gateway.admission.end_call(self.place, self.first_event_ms)
            self.place, self.first_event_ms = None, 0

    async def _choose_worker(self):
        """Choose a worker for the next attempt; a long prompt also needs a place in the worker's slot table."""
        self._release_worker()
        gateway, ledger = self.gateway, self.ledger
        attempt = Attempt(len(ledger.attempts) + 1)
        sent = ledger.sent()
        ledger.attempts.append(attempt)
        worker = await self._admitted_worker(attempt)
        if worker is not None and sent and not gateway.budget.draw(self.service):
            gateway.telemetry.count["budgetRefusals"] += 1
            attempt.fault, worker = RETRY_BUDGET_EXHAUSTED, None
        attempt.worker = worker

    async def _admitted_worker(self, attempt):
        """Return the worker for an attempt, or None with the fault noted in the attempt.

        Workers that failed this request are left out; a repeatable request may return to them when there is no other. A
        short call gets the first candidate with a free slot, or the first one when all are full.
        """
        gateway, request = self.gateway, self.request
        workers = gateway.eligible(self.service, request.model)
        untried = [each for each in workers if each.name not in self.avoid] or (
            workers if self.ledger.repeatable else []
        )
        isolated_tenant = self._isolated_tenant()
        salts = {each.name: gateway.salt(request.model, each, isolated_tenant) for each in untried}
        if self.is_long:
            return await self._find_placement(attempt, untried, salts)
        candidates = gateway.placing.order_short(
            untried, gateway.worker_registry.serving(self.service)
        )
        if not candidates:
            attempt.fault = NO_WORKER
            return None
        with_free_slot = [
            each for each in candidates if each.running < each.listed.slots
        ] or candidates[:1]
        return with_free_slot[0]

    async def _find_placement(self, attempt, workers, salts):
        """Return a worker whose slot table admits this long call, or None with the fault noted in the attempt."""
        search = PlaceSearch(self.gateway, self, workers, salts)
        costs = search.costs()
        if not costs:
            attempt.fault = NO_WORKER
            return None
        placement = await search.find(costs)
        if placement is None:
            self.gateway.telemetry.count["refusedForRoom"] += 1
            attempt.fault = NO_WORKER_CAPACITY
            return None
        self.place, self.reading_ms = placement.wish, placement.reading_ms
        if self.trace is not None:
            self.trace.placed_ms = self._elapsed_ms()
        return placement.worker

    def wish(self, worker, tokens_to_read: int) -> Wish:
        """Return the admission request for a place at a worker."""
        request = self.request
        return Wish(
            request.name,
            f"{self.tenant}/{request.parts[-1].name if request.parts else request.name}",
            self.tenant,
            worker.name,
            request.prompt_tokens,
            self.ledger.deadline_s,
            tokens_to_read,
        )

    async def _run_attempt(self):
        """Carry out the latest attempt; after a fault its worker is avoided and the connection closed."""
        attempt = self.ledger.attempts[-1]
        worker = self.worker = attempt.worker
        worker.running += 1
        worker.running_long += self.is_long
        attempt.fault = await self._send_to_worker(attempt, worker)
        if attempt.fault is not None:
            self.avoid.add(worker.name)
            if self.link is not None:
                self.link.close()
                self.link = None

    async def _send_to_worker(self, attempt, worker):
        """Send the request to a worker and relay its answer; return the attempt's fault, or None."""
        gateway = self.gateway
        connection = await gateway.pool.acquire(worker, self._left_s())
        if is_fault(connection):
            if connection.code == WORKER_UNREACHABLE.code:
                gateway.judge.note_failure(worker)
            return connection
        self.link = connection
        if self.loop.time() >= self.ledger.deadline_s:
            return DEADLINE_PASSED
        if not gateway.is_usable(self.request.model, worker.knows(self.request.model)):
            self._release_connection()
            return NO_WORKER.with_reason("the worker's weights have become too old")
        upstream_request = self._upstream_request(worker)
        self._check_admission()
        fault = self.link.send_request(
            self.request.method,
            self.request.target,
            gateway.worker_codec.head(self.request, upstream_request),
            self.request.body,
        )
        if fault is not None:
            return fault
        attempt.was_sent, sent_s = True, self.loop.time()
        gateway.telemetry.count["attemptsSent"] += 1
        gateway.count_old_weights_sent(self.request.model, self.version)
        gateway.check_weights(self.request.model, self.version, sent_s, "sent")
        head = await self._await_head(worker, sent_s)
        if head is None:
            return WORKER_SILENT
        if is_fault(head):
            if head.code != DEADLINE_PASSED.code:
                gateway.judge.note_failure(worker, not self.link.is_reused)
            return (
                head
                if head.code != BAD_BACKEND_RESPONSE.code
                else BAD_WORKER_OUTPUT.with_reason(head.reason)
            )
        return await self._handle_head(attempt, worker, head, sent_s)

    def _check_admission(self):
        """Count an invariant violation when a request is forwarded outside the drain's limits.

        A request that arrived after the end of admission must not reach a worker, and none may be sent after the end of work.
        """
        drain = self.gateway.drain
        if self.start_s < drain.admission_end_s and self.loop.time() < drain.work_end_s:
            return
        self.gateway.telemetry.count["invariant.passedOnAfterAdmissionEnd"] += 1
        self.gateway.telemetry.log_event(
            "request passed on after the end of admission",
            request=self.request.name,
            phase=drain.phase(self.loop.time()).value,
        )

    async def _await_head(self, worker, sent_s):
        """Return the head of the answer, a fault, or None when another worker should be tried.

        Silence never ends a non-repeatable request, nor an attempt at a worker that answers other requests meanwhile. A
        request that may still be queued at its worker is withdrawn before it could start on weights that are too old.
        """
        reading = asyncio.ensure_future(self._read_head())
        try:
            until_s = sent_s + self._silence_limit_s()
            while True:
                start_limit_s = self.gateway.must_begin_by_s(self.request.model, self.version)
                wake_s = min(until_s, self.ledger.deadline_s, start_limit_s)
                await asyncio.wait([reading], timeout=max(0.001, wake_s - self.loop.time()))
                if reading.done():
                    return reading.result()
                if self.loop.time() >= self.ledger.deadline_s:
                    return DEADLINE_PASSED
                if self.loop.time() >= start_limit_s:
                    self.gateway.telemetry.count["oldWeightsTakenBack"] += 1
                    return None
                if worker.answered_s < sent_s and self._can_retry_elsewhere(worker):
                    self.gateway.judge.note_failure(worker, False)
                    return None
                until_s = self.loop.time() + 0.1
        finally:
            reading.cancel()

    def _silence_limit_s(self):
        """Return for how many seconds a worker may send nothing before it can count as silent."""
        reading_ms = self.reading_ms if self.gateway.policy.patience else 0.0
        return silence_limit_s(self.aim_s, reading_ms)

    def _can_retry_elsewhere(self, worker):
        """Return whether the retry rules and the budget allow another attempt, and another worker answered within the last second."""
        ledger, gateway = self.ledger, self.gateway
        return (
            ledger.repeatable
            and len(ledger.sent()) < ledger.tries
            and gateway.budget.has(self.service)
            and any(
                each is not worker
                and each.name not in self.avoid
                and each.answered_s > self.loop.time() - 1.0
                for each in gateway.eligible(self.service, self.request.model)
            )
        )

    def _upstream_request(self, worker):
        gateway, request = self.gateway, self.request
        version = gateway.version(request.model, worker)
        self.version = version
        self.salt = gateway.salt(request.model, worker, self._isolated_tenant())
        source = gateway.placing.source(request, worker, self.salt)
        target = gateway.placing.target(request, self.salt)
        gateway.telemetry.count["fetches"] += bool(source)
        if self.trace is not None:
            self._trace_attempt(worker, source, target)
        return UpstreamRequest(
            worker.name,
            self.tenant,
            max(1, int((self._left_s() + DEADLINE_MARGIN_S) * 1000)),
            gateway.urgency(self.route, self.tenant, self.is_long),
            str(version) if version else "",
            self.salt,
            source,
            target,
            self.last_event,
        )

    def _isolated_tenant(self) -> str | None:
        """Return the tenant whose parts alone this request may use if it is sent now; None if it may share.

        While the request waits, or between two attempts, its tenant may be removed, become isolated
        or cease to be. The request stays isolated once it was, as other routers may still obey the
        configuration in which it is. Without the lease for sharing there may be a newer configuration
        that isolates any tenant, so nothing is shared then.
        """
        self.is_isolated = self.is_isolated or self.gateway.isolates(self.tenant)
        may_share = not self.is_isolated and self.gateway.lease.may_share_caches()
        return None if may_share else self.tenant

    def _trace_attempt(self, worker, source, target):
        """Record in the trace what the router assumes about caches when it sends the request."""
        trace, kept, shared = self.trace, self.gateway.kept, self.request.shared()
        trace.worker, trace.salt, trace.source, trace.target = (
            worker.name,
            self.salt,
            source,
            target,
        )
        trace.kept_here = kept.tokens(worker.name, self.salt, shared)
        holders = kept.holders(self.salt, shared)
        trace.kept_elsewhere = kept.tokens(holders[0], self.salt, shared) if holders else 0
        trace.sent_ms = self._elapsed_ms()
        trace.attempts += 1

    async def _read_head(self):
        """Return the head of the answer to this request, or a fault; answers to earlier requests are skipped."""
        while True:
            event = await self.link.event()
            if is_fault(event):
                return event
            if not isinstance(event, h11.Response):
                return BAD_WORKER_OUTPUT.with_reason("no head where one was due")
            headers = list(event.headers.raw_items())
            self.verdict = self.gateway.worker_codec.verdict(
                self.request, event.status_code, headers
            )
            if self.verdict is not Verdict.FOREIGN:
                return event.status_code, headers
            self.gateway.telemetry.count["surplusAnswers"] += 1
            self.link.must_close = True
            fault = await self.link.skip_response()
            if fault is not None:
                return fault

    async def _handle_head(self, attempt, worker, head, sent_s):
        """Decide by the head of an answer whether to relay it; return the attempt's fault, or None.

        An answer isn't relayed when it is a rejection, invalid, or a failure that another attempt may avoid, that comes after
        the client's answer has begun, or whose status would promise that the request didn't run.
        """
        gateway, (status, headers) = self.gateway, head
        self.link.note_head(headers)
        codec = gateway.worker_codec
        version, is_from_worker = codec.version(headers), codec.worker(headers) in ("", worker.name)
        if version and is_from_worker and self.verdict is not Verdict.BAD:
            gateway.worker_registry.learn(worker, {self.request.model: version})
            if self.verdict is Verdict.ANSWER and version < self.version:
                gateway.check_weights(self.request.model, version, sent_s, "answered")
        if self.verdict in (Verdict.NOT_RUN, Verdict.ELSEWHERE):
            attempt.has_not_run = True
            gateway.telemetry.count[f"turnedAway.{status}"] += 1
            if self.verdict is Verdict.ELSEWHERE and worker.knows(self.request.model):
                self._log_rejection(worker, headers)
            if self.verdict is Verdict.ELSEWHERE and not is_from_worker:
                gateway.worker_registry.drop(worker.name)
            elif self.verdict is Verdict.ELSEWHERE and not version:
                gateway.worker_registry.forget_version(worker, self.request.model)
            await self._discard_body()
            return WORKER_FULL.with_reason(f"status {status}")
        if self.verdict is Verdict.BAD:
            gateway.telemetry.count[f"badAnswers.{status}"] += 1
            gateway.judge.note_failure(worker)
            return BAD_WORKER_OUTPUT.with_reason(f"status {status} without a seal")
        if self.verdict is Verdict.FAILURE:
            gateway.judge.note_failure(worker, False)
            if (
                self.ledger.repeatable
                and len(self.ledger.sent()) < self.ledger.tries
                or self.ledger.has_begun
                or status in PROMISES
            ):
                return WORKER_LOST.with_reason(f"status {status}")
        if self.ledger.has_begun and not 200 <= status < 300:
            return WORKER_LOST.with_reason(f"status {status} where a stream was to be taken up")
        return await self._relay(attempt, worker, status, headers, sent_s)

    def _log_rejection(self, worker, headers):
        """Log the version and id that a worker reported when it rejected a request, next to the version assumed here."""
        codec = self.gateway.worker_codec
        self.gateway.telemetry.log_event(
            "turned away",
            worker=worker.name,
            believed=self.version,
            version=codec.version(headers),
            answered=codec.worker(headers),
        )

    async def _discard_body(self):
        """Read a rejection to its end, so that its connection can be reused."""
        try:
            async with asyncio.timeout(0.05):
                while not is_fault(event := await self.link.event()):
                    if isinstance(event, h11.EndOfMessage):
                        return self._release_connection()
        except TimeoutError:
            pass

    async def _relay(self, attempt, worker, status, headers, sent_s):
        """Relay an answer as it arrives; only complete events where the stream could be resumed at another worker."""
        self.partial_event, self.is_sending_to_client = b"", False
        is_bodiless = status in BODILESS_STATUSES or self.request.method == b"HEAD"
        if not self.ledger.has_begun:
            passed_on = self.gateway.worker_codec.passed_on(headers)
            self.exchange.begin(
                status, _without_transfer_encoding(passed_on) if is_bodiless else passed_on
            )
            self.ledger.has_begun = True
        is_good = 200 <= status < 300
        is_framed = is_bodiless or any(name.lower() in FRAMING_HEADERS for name, _ in headers)
        try:
            async with asyncio.timeout_at(self.ledger.deadline_s + STREAMING_MARGIN_S):
                fault = await self._relay_body(worker, is_framed, is_good, sent_s)
        except TimeoutError:
            if not self.is_sending_to_client:
                self.gateway.judge.note_failure(worker, False)
            return DEADLINE_PASSED
        if fault is not None:
            self.gateway.judge.note_failure(worker, not self.link.is_reused)
            return (
                fault
                if fault.code != BAD_BACKEND_RESPONSE.code
                else BAD_WORKER_OUTPUT.with_reason(fault.reason)
            )
        attempt.is_whole = True
        if self.trace is not None:
            self.trace.whole_ms = self._elapsed_ms()
        self.gateway.on_request_answered(self.request, worker, self.salt, self.is_long and is_good)
        self._release_connection()
        return None

    async def _relay_body(self, worker, is_framed, is_good, sent_s):
        """Relay a body to its end.

        Returns a fault when the body has no definite end, or when it repeats events that the client already has.
        """
        is_first, is_stream = True, self.ledger.resumable and is_good
        while True:
            event = await self.link.event()
            if is_fault(event):
                return event
            if isinstance(event, h11.EndOfMessage):
                if not is_framed:
                    return STREAM_BROKEN.with_reason("answer has no length")
                if self.partial_event:
                    await self._send_chunk(self.partial_event)
                return None
            if is_first and is_good:
                elapsed_ms = (self.loop.time() - sent_s) * 1000
                self.gateway.judge.note_answer(worker, None if self.is_long else elapsed_ms)
                self.first_event_ms = max(1, int(elapsed_ms))
            if is_first and self.trace is not None:
                self.trace.first_event_ms = self._elapsed_ms()
            is_first = False
            fault = await self._relay_chunk(bytes(event.data), is_stream, worker)
            if fault is not None:
                return fault

    async def _send_chunk(self, data):
        self.is_sending_to_client = True
        await self.exchange.send_chunk(data)
        self.is_sending_to_client = False

    def _release_connection(self):
        self.gateway.pool.release(self.link)
        self.link = None

    async def _relay_chunk(self, data, is_stream, worker):
        """Relay a chunk of a body; of a resumable stream only complete events, noting the last event's id.

        A stream with data events that carry no id can't be resumed any more. Returns a fault when the stream repeats an
        event that the client has.
        """
        if not is_stream:
            return await self._send_chunk(data)
        self.partial_event += data
        end = max((match.end() for match in EVENT_END.finditer(self.partial_event)), default=0)
        if not end:
            return None
        complete_events, self.partial_event = self.partial_event[:end], self.partial_event[end:]
        version = self.gateway.worker_codec.versions_in(complete_events)
        if version:
            self.gateway.worker_registry.learn(worker, {self.request.model: version})
        event_ids = EVENT_ID.findall(complete_events)
        if event_ids and _is_behind(event_ids[0], self.last_event):
            return STREAM_BROKEN.with_reason("stream was taken up before its last event")
        if event_ids:
            self.last_event = event_ids[-1].decode("latin-1")
        elif EVENT_DATA.search(complete_events):
            self.ledger.resumable = False
        return await self._send_chunk(complete_events)

    async def _send_final_answer(self, action, fault):
        """Finish the answer, abort one that has begun, or send the fault, as the ledger's action says."""
        count = self.gateway.telemetry.count
        if action is NextAction.FINISH:
            count["callsServed"] += 1
            return self.exchange.finish()
        count[f"faults.{fault.code}"] += 1
        if action is NextAction.BREAK:
            count["streamsBroken"] += 1
            is_late = fault.code == DEADLINE_PASSED.code
            return self.exchange.abort(
                CutReason.DEADLINE if is_late else CutReason.WORKER_BROKE_OFF
            )
        self._release_worker()
        return await self.gateway.refuse(self.exchange, fault, self.request)
