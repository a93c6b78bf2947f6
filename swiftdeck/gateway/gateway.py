"""The router process: accepts client requests, chooses workers and relays answers in the platform's protocol."""

import asyncio
import math
from collections import Counter

from swiftdeck.chain.cluster_map import ClusterMap
from swiftdeck.config.document import key_digest
from swiftdeck.control.node import Node
from swiftdeck.fault import (
    BAD_API_KEY,
    BAD_OPERATOR_KEY,
    NO_LEASE,
    NO_ROUTE,
    NOT_FOUND,
    ROUTER_STOPPING,
    WORKER_LOST,
    is_fault,
)
from swiftdeck.gateway.admission import Admission
from swiftdeck.gateway.broadcast import Broadcast
from swiftdeck.gateway.cache_salt import cache_salt, is_isolated
from swiftdeck.gateway.following import CacheFollowers
from swiftdeck.gateway.health import Judge
from swiftdeck.gateway.kept import KeptTable
from swiftdeck.gateway.listing import Listing
from swiftdeck.gateway.old_weights import OldWeights
from swiftdeck.gateway.placing import Placing
from swiftdeck.gateway.pool import Pool
from swiftdeck.gateway.proxied_request import ProxiedRequest
from swiftdeck.gateway.routes import RouteTable
from swiftdeck.gateway.share import BudgetShare
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.http.drain import Drain, DrainTimes, OpenRequests
from swiftdeck.http.limits import OPERATIONS_BODY_BYTES, ServerLimits
from swiftdeck.http.server import HttpServer
from swiftdeck.runtime.ticks import next_tick
from swiftdeck.traffic.lease import ConfigLease
from swiftdeck.wire.messages import SwapNews, WorkerNews

OLD_WEIGHTS = "invariant.oldWeights"
CORES_LOST_S = 1.0
"""How long no majority of the cores must be reachable before this counts as their failure, not as one of this process."""
POLL_S = 0.02
ANSWERS_SHARE, HAND_BACK_SHARE, HAND_BACK_MOST_MS = 0.15, 0.45, 500
"""Shares of the time between the end of work and the exit that the last answers and the return of the lease may take; the
return takes HAND_BACK_MOST_MS at most."""
OPERATOR = "operator"
CLIENT_LIMITS = "callers"


