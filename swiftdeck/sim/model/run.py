"""Runs one schedule and checks it: the history seen by clients and the invariants of cores."""

import attrs

from swiftdeck.bench.history import ACKNOWLEDGED, History, Order, Source, Violation, check_history
from swiftdeck.sim.model.clients import VERSION_STEP, Clients
from swiftdeck.sim.model.cluster import CLIENTS, INNER_PORT, Cluster
from swiftdeck.sim.model.invariants import Breach, Invariant, fingerprint
from swiftdeck.sim.model.schedule import Action, Schedule

FIRST_ORDER = Order(0, 3, "first")
FOUNDING_LIMIT_S, SETTLE_LIMIT_S, ORDER_LIMIT_S = 20.0, 45.0, 40.0
CLOSING_LIMIT_S = 10.0


@attrs.define
class Outcome:
    """The result of running one schedule."""

    schedule: Schedule
    faults: list[Violation | Breach]
    labels: list[str]
    states: list[bytes]
    applied: list[Action]
    skipped: list[Action]
    history: History
    simulated_s: float

    def describe_faults(self) -> list[str]:
        """Return the violations and breaches as text."""
        names = {Violation: "clause", Breach: "invariant"}
        return [
            f"{getattr(fault, names[type(fault)]).value}: {fault.detail}" for fault in self.faults
        ]


class Run:
    """Runs one schedule from its first event to its outcome."""

    def __init__(self, schedule: Schedule):
        self.schedule, self.cluster = schedule, Cluster(schedule)
        self.history, self.states, self.statuses = History(), [], {}
        self.clients = Clients(
            self.history, self.cluster.operator_addrs, lambda: self.cluster.world.now
        )
        self.cluster.progress = lambda: sorted(self.statuses.items())
        self.cluster.points.watchers.append(self._on_point)

    def _on_point(self, number, label):
        self.cluster.invariants.check()
        self.states.append(fingerprint(self.cluster, label))

    def play(self) -> Outcome:
        """Run all phases: found the cluster, apply faults and orders, settle, close, and check."""
        cluster = self.cluster
        cluster.start_all()
        cluster.run(until=cluster.has_identities, limit_s=FOUNDING_LIMIT_S)
        cluster.points.is_recording = self.schedule.is_cold
        first = cluster.start_task("operators", lambda: self._order(FIRST_ORDER))
        cluster.run(until=first.done, limit_s=FOUNDING_LIMIT_S + SETTLE_LIMIT_S)
        self._require(first.done() and first.result() == ACKNOWLEDGED, "the first configuration")
        cluster.start_task("reader", self.clients.read_forever)
        if self.schedule.has_router:
            self._start_router()
            cluster.on_power_cut = self._restart_router
        cluster.watch_service()
        self._require(cluster.run(until=cluster.is_settled, limit_s=SETTLE_LIMIT_S), "at the start")
        cluster.has_settled = True
        if not self.cluster.invariants.breaches:
            self._apply_faults_and_settle()
            self._close()
        return self._outcome()

    def _start_router(self):
        addr = f"{CLIENTS['router']}:{INNER_PORT}"
        self.cluster.start_task(
            "router", lambda: self.clients.run_router(addr, self.cluster.core_addrs)
        )

    def _restart_router(self, after_s):
        """Cut the power of the router, which loses its lease, and start it again."""
        self.cluster.world.kill("router", silent=True)
        self.cluster.world.call_after(after_s, self._start_router)

    async def _order(self, order):
        return await self.clients.send_until_decided(order, ORDER_LIMIT_S)

    def _require(self, holds, what):
        if not holds:
            self.cluster.invariants.record_breach(Invariant.RECOVERS, what)

    def _apply_faults_and_settle(self):
        cluster, tasks = self.cluster, []
        cluster.points.is_recording = True
        for index, after_s in enumerate(self.schedule.orders):
            tasks.append(cluster.start_task("operators", self._operator(index, after_s)))
        self._require(
            cluster.run(
                until=lambda: all(task.done() for task in tasks), limit_s=ORDER_LIMIT_S * 2
            ),
            "orders without an end",
        )
        self._require(
            cluster.run(until=cluster.is_settled, limit_s=SETTLE_LIMIT_S), "after the faults"
        )
        cluster.points.is_recording = False

    def _operator(self, index, after_s):
        async def operate():
            self.statuses[index] = await self.clients.operate(
                f"by{index + 1}", after_s, ORDER_LIMIT_S
            )

        return operate

    def _close(self):
        """Send a closing order, repeat each earlier order once, and read at the end."""
        task = self.cluster.start_task("operators", self._closing)
        self.cluster.run(until=task.done, limit_s=SETTLE_LIMIT_S * 2)
        self._require(task.done() and task.result(), "the closing order")
        if self.cluster.is_settled():
            self.cluster.invariants.on_settled(self.cluster.acknowledged.first_s)

    async def _closing(self):
        clients = self.clients
        observation = await clients.read_until_answered(Source.READ)
        if observation is None:
            return False
        orders = {attempt.order for attempt in self.history.attempts}
        closing_order = Order(observation.number, observation.number + VERSION_STEP, "closing")
        status = await clients.send_until_decided(closing_order, CLOSING_LIMIT_S)
        for order in sorted(orders, key=lambda order: (order.number, order.body)):
            await clients.send(order)
        await clients.read_until_answered(Source.FINAL)
        return status == ACKNOWLEDGED

    def _outcome(self):
        cluster = self.cluster
        for name, context in cluster.world.faults:
            detail = f"{name}: {context.get('exception') or context.get('message')!r}"
            cluster.invariants.record_breach(Invariant.NO_CRASH, detail)
        faults = [*cluster.invariants.breaches, *check_history(self.history)]
        return Outcome(
            self.schedule,
            faults,
            cluster.points.labels,
            self.states,
            cluster.applied,
            cluster.skipped,
            self.history,
            cluster.world.now,
        )


def play(schedule: Schedule) -> Outcome:
    """Run a schedule and return its checked outcome."""
    return Run(schedule).play()
