"""A router process: serves clients, sends attempts to workers, and coordinates models."""

import asyncio
import json
from collections import Counter

import attrs
import msgspec

from swiftdeck.chain.change_writer import ChangeWriter
from swiftdeck.chain.cluster_map import ClusterMap
from swiftdeck.config.document import key_digest
from swiftdeck.control.node import Node
from swiftdeck.fault import (
    BAD_API_KEY,
    BAD_METHOD,
    BAD_OPERATOR_KEY,
    BAD_REQUEST,
    NO_LEASE,
    NO_ROUTE,
    NOT_COORDINATOR,
    NOT_FOUND,
    ROUTER_STOPPING,
    STALE_TERM,
    TOO_LARGE,
    TOO_MANY_CALLS,
    WORKER_LOST,
    WORKER_UNREACHABLE,
    is_fault,
)
from swiftdeck.http.drain import Drain, DrainTimes, OpenRequests
from swiftdeck.http.server import HttpServer
from swiftdeck.traffic.call import Call, CallBody
from swiftdeck.traffic.claims import Claims
from swiftdeck.traffic.coordinator import AdmissionCoordinator
from swiftdeck.traffic.decisions import Decisions
from swiftdeck.traffic.lease import ConfigLease
from swiftdeck.traffic.workers import WorkerList
from swiftdeck.wire.messages import (
    AttemptEnd,
    CallRenewal,
    CallRenewalReturn,
    GrantAsk,
    GrantDrop,
    OpenAsk,
    OpenConversation,
    OpenReturn,
)

COORDINATOR_OUTAGE_S = 15.0
"""How long past its idle limit a conversation is remembered, to outlast a coordinator's outage."""
CLIENT_PROBE_PERIOD_S = 0.2
"""How often a client that has closed its sending side is sent a sign of life."""
DRAIN_POLL_S, LAST_ANSWERS_S = 0.05, 0.6
"""How often a stopping router checks for open calls, and how long their last bytes may take."""


@attrs.define
class GrantedCall:
    """A call for whose current attempt this router holds a grant.

    `term` is the coordinator's term, `asked_s` when the grant was asked for or last renewed.
    """

    call: object
    model: str
    term: int
    asked_s: float


@attrs.define
class ServedConversation:
    """What this router remembers of a conversation, to report it to a new coordinator.

    `report` is what is sent to that coordinator; `is_start` is set while the conversation's first
    attempt has not been sent.
    """

    report: OpenConversation
    model: str
    idle_since_s: float
    is_start: bool = False


@attrs.frozen
class CoordinatorContact:
    """The term of a coordinator and its last timestamp, by its own clock in milliseconds."""

    term: int
    stamp_ms: int


