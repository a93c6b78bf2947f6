"""Followers of caches: the owner of a worker's slot table reads its cache reports and sends those of shared parts to all."""

import asyncio

from swiftdeck.fault import is_fault
from swiftdeck.runtime.ticks import next_tick
from swiftdeck.wire.messages import KeptNews

LONG_POLL_MS, EXPECTED_S, DOWN_S, POLL_PAUSE_S, STORE_PART_LEAST_TOKENS, SHARED_PARTS_MAX = (
    1000,
    2.0,
    4.0,
    0.2,
    1024,
    20000,
)
"""A report request waits up to LONG_POLL_MS. Parts of admitted calls are expected in the cache for EXPECTED_S, and a cache that
doesn't answer counts as down for DOWN_S. Of a store, parts below STORE_PART_LEAST_TOKENS are ignored."""
FOLLOW_DELAY_S = 0.9
"""How long a cache must be owned here before it is followed. A router that has just started knows few others and would
follow all caches, as would every router after a power failure of the whole site."""


class CacheFollowers:
    """Runs the followers of the caches owned here, one for each cache in the whole fleet.

    After a gap in a cache's reports, all that was known of the cache is discarded.
    """

    def __init__(self, admission, broadcast, kept, source, telemetry):
        self.owned_since_s = {}
        self.admission, self.broadcast = admission, broadcast
        self.kept, self.source, self.telemetry = kept, source, telemetry
        self.tasks, self.shared_parts, self.stores = {}, {}, []
        broadcast.subscribe(KeptNews, self.on_news)

    def start(self):
        """Start following the caches that are owned here."""
        self.task = asyncio.ensure_future(self._update_followers())

    def expect_parts(self, worker, salt, parts, sizes, is_cold):
        """Note the shared parts of an admitted call, whose reports matter from now on.

        When the worker will read a part anew, all routers are told to expect it in the worker's cache.
        """
        for part in parts:
            self.shared_parts[part] = None
        while len(self.shared_parts) > SHARED_PARTS_MAX:
            del self.shared_parts[next(iter(self.shared_parts))]
        if is_cold and any(
            self.kept.parts.get((salt, part), {}).get(worker, 0) < size
            for part, size in zip(parts, sizes, strict=False)
        ):
            self._publish(
                KeptNews(
                    holder=worker,
                    salts=[salt] * len(parts),
                    parts=list(parts),
                    tokens=list(sizes),
                    is_expected=True,
                )
            )

    async def _update_followers(self):
        """Every 0.5 s, start and stop followers as ownership changes, and discard parts of removed caches."""
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
            self.owned_since_s = {name: self.owned_since_s.get(name, now_s) for name in wanted}
            for name, addr in wanted.items():
                if name not in self.tasks and now_s - self.owned_since_s[name] >= FOLLOW_DELAY_S:
                    self.tasks[name] = asyncio.ensure_future(self._follow_cache(name, addr))
            for holder in [
                each
                for each in self.kept.by_holder
                if each not in self.admission.worker_registry.workers and each not in self.stores
            ]:
                self.kept.forget(holder)
            self.kept.lapse(asyncio.get_running_loop().time())
            await next_tick(0.5)

    async def _follow_cache(self, name, addr):
        follower = self.source.follower(addr)
        try:
            await self._read_reports(name, follower)
        finally:
            follower.close()

    async def _read_reports(self, name, follower):
        """Read the reports of a cache by long polls and publish the relevant ones.

        After a restart of the cache, or while it counts as down, reading begins anew from the first number.
        """
        since, epoch = 0, None
        while True:
            response = await follower.reports(since, LONG_POLL_MS)
            if is_fault(response):
                self.telemetry.count["reportsFailed"] += 1
                self._publish_reports(name, [], True, True)
                await asyncio.sleep(0.5)
                continue
            if self.kept.is_down(name, asyncio.get_running_loop().time()):
                since, epoch = 0, None
                self._publish_reports(name, [], True)
                continue
            is_reset = epoch not in (None, response.epoch) or response.next_number < since
            if response.lost or is_reset:
                self.telemetry.count["reportGaps"] += 1
            if is_reset and since:
                since, epoch = 0, response.epoch
                self._publish_reports(name, [], True)
                continue
            epoch, since = response.epoch, response.next_number
            relevant = [
                each
                for each in response.reports
                if each.part in self.shared_parts
                or name in self.stores
                and each.tokens >= STORE_PART_LEAST_TOKENS
            ]
            if relevant or response.lost:
                self._publish_reports(name, relevant, response.lost)
            await asyncio.sleep(POLL_PAUSE_S)

    def _publish_reports(self, name, reports, is_whole, is_down=False):
        news = KeptNews(
            holder=name,
            forget=is_whole,
            is_down=is_down,
            salts=[each.salt for each in reports],
            parts=[each.part for each in reports],
            tokens=[each.tokens if each.is_kept else 0 for each in reports],
        )
        self._publish(news)

    def _publish(self, news):
        self.on_news(news, "")
        self.broadcast.publish(news)

    def on_news(self, news, sender):
        """Update the table of cached parts with news from a follower."""
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
