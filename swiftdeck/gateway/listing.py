"""The list of workers: one router reads it and passes on what changed; others read it when nothing comes."""

import asyncio
import hashlib

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.gateway.interfaces import WorkerListing
from swiftdeck.wire.messages import FullListAsk, ListNews

LOOK_MS = 200


def digest_of(entries) -> bytes:
    """What two processes share that hold the same list, by name in order."""
    body = msgspec.json.encode(list(entries.values()))
    return hashlib.blake2b(body, digest_size=8).digest()


class Listing:
    """Keeps the worker_registry by the newest reading, its own or another's, with the time at which that was asked for.

    A reading has a number above those of all readings that its reader knew of when it asked. Of two
    readings the one with the higher number was asked for later, however late the news of it come; of
    two with the same number, read side by side, the age tells.
    """

    def __init__(
        self,
        me,
        mesh,
        membership,
        source,
        worker_registry,
        telemetry,
        every_ms=600,
        rank_ms=350,
        reads=True,
    ):
        self.me, self.mesh, self.membership, self.source, self.worker_registry, self.telemetry = (
            me,
            mesh,
            membership,
            source,
            worker_registry,
            telemetry,
        )
        self.every_ms, self.rank_ms, self.reads = every_ms, rank_ms, reads
        self.read_s, self.digest, self.entries = -1e9, b"", {}
        self.number = 0
        mesh.register(ListNews, self.on_news)
        mesh.register(FullListAsk, self.on_wish)

    def start(self):
        """Go on reading, or standing by."""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.ensure_future(self._reading())

    def age_ms(self):
        """Time since the newest reading was asked for."""
        return int((self.loop.time() - self.read_s) * 1000)

    def _rank(self):
        return self.membership.ranked(self.me.role).index(self.me.addr)

    def _due_ms(self):
        """The first reads again and again; the others wait for longer, each by its rank."""
        rank = self._rank()
        return self.every_ms if not rank else self.every_ms * 2 + min(rank, 4) * self.rank_ms

    def _look_ms(self):
        """When to look at the ranks again: soon once the usual news is late, for the first may have changed."""
        return max(LOOK_MS, self.every_ms * 1.5 - self.age_ms())

    async def _reading(self):
        while True:
            due_ms = self._due_ms() - self.age_ms() if self.reads else 1000
            if due_ms > 0:
                await asyncio.sleep(min(due_ms, self._look_ms()) / 1000)
                continue
            asked_s, number = self.loop.time(), self.number + 1
            got = await self.source.read()
            if is_fault(got):
                self.telemetry.count["listsFailed"] += 1
                await asyncio.sleep(0.3)
                continue
            self.telemetry.count["listsRead"] += 1
            if number < self.number:
                self.telemetry.count["listsOutdated"] += 1
                continue
            known = self.entries
            fresh = {each.name: each for each in sorted(got, key=lambda each: each.name)}
            before, changed = self.digest, [e for e in fresh.values() if known.get(e.name) != e]
            self._take(fresh, asked_s, number)
            self._pass_on(asked_s, before, changed, [name for name in known if name not in fresh])

    def _pass_on(self, asked_s, before, changed, gone):
        """Tell all how old the reading is, and what it changed since the one before."""
        news = ListNews(
            age_ms=int((self.loop.time() - asked_s) * 1000),
            digest=self.digest,
            number=self.number,
        )
        if self.digest != before:
            news.base, news.body, news.gone = before, msgspec.json.encode(changed), gone
        self.mesh.send_all(self.membership.reachable(), news)

    def _note_reading(self, asked_s, number):
        self.read_s, self.number = max(asked_s, self.read_s), max(number, self.number)

    def _take(self, entries, asked_s, number):
        self._note_reading(asked_s, number)
        digest = digest_of(entries)
        if digest != self.digest:
            self.digest, self.entries = digest, entries
            self.worker_registry.apply_list(entries.values())

    def on_news(self, news, sender):
        """Take a reading of the list from the router that reads it; one that is outdated is told so."""
        if news.number < self.number:
            self.telemetry.count["listsOutdated"] += 1
            self._wish(sender)
            return
        asked_s = self.loop.time() - news.age_ms / 1000
        is_later = news.number > self.number or asked_s > self.read_s
        if news.digest == self.digest:
            self._note_reading(asked_s, news.number)
        elif is_later or not news.body and not news.gone:
            self._follow(news, asked_s, sender)

    def _wish(self, addr):
        self.mesh.send(addr, FullListAsk(digest=self.digest, number=self.number))

    def _follow(self, news, asked_s, sender):
        """Change the list held as told; one that doesn't come to the digest told is asked for whole."""
        is_whole = not news.base
        if news.body and (is_whole or news.base == self.digest):
            changed = msgspec.json.decode(news.body, type=list[WorkerListing])
            entries = {} if is_whole else dict(self.entries)
            for name in news.gone:
                entries.pop(name, None)
            entries.update((each.name, each) for each in changed)
            entries = dict(sorted(entries.items()))
            if digest_of(entries) == news.digest:
                return self._take(entries, asked_s, news.number)
        self._wish(sender)

    def on_wish(self, wish, sender):
        """Send the whole list to a router that has another one.

        A reader that starts again learns so how far the numbers have come.
        """
        self.number = max(self.number, wish.number)
        if self.entries and wish.digest != self.digest:
            self.mesh.send(sender, self._whole())

    def _whole(self):
        body = msgspec.json.encode(list(self.entries.values()))
        return ListNews(age_ms=self.age_ms(), digest=self.digest, body=body, number=self.number)
