"""The list of workers: one router reads it and passes it on; others read it when nothing comes."""

import asyncio
import hashlib

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.gateway.interfaces import Listed
from swiftdeck.wire.messages import ListNews, ListWish


class Listing:
    """Keeps the worker_registry by the newest reading, its own or another's, with the time at which that was asked for."""

    def __init__(
        self,
        me,
        mesh,
        membership,
        source,
        worker_registry,
        board,
        every_ms=600,
        rank_ms=350,
        reads=True,
    ):
        self.me, self.mesh, self.membership, self.source, self.worker_registry, self.board = (
            me,
            mesh,
            membership,
            source,
            worker_registry,
            board,
        )
        self.every_ms, self.rank_ms, self.reads = every_ms, rank_ms, reads
        self.read_s, self.digest, self.body = -1e9, b"", b""
        mesh.on(ListNews, self.on_news)
        mesh.on(ListWish, self.on_wish)

    def start(self):
        """Go on reading, or standing by."""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.ensure_future(self._reading())

    def age_ms(self):
        """Time since the newest reading was asked for."""
        return int((self.loop.time() - self.read_s) * 1000)

    def _rank(self):
        routers = sorted(
            [
                self.me.addr,
                *(each.addr for each in self.membership.alive(self.me.role) if not each.state),
            ]
        )
        return routers.index(self.me.addr)

    def _due_ms(self):
        """The first reads again and again; the others wait for longer, each by its rank."""
        rank = self._rank()
        return self.every_ms if not rank else self.every_ms * 2 + min(rank, 4) * self.rank_ms

    async def _reading(self):
        while True:
            due_ms = self._due_ms() - self.age_ms() if self.reads else 1000
            if due_ms > 0:
                await asyncio.sleep(min(due_ms, 200) / 1000 if due_ms < 1e6 else 0.2)
                continue
            asked_s = self.loop.time()
            got = await self.source.read()
            if is_fault(got):
                self.board.count["listsFailed"] += 1
                await asyncio.sleep(0.3)
                continue
            self.board.count["listsRead"] += 1
            body = msgspec.json.encode(got)
            self._take(body, asked_s)
            self._pass_on(asked_s)

    def _pass_on(self, asked_s):
        age_ms = int((self.loop.time() - asked_s) * 1000)
        for each in self.membership.alive():
            if not each.state:
                self.mesh.tell(
                    each.addr,
                    ListNews(
                        age_ms=age_ms,
                        digest=self.digest,
                        body=self.body if self.is_fresh_body else b"",
                    ),
                )

    is_fresh_body = True

    def _take(self, body, asked_s):
        digest = hashlib.blake2b(body, digest_size=8).digest()
        self.is_fresh_body = digest != self.digest
        self.read_s = max(asked_s, self.read_s)
        if digest != self.digest:
            self.digest, self.body = digest, body
            self.worker_registry.take(msgspec.json.decode(body, type=list[Listed]))

    def on_news(self, news, sender):
        asked_s = self.loop.time() - news.age_ms / 1000
        if news.body:
            if asked_s > self.read_s:
                self._take(news.body, asked_s)
        elif news.digest == self.digest:
            self.read_s = max(self.read_s, asked_s)
        else:
            self.mesh.tell(sender, ListWish(digest=self.digest))

    def on_wish(self, wish, sender):
        if self.body and wish.digest != self.digest:
            self.mesh.tell(
                sender, ListNews(age_ms=self.age_ms(), digest=self.digest, body=self.body)
            )
