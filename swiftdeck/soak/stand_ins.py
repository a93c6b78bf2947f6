"""The platform around the site, in the soak's own process: list, store, balancer, workers."""

import asyncio
import random

from swiftdeck.bench.platform_api.balancer import Balancer
from swiftdeck.bench.platform_api.listing import WorkerList
from swiftdeck.bench.platform_api.store import PartStore
from swiftdeck.bench.platform_api.worker import PlatformWorker
from swiftdeck.soak.site import MODEL, MODEL_SERVICE, ZONES

SHOW_S, TOKEN_STEP_S, ROOM = 0.2, 0.02, 140000
CAPACITY = {MODEL_SERVICE: 12}
PLAIN_CAPACITY = 8
ORDER_DELAY_S, ORDERS_DELAYED = (0.5, 9.0), 3
"""How long orders are held up on their way, and how many of one worker in one trouble."""
PLAIN_WORK_S, SLOW_PATH, SLOW_WORK_S = 0.02, b"/slow-", (0.5, 4.5)


class SoakWorker(PlatformWorker):
    """A worker that also loses answers to orders, and takes long for some requests."""

    lost_answers_share = 0.0

    async def _order(self, exchange):
        if self.random.random() >= self.lost_answers_share:
            return await super()._order(exchange)
        give, exchange.send_json = exchange.send_json, self._give_nothing
        try:
            await super()._order(exchange)
        finally:
            exchange.send_json = give
        exchange.abort()

    @staticmethod
    async def _give_nothing(status, body):
        """The answer is lost on its way."""

    async def _answer(self, exchange, head, name, run, version, quirk, end_s):
        if exchange.target.startswith(SLOW_PATH):
            await asyncio.sleep(self.random.uniform(*SLOW_WORK_S))
        return await super()._answer(exchange, head, name, run, version, quirk, end_s)


class StandIns:
    """Starts the platform's parts, and crashes and mends its workers."""

    def __init__(self, site, record, seed):
        self.site, self.record, self.random = site, record, random.Random(seed)
        self.workers, self.lives, self.forgotten, self.tasks = {}, {}, set(), []
        self.named = {MODEL: 1}
        self.list = WorkerList(site.list_address, record("list"))
        self.store = PartStore(site.store_address, record("store"), self._random())
        self.balancer = Balancer({each.name: (each.http, each.operations) for each in site.routers})

    def _random(self):
        return random.Random(self.random.random())

    async def start(self):
        """Start list, store, balancer and all workers."""
        await self.list.start()
        await self.store.start()
        for name in self.site.workers:
            await self.start_worker(name)
        self.tasks = [
            asyncio.ensure_future(self._show()),
            asyncio.ensure_future(self.balancer.run()),
        ]

    async def _show(self):
        while True:
            self.list.show(self._entries())
            await asyncio.sleep(SHOW_S)

    def _entries(self):
        """What the platform sees of its workers; one that crashed stays until it is forgotten."""
        return [
            worker.entry() for name, worker in self.workers.items() if name not in self.forgotten
        ]

    def staying_workers(self):
        """The workers that run and aren't to leave, with the versions that they have."""
        return [
            {"worker": worker.name, "versions": dict(worker.versions)}
            for name, worker in self.workers.items()
            if name not in self.forgotten and not worker.is_leaving
        ]

    def is_named(self, model, version):
        """Whether a worker may take such weights."""
        return isinstance(version, int) and 1 <= version <= self.named.get(model, 1)

    async def start_worker(self, name):
        """Start a new life of a worker, on the weights named last."""
        service = name.rstrip("0123456789")
        life = self.lives[name] = self.lives.get(name, 0) + 1
        plan = {
            "id": f"{name}-{life}",
            "backend": service,
            "address": self.site.workers[name],
            "zone": ZONES[int(name[-1]) % len(ZONES)],
            "capacity": CAPACITY.get(service, PLAIN_CAPACITY),
            "room": ROOM,
            "step_s": TOKEN_STEP_S,
        }
        versions = {MODEL: self.named[MODEL]} if service == MODEL_SERVICE else {}
        worker = SoakWorker(plan, self.record(name), self._random(), versions, self.is_named)
        await worker.start()
        self.workers[name] = worker
        self.forgotten.discard(name)

    def delay_orders(self, share):
        """Have some workers get their next orders late, though given up; returns those workers."""
        workers = [each for each in self.workers.values() if self.random.random() < share]
        for worker in workers:
            worker.order_delays_s = [
                self.random.uniform(*ORDER_DELAY_S) for _ in range(ORDERS_DELAYED)
            ]
        return workers

    def crash_worker(self, name):
        """End a worker: its connections are reset, and it listens no more."""
        worker = self.workers[name]
        self.record(name)("crashed", worker=worker.name, runs=list(worker.active))
        end_worker(worker)

    def forget_worker(self, name):
        """Let the platform see that a worker is gone."""
        self.forgotten.add(name)

    def stop(self):
        """End all of it."""
        for task in self.tasks:
            task.cancel()
        for worker in self.workers.values():
            end_worker(worker)
        for part in (self.list, self.store):
            if part.http.server:
                part.http.stop()


def end_worker(worker):
    """Close a worker's door and reset its connections."""
    if worker.order_task:
        worker.order_task.cancel()
    worker.http.stop()
    for conversation in list(worker.http.open):
        conversation.transport.abort()
