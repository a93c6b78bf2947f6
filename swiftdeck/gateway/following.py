"""Followers of caches' reports: the owner of a worker's book follows it, and tells the others what concerns shared parts."""

import asyncio

from swiftdeck.fault import is_fault
from swiftdeck.runtime.ticks import next_tick
from swiftdeck.wire.messages import KeptNews

WAIT_MS, EXPECTED_S, DOWN_S, REST_S, LEAST_TOKENS, KNOWN_MOST = 1000, 2.0, 4.0, 0.2, 1024, 20000
OWNED_S = 0.9
"""How long a cache must be owned here before it is followed: a router that starts knows few others
and would follow all of them, as would every other one after a loss of all power."""


class Following:
    """One follower for each cache in the whole fleet; after a gap what was known is forgotten."""

    def __init__(self, admission, broadcast, kept, source, telemetry):
        self.owned_s = {}
        self.admission, self.broadcast = admission, broadcast
        self.kept, self.source, self.telemetry = kept, source, telemetry
        self.tasks, self.shared, self.stores = {}, {}, []
        broadcast.subscribe(KeptNews, self.on_news)

    def start(self):
        """Follow what is owned here."""
        self.task = asyncio.ensure_future(self._minding())

    def will_keep(self, worker, salt, parts, sizes, is_cold):
        """A call that was admitted will have its shared parts read: others may count on them, and reports of them matter."""
        for part in parts:
            self.shared[part] = None
        while len(self.shared) > KNOWN_MOST:
            del self.shared[next(iter(self.shared))]
        if is_cold and any(
            self.kept.parts.get((salt, part), {}).get(worker, 0) < size
            for part, size in zip(parts, sizes, strict=False)
        ):
            self._tell_all(
                KeptNews(
                    holder=worker,
                    salts=[salt] * len(parts),
                    parts=list(parts),
                    tokens=list(sizes),
                    is_expected=True,
                )
            )

    async def _minding(self):
        while True:
            me = self.admission.me.addr
            wanted = {
                worker.name: worker.listed.addr
                for worker in self.admission.worker_registry.workers.values()
                if worker.listed.weights and self.admission.owner(worker.name) == me
            }
            wanted |= {addr: addr for addr in self.stores if self.admission.owner(addr) == me}
            for name in [name for name in self.tasks if name not in wanted]:
                self.tasks.pop(name).cancel()
            now_s = asyncio.get_running_loop().time()
            self.owned_s = {name: self.owned_s.get(name, now_s) for name in wanted}
            for name, addr in wanted.items():
                if name not in self.tasks and now_s - self.owned_s[name] >= OWNED_S:
                    self.tasks[name] = asyncio.ensure_future(self._follow(name, addr))
            for holder in [
                each
                for each in self.kept.by_holder
                if each not in self.admission.worker_registry.workers and each not in self.stores
            ]:
                self.kept.forget(holder)
            self.kept.lapse(asyncio.get_running_loop().time())
            await next_tick(0.5)

    async def _follow(self, name, addr):
        follower = self.source.follower(addr)
        try:
            await self._reports(name, follower)
        finally:
            follower.close()

    async def _reports(self, name, follower):
        since, epoch = 0, None
        while True:
            got = await follower.reports(since, WAIT_MS)
            if is_fault(got):
                self.telemetry.count["reportsFailed"] += 1
                self._tell(name, [], True, True)
                await asyncio.sleep(0.5)
                continue
            if self.kept.is_down(name, asyncio.get_running_loop().time()):
                since, epoch = 0, None
                self._tell(name, [], True)
                continue
            is_reset = epoch not in (None, got.epoch) or got.next_number < since
            if got.lost or is_reset:
                self.telemetry.count["reportGaps"] += 1
            if is_reset and since:
                since, epoch = 0, got.epoch
                self._tell(name, [], True)
                continue
            epoch, since = got.epoch, got.next_number
            told = [
                each
                for each in got.reports
                if each.part in self.shared or name in self.stores and each.tokens >= LEAST_TOKENS
            ]
            if told or got.lost:
                self._tell(name, told, got.lost)
            await asyncio.sleep(REST_S)

    def _tell(self, name, reports, is_whole, is_down=False):
        news = KeptNews(
            holder=name,
            forget=is_whole,
            is_down=is_down,
            salts=[each.salt for each in reports],
            parts=[each.part for each in reports],
            tokens=[each.tokens if each.is_kept else 0 for each in reports],
        )
        self._tell_all(news)

    def _tell_all(self, news):
        self.on_news(news, "")
        self.broadcast.publish(news)

    def on_news(self, news, sender):
        """Take in what a follower tells of its cache."""
        if news.is_expected:
            until_s = asyncio.get_running_loop().time() + EXPECTED_S
            for salt, part in zip(news.salts, news.parts, strict=False):
                self.kept.expect(news.holder, salt, part, until_s)
            return
        if news.forget:
            self.kept.forget(news.holder)
        if news.is_down:
            self.kept.down[news.holder] = asyncio.get_running_loop().time() + DOWN_S
        else:
            self.kept.down.pop(news.holder, None)
        for salt, part, tokens in zip(news.salts, news.parts, news.tokens, strict=False):
            if tokens:
                self.kept.keep(news.holder, salt, part, tokens)
            else:
                self.kept.drop(news.holder, salt, part)
