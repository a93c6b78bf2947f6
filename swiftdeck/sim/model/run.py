"""Plays one schedule to its end and judges it: the history from outside, the invariants from inside."""

import attrs

from swiftdeck.bench.history import ACKNOWLEDGED, History, Order, Source, Violation, check_history
from swiftdeck.sim.model.clients import NUMBER_STEP, Clients
from swiftdeck.sim.model.cluster import CLIENTS, INNER_PORT, Cluster
from swiftdeck.sim.model.invariants import Breach, Invariant, fingerprint
from swiftdeck.sim.model.schedule import Action, Schedule

FIRST = Order(0, 3, "first")
FOUND_S, SETTLE_S, ORDER_S = 20.0, 45.0, 40.0
CLOSING_S = 10.0


@attrs.define
class Outcome:
    """What came of one schedule."""

    schedule: Schedule
    faults: list[Violation | Breach]
    labels: list[str]
    states: list[bytes]
    applied: list[Action]
    skipped: list[Action]
    history: History
    simulated_s: float

    def told(self) -> list[str]:
        """The faults in words."""
        names = {Violation: "clause", Breach: "invariant"}
        return [f"{getattr(each, names[type(each)]).value}: {each.detail}" for each in self.faults]


class Run:
    """One schedule from its first event to its verdict."""

    def __init__(self, schedule: Schedule):
        self.schedule, self.cluster = schedule, Cluster(schedule)
        self.history, self.states, self.statuses = History(), [], {}
        self.clients = Clients(self.history, self.cluster.doors, lambda: self.cluster.world.now)
        self.cluster.progress = lambda: sorted(self.statuses.items())
        self.cluster.points.watchers.append(self._on_point)

    def _on_point(self, number, label):
        self.cluster.invariants.check()
        self.states.append(fingerprint(self.cluster, label))

    def play(self) -> Outcome:
        """Found, order, strike, settle, close, judge."""
        cluster = self.cluster
        cluster.start_all()
        cluster.run(until=cluster.has_identities, limit_s=FOUND_S)
        cluster.points.is_open = self.schedule.is_cold
        first = cluster.begin("operators", lambda: self._order(FIRST))
        cluster.run(until=first.done, limit_s=FOUND_S + SETTLE_S)
        self._demand(first.done() and first.result() == ACKNOWLEDGED, "the first configuration")
        cluster.begin("reader", self.clients.reading)
        if self.schedule.has_router:
            self._start_router()
            cluster.on_power_cut = self._restart_router
        cluster.watch_service()
        self._demand(cluster.run(until=cluster.is_settled, limit_s=SETTLE_S), "at the start")
        cluster.has_settled = True
        if not self.cluster.invariants.breaches:
            self._strike_and_settle()
            self._close()
        return self._outcome()

    def _start_router(self):
        addr = f"{CLIENTS['router']}:{INNER_PORT}"
        self.cluster.begin("router", lambda: self.clients.renewing(addr, self.cluster.core_addrs))

    def _restart_router(self, after_s):
        """The router loses power with what it held."""
        self.cluster.world.kill("router", silent=True)
        self.cluster.world.call_after(after_s, self._start_router)

    async def _order(self, order):
        return await self.clients.insist(order, ORDER_S)

    def _demand(self, holds, what):
        if not holds:
            self.cluster.invariants.broke(Invariant.RECOVERS, what)

    def _strike_and_settle(self):
        cluster, tasks = self.cluster, []
        cluster.points.is_open = True
        for at, after_s in enumerate(self.schedule.orders):
            tasks.append(cluster.begin("operators", self._operator(at, after_s)))
        self._demand(
            cluster.run(until=lambda: all(each.done() for each in tasks), limit_s=ORDER_S * 2),
            "orders without an end",
        )
        self._demand(cluster.run(until=cluster.is_settled, limit_s=SETTLE_S), "after the faults")
        cluster.points.is_open = False

    def _operator(self, at, after_s):
        async def operate():
            self.statuses[at] = await self.clients.operate(f"by{at + 1}", after_s, ORDER_S)

        return operate

    def _close(self):
        """One more order, each earlier one once more, and the read at the end."""
        task = self.cluster.begin("operators", self._closing)
        self.cluster.run(until=task.done, limit_s=SETTLE_S * 2)
        self._demand(task.done() and task.result(), "the closing order")
        if self.cluster.is_settled():
            self.cluster.invariants.on_settled(self.cluster.acknowledged.first_s)

    async def _closing(self):
        clients = self.clients
        seen = await clients.read_until_it_comes(Source.READ)
        if seen is None:
            return False
        orders = {each.order for each in self.history.attempts}
        last = Order(seen.number, seen.number + NUMBER_STEP, "closing")
        status = await clients.insist(last, CLOSING_S)
        for order in sorted(orders, key=lambda each: (each.number, each.body)):
            await clients.send(order)
        await clients.read_until_it_comes(Source.FINAL)
        return status == ACKNOWLEDGED

    def _outcome(self):
        cluster = self.cluster
        for name, context in cluster.world.faults:
            detail = f"{name}: {context.get('exception') or context.get('message')!r}"
            cluster.invariants.broke(Invariant.NO_CRASH, detail)
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
    """Play a schedule and judge it."""
    return Run(schedule).play()
