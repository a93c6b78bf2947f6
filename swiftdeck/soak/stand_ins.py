"""Simulate the platform in the soak's own process: list, store, balancer and workers."""

import asyncio
import random

from swiftdeck.bench.platform_api.balancer import Balancer
from swiftdeck.bench.platform_api.listing import WorkerList
from swiftdeck.bench.platform_api.store import PartStore
from swiftdeck.bench.platform_api.worker import PlatformWorker
from swiftdeck.soak.site import MODEL, MODEL_SERVICE, ZONES

LIST_INTERVAL_S, TOKEN_STEP_S, ROOM_TOKENS = 0.2, 0.02, 140000
CAPACITY = {MODEL_SERVICE: 12}
PLAIN_CAPACITY = 8
ORDER_DELAY_S, MAX_DELAYED_ORDERS = (0.5, 9.0), 3
"""Range of delays of orders on their way, and how many orders to one worker a trouble delays."""
PLAIN_WORK_S, SLOW_PATH, SLOW_WORK_S = 0.02, b"/slow-", (0.5, 4.5)


class SoakWorker(PlatformWorker):
    """A worker that can lose its answers to orders, and responds slowly on some paths."""

    lost_answers_share = 0.0

    async def _order(self, exchange):
        if self.random.random() >= self.lost_answers_share:
            return await super()._order(exchange)
        send_json, exchange.send_json = exchange.send_json, self._drop_response
        try:
            await super()._order(exchange)
        finally:
            exchange.send_json = send_json
        exchange.abort()

    @staticmethod
    async def _drop_response(status, body):
        """Discard the response, as if it was lost on its way."""

    async def _answer(self, exchange, head, name, run, version, quirk, end_s):
        if exchange.target.startswith(SLOW_PATH):
            await asyncio.sleep(self.random.uniform(*SLOW_WORK_S))
        return await super()._answer(exchange, head, name, run, version, quirk, end_s)


class StandIns:
    """Starts the parts of the platform, and crashes and restarts its workers."""

    def __init__(self, site, record, seed):
        self.site, self.record, self.random = site, record, random.Random(seed)
        self.workers, self.lives, self.unlisted, self.tasks = {}, {}, set(), []
        self.named = {MODEL: 1}
        self.list = WorkerList(site.list_address, record("list"))
        self.store = PartStore(site.store_address, record("store"), self._child_random())
        self.balancer = Balancer(
            {router.name: (router.http, router.operations) for router in site.routers}
        )

    def _child_random(self):
        return random.Random(self.random.random())

    async def start(self):
        """Start the list, the store, the balancer and all workers."""
        await self.list.start()
        await self.store.start()
        for name in self.site.workers:
            await self.start_worker(name)
        self.tasks = [
            asyncio.ensure_future(self._publish_list()),
            asyncio.ensure_future(self.balancer.run()),
        ]

    async def _publish_list(self):
        while True:
            self.list.show(self._entries())
            await asyncio.sleep(LIST_INTERVAL_S)

    def _entries(self):
        """Return the list entries of workers; a crashed one stays until `unlist_worker`."""
        return [
            worker.entry() for name, worker in self.workers.items() if name not in self.unlisted
        ]

    def staying_workers(self):
        """Return the listed workers that are not draining, with their versions of the weights."""
        return [
            {"worker": worker.name, "versions": dict(worker.versions)}
            for name, worker in self.workers.items()
            if name not in self.unlisted and not worker.is_leaving
        ]

    def is_named(self, model, version):
        """Return whether an operator has announced this version of a model's weights."""
        return isinstance(version, int) and 1 <= version <= self.named.get(model, 1)

    async def start_worker(self, name):
        """Start or restart a worker, with the weights announced last."""
        service = name.rstrip("0123456789")
        life = self.lives[name] = self.lives.get(name, 0) + 1
        plan = {
            "id": f"{name}-{life}",
            "backend": service,
            "address": self.site.workers[name],
            "zone": ZONES[int(name[-1]) % len(ZONES)],
            "capacity": CAPACITY.get(service, PLAIN_CAPACITY),
            "room": ROOM_TOKENS,
            "step_s": TOKEN_STEP_S,
        }
        versions = {MODEL: self.named[MODEL]} if service == MODEL_SERVICE else {}
        worker = SoakWorker(plan, self.record(name), self._child_random(), versions, self.is_named)
        await worker.start()
        self.workers[name] = worker
        self.unlisted.discard(name)

    def delay_orders(self, share):
        """Delay the next orders to some workers, also past their timeout; return these workers."""
        workers = [worker for worker in self.workers.values() if self.random.random() < share]
        for worker in workers:
            worker.order_delays_s = [
                self.random.uniform(*ORDER_DELAY_S) for _ in range(MAX_DELAYED_ORDERS)
            ]
        return workers

    def crash_worker(self, name):
        """Crash a worker: reset its connections and stop listening."""
        worker = self.workers[name]
        self.record(name)("crashed", worker=worker.name, runs=list(worker.active))
        end_worker(worker)

    def unlist_worker(self, name):
        """Remove a worker from the platform's list."""
        self.unlisted.add(name)

    def stop(self):
        """Stop all parts and workers."""
        for task in self.tasks:
            task.cancel()
        for worker in self.workers.values():
            end_worker(worker)
        for part in (self.list, self.store):
            if part.http.server:
                part.http.stop()


def end_worker(worker):
    """Stop a worker's HTTP server and reset its connections."""
    if worker.order_task:
        worker.order_task.cancel()
    worker.http.stop()
    for connection in list(worker.http.open):
        connection.transport.abort()
