"""The process of an edge machine whose callers and workers speak a platform's way: what is decided is decided here."""

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
from swiftdeck.gateway.following import Following
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
from swiftdeck.http.server import HttpServer
from swiftdeck.runtime.ticks import next_tick
from swiftdeck.traffic.lease import ConfigLease
from swiftdeck.wire.messages import SwapNews, WorkerNews

OLD_WEIGHTS = "invariant.oldWeights"
LOST_S = 1.0
"""How long no majority of the cores is in reach before that counts as trouble of theirs, not of this process."""
LOOK_S = 0.02
ANSWERS_SHARE, HAND_BACK_SHARE, HAND_BACK_MOST_MS = 0.15, 0.45, 500
"""What the last answers and the return of the lease may take of the time that is left after the work."""
OPERATOR = "operator"
CALLERS = "callers"


class Gateway(Node):
    """Takes requests, places them, and passes answers on; it needs no disk."""

    def __init__(self, settings, codecs, random, log=None):
        super().__init__(settings, "router", random, log)
        self.me.http_addr = settings.opsHttp or settings.http
        self.client_codec, self.worker_codec, lists, caches = codecs
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
            self.judge.on_trouble = self.tell_trouble
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
        self.following = Following(
            self.admission, self.broadcast, self.kept, caches, self.telemetry
        )
        self.admission.on_read = self.following.will_keep
        self.pool = Pool(self.telemetry, settings.connectMs)
        self.pool.most = self.connections_most
        if self.policy.connections:
            self.placing.has_connection = self.pool.has_idle
        self.listing = Listing(
            self.me,
            self.mesh,
            self.membership,
            lists,
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
        self.http = HttpServer(
            self.handle, settings.bodyBytes, note=self.telemetry.log_event, drain=self.drain
        )
        self.ops = (
            HttpServer(self.operate, note=self.telemetry.log_event) if settings.opsHttp else None
        )
        self.routes, self.tenants = None, {}
        self.requests, self.lost_cores_s = OpenRequests(self.drain), -math.inf
        self.worker_registry.watchers.append(lambda: self.pool.follow(self.worker_registry.workers))
        self.broadcast.on(WorkerNews, self.on_worker_news)
        self.mesh.register(SwapNews, self.on_swap_news)

    async def start(self):
        """Join the fleet and serve."""
        self.loop = asyncio.get_running_loop()
        self.lease.watchers.append(self.on_config)
        await self.start_node()
        for part in (self.cluster_map, self.lease, self.admission, self.listing, self.following):
            part.start()
        self.task = asyncio.ensure_future(self._watching())
        ip, _, port = self.settings.http.rpartition(":")
        await self.http.start(ip, int(port))
        if self.ops:
            ip, _, port = self.settings.opsHttp.rpartition(":")
            await self.ops.start(ip, int(port))
        self.telemetry.log_event(
            "gateway started", addr=self.settings.inner, http=self.settings.http
        )

    async def stop(self):
        """Turn unready, take requests a little longer, finish what was taken, answer the rest, hand back, leave."""
        self.requests.begin_drain(self.loop.time())
        self.telemetry.log_event("gateway stops", open=self.open)
        await asyncio.sleep(self.drain.admission_end_s - self.loop.time())
        self.http.close_resting()
        self.telemetry.log_event("admission ended", open=self.open)
        answers_s = self.drain.times.after_work_s * ANSWERS_SHARE
        while self.open and self.loop.time() < self.drain.work_end_s + answers_s:
            await asyncio.sleep(LOOK_S)
        self.http.stop()
        await self.http.finish(answers_s, WORKER_LOST)
        await self.lease.hand_back(self._hand_back_ms())
        self.membership.leave()
        await asyncio.sleep(LOOK_S)
        self.telemetry.log_event("gateway stopped", open=self.open, **self.counters())
        self.mesh.close()

    def _hand_back_ms(self):
        left_ms = self.drain.times.after_work_s * 1000
        return min(HAND_BACK_MOST_MS, int(left_ms * HAND_BACK_SHARE))

    @property
    def open(self) -> int:
        """How many requests have no final answer yet."""
        return len(self.requests)

    @property
    def stopping(self) -> bool:
        """Whether this process was told to stop."""
        return self.drain.has_begun()

    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        return not self.stopping and self.routes is not None and bool(self.worker_registry.workers)

    def on_config(self, held):
        """Compile what each request needs."""
        document = held.document
        self.routes, self.tenants = RouteTable(document), held.tenant_by_key
        limits = document.limits.get(CALLERS)
        if limits:
            self.http.head_limit, self.http.body_limit = limits.head_bytes, limits.body_bytes
            self.http.slow_ms, self.http.idleMs = limits.head_wait_ms, limits.idle_ms
        self.placing.follow(document.services)
        self.following.stores = list(self.placing.stores)
        self.telemetry.set_fact(
            "edition", document.edition[OPERATOR].number if OPERATOR in document.edition else 0
        )

    @property
    def document(self):
        """The configuration held."""
        return self.lease.held.document

    def service_of(self, worker: str):
        """What the configuration says of a worker's service."""
        known = self.worker_registry.workers.get(worker)
        return (
            self.document.services.get(known.listed.service) if known and self.lease.held else None
        )

    def memory_of(self, worker: str) -> int:
        """Tokens that a worker can keep."""
        service = self.service_of(worker)
        return service.cache_tokens if service and service.cache_tokens else 1 << 40

    def connections_most(self, worker) -> int:
        """How many connections to a worker this router may have, of those that it accepts from all."""
        service = self.service_of(worker.name)
        most = service.connections_most if service else 0
        return max(2, int(most * 0.9) // max(1, len(self.admission.routers()))) if most else 64

    def eligible(self, service: str, model: str):
        """Workers that may take a request: ready, not about to be ordered, and on weights that may still be served."""
        now_s = self.loop.time()
        serving = self.worker_registry.serving(service)
        versions = {each.knows(model) for each in serving}
        usable = {version for version in versions if self.is_usable(model, version)}
        fit = [each for each in serving if each.knows(model) in usable]
        calm = [each for each in fit if each.swapping_until_s <= now_s]
        return calm or fit

    def is_usable(self, model: str, version: int) -> bool:
        """Whether requests may be sent now to a worker that is known to have a version, 0 where that isn't known.

        A worker of unknown version is asked for the newest one, and turns the request away if it has another.
        """
        if not version or self.loop.time() < self.old_weights.sent_until_s(model, version):
            return True
        return not self.lease.is_held() and self._has_lost_cores()

    def must_begin_by_s(self, model: str, version: int) -> float:
        """By when a worker has to answer a request that was sent for a version, infinity where it may take its time."""
        until_s = self.old_weights.awaited_until_s(model, version) if version else math.inf
        return math.inf if until_s < math.inf and self._has_lost_cores() else until_s

    def _has_lost_cores(self):
        """Whether no majority of the cores that vote is in reach, so that nobody can order workers either."""
        voters = {each.addr for each in self.cluster_map.voters()}
        in_reach = voters.intersection(self.membership.reachable("core"))
        return 2 * len(in_reach) <= len(voters)

    async def _watching(self):
        """Remember when the cores were last in trouble: as their tail says, and as it looks from here."""
        seen, lost_since_s = None, None
        while True:
            now_s = self.loop.time()
            now = (
                self.cluster_map.view.number,
                frozenset(each.incarnation for each in self.membership.alive("core")),
            )
            if now != seen or not self.lease.is_held() or self.lease.failures:
                seen, self.old_weights.suspected_s = now, now_s
            is_lost = not self.lease.is_held() and self._has_lost_cores()
            lost_since_s = (now_s if lost_since_s is None else lost_since_s) if is_lost else None
            if is_lost and now_s - lost_since_s > LOST_S:
                self.lost_cores_s = now_s
            changed_s = max(self.lease.core_changed_s, self.lost_cores_s)
            self.old_weights.follow_core(changed_s, self.lease.core_seen_s)
            await next_tick(0.25)

    def version(self, model: str, worker) -> int:
        """The version of the weights on which a request should run there, 0 where none is known."""
        return worker.knows(model) or self.old_weights.ages.newest(model)

    def note_sending(self, model: str, version: int):
        """Count a request that is sent on older weights, and the highest age of a newer naming at which one was."""
        outdated_s = self.old_weights.ages.outdated_s(model, version) if version else None
        if outdated_s is not None:
            count, age_ms = self.telemetry.count, int((self.loop.time() - outdated_s) * 1000)
            count["oldWeightsSent"] += 1
            count["oldWeightsAgeMostMs"] = max(count["oldWeightsAgeMostMs"], age_ms)

    def check_weights(self, model: str, version: int, sent_s: float, what: str):
        """Count a request that was sent to weights for which the bound had passed.

        Or that was answered on such weights, though it named newer ones.

        Holds whenever the cores can be reached; without a majority of them nobody could order the worker.
        """
        late_s = sent_s - self.old_weights.bound_until_s(model, version) if version else 0.0
        if late_s > 0 and not self._has_lost_cores():
            self.telemetry.count[OLD_WEIGHTS] += 1
            self.telemetry.log_event(
                "old weights", what=what, model=model, version=version, lateMs=int(late_s * 1000)
            )

    def salt(self, model: str, worker, tenant: str) -> str:
        """What prefixes are kept under: the weights, and the tenant that is kept apart."""
        entry, edition = self.document.tenants.get(tenant), self.document.edition.get(OPERATOR)
        shared = f".{edition.walls}" if edition and edition.walls else ""
        return f"{self.version(model, worker)}{'/' + tenant if entry and entry.apart else shared}"

    def urgency(self, route, tenant: str, is_long: bool) -> int:
        """The rank of a request, its tenant's where that says one, else its route's; short prompts go before all long ones.

        A short one costs a long one that it passes a few ms; behind one it would itself wait for hundreds.
        """
        entry = self.document.tenants.get(tenant)
        rank = entry.urgency if entry and entry.urgency is not None else route.path.urgency
        return max(0, min(4, rank)) + 5 * (is_long and self.policy.short_first)

    def logs_call(self, is_long: bool) -> bool:
        """Whether a call gets a line in the log: a drawn share of the long ones."""
        share = self.settings.longCallsLogged
        return is_long and self.telemetry.log is not None and self.random.random() < share

    def on_request_answered(self, request, worker, salt, is_kept):
        """A request was answered whole."""
        if is_kept:
            for part in request.shared():
                self.kept.keep(worker.name, salt, part.name, part.tokens)

    def tell_trouble(self, worker, for_ms):
        """Others should leave a worker alone as well."""
        self.broadcast.tell(WorkerNews(worker=worker.name, for_ms=for_ms))

    def on_worker_news(self, news, sender):
        """Leave a worker alone that failed at another router, unless it just answered here."""
        worker = self.worker_registry.workers.get(news.worker)
        if worker and self.loop.time() - worker.answered_s > 0.1:
            self.judge.shun(worker, min(news.for_ms, 2000) / 1000)

    def on_swap_news(self, news, sender):
        """Steer away from workers that are about to take new weights."""
        now_s = self.loop.time()
        for name in news.workers:
            worker = self.worker_registry.workers.get(name)
            if worker:
                worker.swapping_until_s = now_s + news.for_ms / 1000
                if news.version:
                    self.worker_registry.learn(worker, {news.model: news.version})

    async def handle(self, exchange):
        """One request of a client."""
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
        """One request of an operator."""
        key = self.settings.operatorKey
        if key and exchange.headers.get("authorization") != f"Bearer {key}":
            return BAD_OPERATOR_KEY
        told = {"/v1/status": self.status, "/v1/counters": self.counters}.get(
            exchange.path.rstrip("/")
        )
        return NOT_FOUND if told is None else await exchange.send_json(200, told())

    async def refuse(self, exchange, fault, request):
        """The final answer of a request that is given up."""
        self.telemetry.count[f"refused.{fault.code}"] += 1
        status, headers, body = self.client_codec.refusal(fault, request)
        await exchange.send_response(status, headers, body)

    def counters(self):
        """All counters of the process by name."""
        return dict(Counter(super().counters()) + self.http.count)

    def status(self):
        """What doctor and operators want to know of this process."""
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