class Router(Node):
    """A router of the fleet; it keeps nothing on disk."""

    def __init__(self, settings, random, log=None):
        super().__init__(settings, "router", random, log)
        self.cluster_map = ClusterMap(self.mesh, self.membership, self.news)
        self.change_writer = ChangeWriter(self.mesh, self.cluster_map)
        self.lease = ConfigLease(
            self.me, self.mesh, self.membership, self.cluster_map, self.telemetry
        )
        self.workers = WorkerList(
            settings.platform,
            self.mesh,
            self.membership,
            self.telemetry,
            settings.listMs,
            settings.listOldMs,
        )
        self.claims = Claims(self.me.name, self.change_writer, random, self.telemetry)
        self.drain = Drain(DrainTimes(0.0, settings.stopMs / 1000))
        self.calls = OpenRequests(self.drain)
        self.http = HttpServer(
            self.handle,
            settings.bodyBytes,
            note=self.telemetry.log_event,
            drain=self.drain,
            limits=settings.server_limits(),
        )
        self.coordinators, self.known_coordinators, self.running, self.served = {}, {}, {}, {}
        self.coordinator_contacts: dict[str, CoordinatorContact] = {}
        self.news.watch("duty/keeper/", self.on_coordinator_news)
        for kind, handler, is_bound in (
            (GrantAsk, self.on_grant_ask, True),
            (AttemptEnd, self.on_attempt_end, False),
            (GrantDrop, self.on_grant_drop, False),
            (OpenAsk, self.on_open_ask, False),
            (CallRenewal, self.on_call_renewal, False),
        ):
            self.mesh.register(kind, handler, is_bound)

    async def start(self):
        """Join the fleet and start serving."""
        self.loop = asyncio.get_running_loop()
        self.decisions = Decisions(self.loop.time)
        self.lease.watchers.append(self.on_config)
        await self.start_node()
        for component in (self.cluster_map, self.lease, self.workers, self.claims):
            component.start()
        self.tasks = [asyncio.ensure_future(self._renew_calls_periodically())]
        ip, _, port = self.settings.http.rpartition(":")
        await self.http.start(ip, int(port))
        self.telemetry.log_event(
            "router started", addr=self.settings.inner, http=self.settings.http
        )

    async def stop(self):
        """Refuse new calls, finish open ones within the bound, and return leases and duties."""
        self.calls.begin_drain(self.loop.time())
        self.decisions.wake()
        self.http.close_resting()
        while self.open and self.loop.time() < self.drain.work_end_s + LAST_ANSWERS_S:
            await asyncio.sleep(DRAIN_POLL_S)
        self.http.stop()
        await self.http.finish(LAST_ANSWERS_S, WORKER_LOST)
        await asyncio.gather(
            self.lease.hand_back(),
            *(coordinator.duty.hand_back() for coordinator in self.coordinators.values()),
        )
        self.telemetry.log_event("router stopped", open=self.open)
        self.mesh.close()

    @property
    def open(self) -> int:
        """The number of calls without a final answer."""
        return len(self.calls)

    @property
    def stopping(self) -> bool:
        """Whether this process was told to stop."""
        return self.drain.has_begun()

    def counters(self):
        """Return all counters of the process by name."""
        return dict(Counter(super().counters()) + self.http.count)

    def on_config(self, held):
        """Run an admission coordinator for exactly the models of the configuration."""
        models = held.document.models
        for name in [name for name in self.coordinators if name not in models]:
            self.coordinators.pop(name).stop()
        for name in [name for name in models if name not in self.coordinators]:
            self.coordinators[name] = AdmissionCoordinator(name, self)
            self.coordinators[name].start()

    def on_coordinator_news(self, key, term, body):
        """Record the newest coordinator of a model and its term."""
        model = key.removeprefix("duty/keeper/")
        if term > self.known_coordinators.get(model, (0, ""))[0]:
            self.known_coordinators[model] = (term, json.loads(body)["addr"])
        coordinator = self.coordinators.get(model)
        if coordinator:
            coordinator.duty.seen_term = max(coordinator.duty.seen_term, term)

    def coordinator_of(self, model):
        """Return (term, address) of the newest known coordinator of a model, or None."""
        coordinator = self.coordinators.get(model)
        if coordinator and coordinator.duty.is_held():
            return coordinator.duty.term, self.me.addr
        return self.known_coordinators.get(model)

    async def ask_coordinator(self, coordinator, ask, timeout_ms):
        """Send a GrantAsk to a coordinator, which may be this process, and return the answer."""
        if coordinator[1] == self.me.addr:
            return await self.on_grant_ask(ask, self.me.addr)
        return await self.mesh.request(coordinator[1], ask, timeout_ms)

    def tell_coordinator(self, model, message):
        """Send an AttemptEnd or GrantDrop to the coordinator of a model, if one is known."""
        coordinator = self.coordinator_of(model)
        if coordinator is None:
            return
        if coordinator[1] == self.me.addr:
            {AttemptEnd: self.on_attempt_end, GrantDrop: self.on_grant_drop}[type(message)](
                message, self.me.addr
            )
        else:
            self.mesh.send(coordinator[1], message)

    def accept_grant(self, call, attempt, grant, asked_s):
        """Record a grant; return STALE_TERM if a newer coordinator is known, else None."""
        model = call.route.model
        if grant.term < self.known_coordinators.get(model, (0, ""))[0]:
            return STALE_TERM.with_reason(f"grant of term {grant.term}", 50)
        self.running[call.name] = GrantedCall(call, model, grant.term, asked_s)
        report = OpenConversation(
            conversation=grant.conversation,
            tenant=call.tenant,
            group=call.scope.group,
            worker=grant.worker,
            last=call.talk[-1],
            parts=len(call.chain),
            call=call.name,
            weights=call.scope.weights,
            attempt=attempt.number,
        )
        self.served[grant.conversation] = ServedConversation(
            report, model, self.loop.time(), grant.is_start
        )
        return None

    def record_attempt_sent(self, attempt):
        """Mark the conversation of an attempt as open: a byte may have been sent."""
        served = self.served.get(attempt.grant.conversation)
        if served:
            served.report.is_sent, served.is_start = True, False

    def is_grant_valid(self, name) -> bool:
        """Whether a grant may still be used.

        It is valid for `grantMs` from the sending of the ask or of the newest renewal, and only
        while no newer coordinator is known.
        """
        running = self.running.get(name)
        return (
            running is not None
            and self.loop.time() - running.asked_s <= self.settings.grantMs / 1000
            and running.term >= self.known_coordinators.get(running.model, (0, ""))[0]
        )

    def record_attempt_end(self, call, attempt):
        """Report the end of an attempt to the coordinator, and remember its conversation."""
        del self.running[call.name]
        served = self.served.get(attempt.grant.conversation)
        if served:
            served.idle_since_s = self.loop.time()
            if served.is_start and not attempt.was_sent:
                del self.served[attempt.grant.conversation]
            if served.report.call == call.name:
                served.report.call = ""
        usage = call.usage if attempt.is_whole else {}
        hits, parts = usage.get("hitParts", 0), usage.get("parts", 0)
        is_counted = (
            isinstance(hits, int) and isinstance(parts, int) and 0 <= hits <= parts < 1 << 31
        )
        is_over = (call.is_last or call.route.single) and (
            attempt.is_whole or attempt.fault is None or attempt.was_sent
        )
        if is_over:
            self.served.pop(attempt.grant.conversation, None)
        self.tell_coordinator(
            call.route.model,
            AttemptEnd(
                router=self.me.name,
                call=call.name,
                attempt=attempt.number,
                conversation=attempt.grant.conversation,
                model=call.route.model,
                is_over=is_over,
                hits=hits if is_counted else 0,
                parts=parts if is_counted else 0,
                never_sent=not attempt.was_sent,
                is_bad=attempt.fault is not None and attempt.fault.code == WORKER_UNREACHABLE.code,
                slow_from=call.slow_from,
                earlier=attempt.grant.earlier,
            ),
        )

    async def on_grant_ask(self, ask, sender):
        """Answer a GrantAsk, if this process coordinates the model."""
        coordinator = self.coordinators.get(ask.model)
        if (
            coordinator is None
            or not coordinator.duty.is_held()
            and coordinator.term != coordinator.duty.term
        ):
            return NOT_COORDINATOR
        if not ask.chain or not ask.talk or not ask.call:
            return BAD_REQUEST
        return await coordinator.on_grant_ask(ask, sender)

    def on_attempt_end(self, end, sender):
        """Pass an AttemptEnd to the coordinator of its model, if this process has one."""
        coordinator = self.coordinators.get(end.model)
        return coordinator.on_attempt_end(end, sender) if coordinator else None

    def on_grant_drop(self, drop, sender):
        """Pass a GrantDrop to the coordinator of its model, if this process has one."""
        coordinator = self.coordinators.get(drop.model)
        return coordinator.on_grant_drop(drop, sender) if coordinator else None

    async def on_call_renewal(self, renewal, sender):
        """Renew the grants of a router, if this process coordinates the model."""
        coordinator = self.coordinators.get(renewal.model)
        return (
            await coordinator.on_call_renewal(renewal, sender) if coordinator else NOT_COORDINATOR
        )

    def on_open_ask(self, ask, sender):
        """Report the conversations that run here, or ran here recently, to a new coordinator.

        One whose first attempt was granted but not sent is left out. Conversations that were idle
        for too long are forgotten.
        """
        known = self.known_coordinators.get(ask.model, (0, ""))
        if ask.term < known[0]:
            return STALE_TERM.with_reason(f"term {known[0]} is known")
        self.known_coordinators[ask.model] = (ask.term, ask.keeper)
        model = self.lease.held.document.models.get(ask.model) if self.lease.held else None
        idle_s, now_s, reports = (model.idleMs / 1000 if model else 10.0), self.loop.time(), []
        for name, served in list(self.served.items()):
            if (
                not served.report.call
                and now_s - served.idle_since_s > idle_s + COORDINATOR_OUTAGE_S
            ):
                del self.served[name]
            elif served.model == ask.model and (
                served.report.is_sent or not served.report.call or not served.is_start
            ):
                served.report.idle_ms = (
                    0 if served.report.call else int((now_s - served.idle_since_s) * 1000)
                )
                reports.append(served.report)
        return OpenReturn(conversations=reports)

    async def _renew_calls_periodically(self):
        """Renew the granted calls of each model at its coordinator, every `holdMs`.

        Beyond 20,000 remembered conversations only the newest 10,000 are kept.
        """
        while True:
            await asyncio.sleep(self.settings.holdMs / 1000)
            by_model = {}
            for name, running in self.running.items():
                by_model.setdefault(running.model, []).append(name)
            for model, calls in by_model.items():
                coordinator = self.coordinator_of(model)
                if coordinator:
                    asyncio.ensure_future(self._renew_calls(coordinator, model, calls))
            if len(self.served) > 20000:
                self.served = dict(list(self.served.items())[-10000:])

    async def _renew_calls(self, coordinator, model, calls):
        """Send a CallRenewal; extend the grants of the calls that the coordinator knows."""
        sent_s = self.loop.time()
        contact = self.coordinator_contacts.get(model, CoordinatorContact(coordinator[0], 0))
        renewal = CallRenewal(
            router=self.me.name,
            model=model,
            calls=calls,
            term=coordinator[0],
            heard_ms=contact.stamp_ms if contact.term == coordinator[0] else 0,
        )
        response = await (
            self.on_call_renewal(renewal, self.me.addr)
            if coordinator[1] == self.me.addr
            else self.mesh.request(coordinator[1], renewal, 1000)
        )
        if not is_fault(response):
            lost = set(response.lost) if isinstance(response, CallRenewalReturn) else set()
            if isinstance(response, CallRenewalReturn):
                self.coordinator_contacts[model] = CoordinatorContact(
                    coordinator[0], response.stamp_ms
                )
            self.telemetry.count["grantsLapsed"] += len(lost)
            for running in [
                self.running[name] for name in calls if name in self.running and name not in lost
            ]:
                running.asked_s = (
                    max(running.asked_s, sent_s)
                    if running.term == coordinator[0]
                    else running.asked_s
                )

    async def handle(self, exchange):
        """Handle a request of a client or an operator."""
        path = exchange.path.rstrip("/")
        if path == "/v1/calls":
            if exchange.method != "POST":
                return BAD_METHOD
            return await self._handle_call(exchange)
        key = self.settings.operatorKey
        if key and exchange.headers.get("authorization") != f"Bearer {key}":
            return BAD_OPERATOR_KEY
        if path == "/v1/status":
            return await exchange.send_json(200, self.status())
        if path == "/v1/counters":
            return await exchange.send_json(200, self.counters())
        if path == "/v1/decisions":
            return await self._stream_decisions(exchange)
        if path.startswith("/v1/explain/"):
            return await exchange.send_json(
                200, {"decisions": self.decisions.about(path.rsplit("/", 1)[1])}
            )
        return NOT_FOUND

    async def _handle_call(self, exchange):
        """Serve a call, while watching for a client that closes its sending side."""
        self.telemetry.count["calls"] += 1
        if self.stopping:
            return self._refuse(ROUTER_STOPPING)
        if self.open >= self.settings.callsOpen:
            return self._refuse(TOO_MANY_CALLS)
        call = None

        async def serve():
            nonlocal call
            call = await self._parse_call(exchange)
            return self._refuse(call) if is_fault(call) else await call.serve()

        async def end():
            return (
                await call.end_at_shutdown()
                if isinstance(call, Call)
                else self._refuse(ROUTER_STOPPING)
            )

        probe_tasks = []
        exchange.watch_client(
            lambda: probe_tasks.append(asyncio.ensure_future(self._probe_client(exchange)))
        )
        try:
            return await self.calls.run(serve, end)
        finally:
            for probe_task in probe_tasks:
                probe_task.cancel()

    async def _probe_client(self, exchange):
        """Find out whether a client that has closed its sending side still listens.

        If it closed the connection, it replies to the first bytes with a reset; sending the next
        bytes then fails, and the call is cancelled with its connection.
        """
        while not exchange.begun:
            exchange.show_life()
            await asyncio.sleep(CLIENT_PROBE_PERIOD_S)

    def _refuse(self, fault):
        """Count and return a fault by which a call is refused before it is served."""
        self.telemetry.count[f"faults.{fault.code}"] += 1
        return fault

    async def _parse_call(self, exchange):
        """Return the Call of a request, once a lease is held, or a fault."""
        try:
            body = msgspec.json.decode(exchange.body, type=CallBody)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return BAD_REQUEST.with_reason(str(error))
        if len(body.parts) > self.settings.partsMost:
            return TOO_LARGE.with_reason(f"more than {self.settings.partsMost} parts")
        held = self.lease.held
        route = held.document.routes.get(body.model) if held else None
        start_s, wait_s = self.loop.time(), (route.waitMs if route else 3000) / 1000
        if not await self.lease.wait(start_s + wait_s):
            return NO_LEASE
        held = self.lease.held
        scheme, _, key = exchange.headers.get("authorization", "").partition(" ")
        digest = key_digest(key.strip())
        tenant = held.tenant_by_key.get(digest) if scheme.lower() == "bearer" else None
        if tenant is None:
            return BAD_API_KEY
        route = held.document.routes.get(body.model)
        if route is None or route.tenants and tenant not in route.tenants:
            return NO_ROUTE.with_reason(body.model)
        if len(exchange.headers.get("idempotency-key", "")) > 200:
            return BAD_REQUEST.with_reason("Idempotency-Key is over 200 characters")
        call = Call(self, exchange, held, tenant, route, body, start_s)
        call.key_digest = digest
        return call

    async def _stream_decisions(self, exchange):
        """Stream the decisions after the number `since`, which counts for one `process` only.

        An empty line every 5 s without a decision keeps the connection alive.
        """
        since = exchange.query.get("since", "0")
        if not since.isdecimal():
            return BAD_REQUEST.with_reason("since is a number")
        process = f"{self.me.incarnation:x}"
        last_number = int(since) if exchange.query.get("process", process) == process else 0
        exchange.begin(
            200, [("content-type", "application/x-ndjson"), ("transfer-encoding", "chunked")]
        )
        await exchange.send_chunk(
            msgspec.json.encode({"kind": "process", "process": process, "name": self.me.name})
            + b"\n"
        )
        while not self.stopping:
            lost, items = self.decisions.since(last_number)
            dropped = [{"kind": "dropped", "count": lost}] if lost else []
            for item in [*dropped, *items]:
                await exchange.send_chunk(msgspec.json.encode(item) + b"\n")
            last_number = items[-1]["n"] if items else last_number
            if exchange.query.get("follow", "1") == "0":
                break
            with exchange.waiting_for_events():
                await self.decisions.wait_for_more(5.0)
            if not self.decisions.since(last_number)[1]:
                await exchange.send_chunk(b"\n")
        exchange.finish()

    def status(self):
        """Return the status of this process, for operators and the `doctor` command."""
        view, held = self.cluster_map.view, self.lease.held
        return {
            "name": self.me.name,
            "role": "router",
            "zone": self.me.zone,
            "stopping": self.stopping,
            "view": {
                "number": view.number,
                "members": [ref.addr for ref in view.members],
                "voters": [ref.addr for ref in view.voters],
            },
            "version": held.version if held else 0,
            "lease": self.lease.is_held(),
            "list": {
                "ageMs": self.workers.age_ms(),
                "fresh": self.workers.is_fresh(),
                "workers": [
                    msgspec.to_builtins(worker) for worker in self.workers.workers.values()
                ],
            },
            "keepers": {
                model: {"term": term, "addr": addr}
                for model, (term, addr) in self.known_coordinators.items()
            },
            "keeps": [
                coordinator.status()
                for coordinator in self.coordinators.values()
                if coordinator.duty.is_held()
            ],
            "clockMs": self.clockMs(),
            "shared": self.settings.shared(),
            "tasks": self.task_count(),
            "open": self.open,
            "running": len(self.running),
            "neighbours": self.neighbours(),
            "seeds": self.membership.seeds,
            "counters": self.counters(),
        }