class Gateway(Node):
    """A router: accepts requests, places them at workers and relays their answers. It stores nothing on disk."""

    def __init__(self, settings, codecs, random, log=None):
        super().__init__(settings, "router", random, log)
        self.me.http_addr = settings.opsHttp or settings.http
        self.client_codec, self.worker_codec, list_source, cache_source = codecs
        self.cluster_map = ClusterMap(self.mesh, self.membership, self.news)
        self.lease = ConfigLease(
            self.me, self.mesh, self.membership, self.cluster_map, self.telemetry, settings.renewMs
        )
        self.lease.peeks = True
        self.old_weights = OldWeights(
            self.lease.weight_ages, settings.oldWeightsMs / 1000, settings.weightsBoundMs / 1000
        )
        self.worker_registry, self.kept = WorkerRegistry(), KeptTable()
        self.judge = Judge(self.worker_registry, self.telemetry)
        self.policy = settings.policy
        self.judge.is_on = self.policy.judge
        if self.policy.sharing:
            self.judge.on_trouble = self.broadcast_trouble
        self.placing = Placing(
            settings.zone, self.judge, self.kept, random, settings.episodeTokens, self.policy
        )
        self.broadcast = Broadcast(self.me, self.mesh, self.membership, self.telemetry)
        self.admission = Admission(
            self.me,
            self.mesh,
            self.membership,
            self.worker_registry,
            self.telemetry,
            self.memory_of,
            self.broadcast,
            self.policy,
        )
        self.cache_followers = CacheFollowers(
            self.admission, self.broadcast, self.kept, cache_source, self.telemetry
        )
        self.admission.on_admitted = self.cache_followers.expect_parts
        self.pool = Pool(self.telemetry, settings.connectMs)
        self.pool.connection_limit = self.connection_limit
        if self.policy.connections:
            self.placing.has_connection = self.pool.has_idle
        self.listing = Listing(
            self.me,
            self.mesh,
            self.membership,
            list_source,
            self.worker_registry,
            self.telemetry,
            settings.listMs,
        )
        self.budget = BudgetShare(
            self.admission.routers,
            settings.budgetShare,
            settings.budgetExtra,
            settings.budgetWindowMs / 1000,
            lambda: self.lease.routers,
        )
        self.drain = Drain(DrainTimes(settings.leaveMs / 1000, settings.stopMs / 1000))
        limits = settings.server_limits()
        self.http = HttpServer(
            self.handle,
            settings.bodyBytes,
            note=self.telemetry.log_event,
            drain=self.drain,
            limits=limits,
        )
        self.ops = (
            HttpServer(
                self.operate,
                OPERATIONS_BODY_BYTES,
                note=self.telemetry.log_event,
                limits=ServerLimits.of_operations(settings.fileHandles),
            )
            if settings.opsHttp
            else None
        )
        self.routes, self.tenants = None, {}
        self.requests, self.cores_lost_s = OpenRequests(self.drain), -math.inf
        self.worker_registry.watchers.append(
            lambda: self.pool.close_except(self.worker_registry.workers)
        )
        self.broadcast.subscribe(WorkerNews, self.on_worker_news)
        self.mesh.register(SwapNews, self.on_swap_news)

    async def start(self):
        """Join the fleet, start all parts and serve HTTP."""
        self.loop = asyncio.get_running_loop()
        self.lease.watchers.append(self.on_config)
        await self.start_node()
        for part in (
            self.cluster_map,
            self.lease,
            self.admission,
            self.listing,
            self.cache_followers,
        ):
            part.start()
        self.task = asyncio.ensure_future(self._watch_cores())
        ip, _, port = self.settings.http.rpartition(":")
        await self.http.start(ip, int(port))
        if self.ops:
            ip, _, port = self.settings.opsHttp.rpartition(":")
            await self.ops.start(ip, int(port))
        self.telemetry.log_event(
            "gateway started", addr=self.settings.inner, http=self.settings.http
        )

    async def stop(self):
        """Drain and exit.

        The router turns unready, accepts requests until the end of admission, finishes those accepted, answers the rest with
        a fault, hands back its lease and leaves the fleet.
        """
        self.requests.begin_drain(self.loop.time())
        self.telemetry.log_event("gateway stops", open=self.open)
        await asyncio.sleep(self.drain.admission_end_s - self.loop.time())
        self.http.close_resting()
        self.telemetry.log_event("admission ended", open=self.open)
        answers_s = self.drain.times.after_work_s * ANSWERS_SHARE
        while self.open and self.loop.time() < self.drain.work_end_s + answers_s:
            await asyncio.sleep(POLL_S)
        self.http.stop()
        await self.http.finish(answers_s, WORKER_LOST)
        await self.lease.hand_back(self._hand_back_ms())
        self.membership.leave()
        await asyncio.sleep(POLL_S)
        self.telemetry.log_event("gateway stopped", open=self.open, **self.counters())
        self.mesh.close()

    def _hand_back_ms(self):
        left_ms = self.drain.times.after_work_s * 1000
        return min(HAND_BACK_MOST_MS, int(left_ms * HAND_BACK_SHARE))

    @property
    def open(self) -> int:
        """The number of requests without a final answer."""
        return len(self.requests)

    @property
    def stopping(self) -> bool:
        """Whether the drain of this process has begun."""
        return self.drain.has_begun()

    def is_ready(self) -> bool:
        """Return whether load balancers should send new connections here."""
        return not self.stopping and self.routes is not None and bool(self.worker_registry.workers)

    def on_config(self, held):
        """Apply a new configuration: compile its routes, limits and tenants."""
        document = held.document
        self.routes, self.tenants = RouteTable(document), held.tenant_by_key
        limits = document.limits.get(CLIENT_LIMITS)
        if limits:
            self.http.head_limit = limits.head_bytes
            self.http.allow_bodies(limits.body_bytes)
            self.http.slow_ms, self.http.idleMs = limits.head_wait_ms, limits.idle_ms
        self.placing.follow(document.services)
        self.cache_followers.stores = list(self.placing.stores)
        self.telemetry.set_fact(
            "edition", document.edition[OPERATOR].number if OPERATOR in document.edition else 0
        )

    @property
    def document(self):
        """The current configuration document."""
        return self.lease.held.document

    def service_of(self, worker: str):
        """Return the configuration of a worker's service, or None where the worker or the configuration is unknown."""
        entry = self.worker_registry.workers.get(worker)
        return (
            self.document.services.get(entry.listed.service) if entry and self.lease.held else None
        )

    def memory_of(self, worker: str) -> int:
        """Return how many tokens a worker's cache holds; practically unlimited where the configuration doesn't say."""
        service = self.service_of(worker)
        return service.cache_tokens if service and service.cache_tokens else 1 << 40

    def connection_limit(self, worker) -> int:
        """Return how many connections to a worker this router may open: its share of 90 % of those that the worker accepts."""
        service = self.service_of(worker.name)
        accepted = service.connections_most if service else 0
        return (
            max(2, int(accepted * 0.9) // max(1, len(self.admission.routers()))) if accepted else 64
        )

    def eligible(self, service: str, model: str):
        """Return the workers that may get a request: ready, and on weights that may still be served.

        Workers that are about to swap weights are left out while others remain.
        """
        now_s = self.loop.time()
        serving = self.worker_registry.serving(service)
        versions = {each.knows(model) for each in serving}
        usable = {version for version in versions if self.is_usable(model, version)}
        usable_workers = [each for each in serving if each.knows(model) in usable]
        not_swapping = [each for each in usable_workers if each.swapping_until_s <= now_s]
        return not_swapping or usable_workers

    def is_usable(self, model: str, version: int) -> bool:
        """Return whether requests may be sent now to a worker with a version of a model's weights, 0 for unknown.

        A request to a worker of unknown version names the newest one; the worker rejects it if it has another.
        """
        if not version or self.loop.time() < self.old_weights.sent_until_s(model, version):
            return True
        return not self.lease.is_held() and self._has_no_core_majority()

    def must_begin_by_s(self, model: str, version: int) -> float:
        """Return the loop time by which a worker must begin its answer to a request for a version, infinity without a limit."""
        until_s = self.old_weights.awaited_until_s(model, version) if version else math.inf
        return math.inf if until_s < math.inf and self._has_no_core_majority() else until_s

    def _has_no_core_majority(self):
        """Return whether no majority of the voting cores is reachable, in which case nobody can order workers to swap either."""
        voters = {each.addr for each in self.cluster_map.voters()}
        in_reach = voters.intersection(self.membership.reachable("core"))
        return 2 * len(in_reach) <= len(voters)

    async def _watch_cores(self):
        """Keep track of when the cores last failed or changed, as their tail reports it and as this router sees it."""
        last_core_state, lost_since_s = None, None
        while True:
            now_s = self.loop.time()
            core_state = (
                self.cluster_map.view.number,
                frozenset(each.incarnation for each in self.membership.alive("core")),
            )
            if core_state != last_core_state or not self.lease.is_held() or self.lease.failures:
                last_core_state, self.old_weights.suspected_s = core_state, now_s
            is_majority_lost = not self.lease.is_held() and self._has_no_core_majority()
            lost_since_s = (
                (now_s if lost_since_s is None else lost_since_s) if is_majority_lost else None
            )
            if is_majority_lost and now_s - lost_since_s > CORES_LOST_S:
                self.cores_lost_s = now_s
            changed_s = max(self.lease.core_changed_s, self.cores_lost_s)
            self.old_weights.follow_core(changed_s, self.lease.core_seen_s)
            await next_tick(0.25)

    def version(self, model: str, worker) -> int:
        """Return the version of the weights on which a request should run at a worker, 0 where none is known."""
        return worker.knows(model) or self.old_weights.ages.newest(model)

    def count_old_weights_sent(self, model: str, version: int):
        """Count a request that is sent to outdated weights, and keep the highest time in ms since a newer version was named."""
        outdated_s = self.old_weights.ages.outdated_s(model, version) if version else None
        if outdated_s is not None:
            count, age_ms = self.telemetry.count, int((self.loop.time() - outdated_s) * 1000)
            count["oldWeightsSent"] += 1
            count["oldWeightsAgeMostMs"] = max(count["oldWeightsAgeMostMs"], age_ms)

    def check_weights(self, model: str, version: int, sent_s: float, stage: str):
        """Count an invariant violation when a request was sent to, or answered on, weights older than the bound allows.

        `stage` is "sent", or "answered" when the answer came from older weights than the request named. Nothing is counted
        while no majority of the cores is reachable, as nobody could then order the worker to swap.
        """
        late_s = sent_s - self.old_weights.bound_until_s(model, version) if version else 0.0
        if late_s > 0 and not self._has_no_core_majority():
            self.telemetry.count[OLD_WEIGHTS] += 1
            self.telemetry.log_event(
                "old weights", what=stage, model=model, version=version, lateMs=int(late_s * 1000)
            )

    def isolates(self, tenant: str) -> bool:
        """Return whether the newest configuration keeps a tenant's cached parts from all others."""
        return is_isolated(self.document, tenant)

    def salt(self, model: str, worker, isolated_tenant: str | None) -> str:
        """Return the cache salt of a request that is sent now to a worker.

        Shared salts follow the newest configuration, however long the request has waited.
        """
        return cache_salt(self.document, self.version(model, worker), isolated_tenant)

    def urgency(self, route, tenant: str, is_long: bool) -> int:
        """Return the rank of a request, lower ones first: its tenant's if set, else its route's.

        While the policy `short_first` is on, short prompts rank before all long ones.
        A short prompt delays a long one that it overtakes by a few ms; behind it, it would itself wait for hundreds of ms.
        """
        entry = self.document.tenants.get(tenant)
        rank = entry.urgency if entry and entry.urgency is not None else route.path.urgency
        return max(0, min(4, rank)) + 5 * (is_long and self.policy.short_first)

    def draws_call_trace(self, is_long: bool) -> bool:
        """Return whether to log the trace of a call: a random share of the long ones."""
        share = self.settings.longCallsLogged
        return is_long and self.telemetry.log is not None and self.random.random() < share

    def on_request_answered(self, request, worker, salt, is_kept):
        """Record which shared parts a worker has cached after a complete answer."""
        if is_kept:
            for part in request.shared():
                self.kept.keep(worker.name, salt, part.name, part.tokens)

    def broadcast_trouble(self, worker, for_ms):
        """Tell all other routers to avoid a failing worker for a time."""
        self.broadcast.publish(WorkerNews(worker=worker.name, for_ms=for_ms))

    def on_worker_news(self, news, sender):
        """Avoid a worker that failed at another router, for 2 s at most, unless it answered here in the last 100 ms."""
        worker = self.worker_registry.workers.get(news.worker)
        if worker and self.loop.time() - worker.answered_s > 0.1:
            self.judge.shun(worker, min(news.for_ms, 2000) / 1000)

    def on_swap_news(self, news, sender):
        """Avoid workers that the news lists for its duration, as they load new weights; note their new version where it is given."""
        now_s = self.loop.time()
        for name in news.workers:
            worker = self.worker_registry.workers.get(name)
            if worker:
                worker.swapping_until_s = now_s + news.for_ms / 1000
                if news.version:
                    self.worker_registry.learn(worker, {news.model: news.version})

    async def handle(self, exchange):
        """Handle one request of a client."""
        start_s, count = self.loop.time(), self.telemetry.count
        count["calls"] += 1
        request = self.client_codec.read(exchange)
        if is_fault(request):
            return await self.refuse(exchange, request, None)
        exchange.name = request.name
        if not self.drain.admits(start_s):
            return await self.refuse(exchange, ROUTER_STOPPING, request)
        if self.routes is None:
            return await self.refuse(exchange, NO_LEASE, request)
        route = self.routes.find(request.host, request.path)
        if route is None:
            return await self.refuse(exchange, NO_ROUTE, request)
        tenant = self.tenants.get(key_digest(request.key), "") if request.key else ""
        edition = self.document.edition.get(OPERATOR)
        if not tenant and not route.path.public and (edition is None or edition.keyed):
            return await self.refuse(exchange, BAD_API_KEY, request)
        proxied_request = ProxiedRequest(self, exchange, request, route, tenant, start_s)
        self.budget.call(proxied_request.service)
        return await proxied_request.serve()

    async def operate(self, exchange):
        """Handle one request of an operator: status or counters."""
        key = self.settings.operatorKey
        if key and exchange.headers.get("authorization") != f"Bearer {key}":
            return BAD_OPERATOR_KEY
        report = {"/v1/status": self.status, "/v1/counters": self.counters}.get(
            exchange.path.rstrip("/")
        )
        return NOT_FOUND if report is None else await exchange.send_json(200, report())

    async def refuse(self, exchange, fault, request):
        """Send the final answer of a request that failed with a fault."""
        self.telemetry.count[f"refused.{fault.code}"] += 1
        status, headers, body = self.client_codec.refusal(fault, request)
        await exchange.send_response(status, headers, body)

    def counters(self):
        """Return all counters of the process by name."""
        return dict(Counter(super().counters()) + self.http.count)

    def status(self):
        """Return the status document of this process for the doctor command and operators."""
        view = self.cluster_map.view
        return {
            "name": self.me.name,
            "role": "router",
            "zone": self.me.zone,
            "stopping": self.stopping,
            "ready": self.is_ready(),
            "view": {
                "number": view.number,
                "members": [ref.addr for ref in view.members],
                "voters": [ref.addr for ref in view.voters],
            },
            "version": self.lease.held.version if self.lease.held else 0,
            "lease": self.lease.is_held(),
            "list": {
                "ageMs": self.listing.age_ms(),
                "fresh": self.listing.age_ms() <= self.settings.listOldMs,
                "workers": [],
            },
            "workers": {
                each.name: {
                    "service": each.listed.service,
                    "weights": each.weights,
                    "running": each.running,
                    "shunned": each.shunned_until_s > self.loop.time(),
                    "pace": round(self.worker_registry.pace(each, self.loop.time()), 1),
                }
                for each in self.worker_registry.workers.values()
            },
            "books": self.admission.place_table.status(),
            "keeps": [],
            "clockMs": self.clockMs(),
            "shared": self.settings.shared(),
            "tasks": self.task_count(),
            "open": self.open,
            "running": sum(each.running for each in self.worker_registry.workers.values()),
            "neighbours": self.neighbours(),
            "seeds": self.membership.seeds,
            "counters": self.counters(),
        }
