"""The list of workers: one router reads it and sends the changes to the others, which read it when no news arrive."""

import asyncio
import hashlib

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.gateway.interfaces import WorkerListing
from swiftdeck.wire.messages import FullListAsk, ListNews

RECHECK_LEAST_MS = 200


def digest_of(entries) -> bytes:
    """Return a digest of a list, equal for processes with the same list; entries are ordered by name."""
    body = msgspec.json.encode(list(entries.values()))
    return hashlib.blake2b(body, digest_size=8).digest()


class Listing:
    """Keeps the worker registry at the newest reading of the list, whichever router read it.

    A reading's number is above those of all readings that its reader knew of when it requested the
    list. Of two readings, the one with the higher number was therefore requested later, however late
    its news arrive. Two readings with the same number were made concurrently; the later request wins.
    """

    def __init__(
        self,
        me,
        mesh,
        membership,
        source,
        worker_registry,
        telemetry,
        read_interval_ms=600,
        rank_delay_ms=350,
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
        self.read_interval_ms, self.rank_delay_ms, self.reads = (
            read_interval_ms,
            rank_delay_ms,
            reads,
        )
        self.read_s, self.digest, self.entries = -1e9, b"", {}
        self.number = 0
        mesh.register(ListNews, self.on_news)
        mesh.register(FullListAsk, self.on_full_list_ask)

    def start(self):
        """Start the loop that reads the list when it is due."""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.ensure_future(self._read_loop())

    def age_ms(self):
        """Return the time in ms since the newest reading was requested."""
        return int((self.loop.time() - self.read_s) * 1000)

    def _rank(self):
        return self.membership.ranked(self.me.role).index(self.me.addr)

    def _due_ms(self):
        """Return the age in ms at which this process reads the list: the first by rank regularly, the others later by rank."""
        rank = self._rank()
        return (
            self.read_interval_ms
            if not rank
            else self.read_interval_ms * 2 + min(rank, 4) * self.rank_delay_ms
        )

    def _recheck_ms(self):
        """Return the time in ms until the ranks are checked again: soon once news are late, as the first may have changed."""
        return max(RECHECK_LEAST_MS, self.read_interval_ms * 1.5 - self.age_ms())

    async def _read_loop(self):
        """Read the list whenever it is due, and send its changes; a reading that news have overtaken is dropped."""
        while True:
            due_ms = self._due_ms() - self.age_ms() if self.reads else 1000
            if due_ms > 0:
                await asyncio.sleep(min(due_ms, self._recheck_ms()) / 1000)
                continue
            asked_s, number = self.loop.time(), self.number + 1
            listing = await self.source.read()
            if is_fault(listing):
                self.telemetry.count["listsFailed"] += 1
                await asyncio.sleep(0.3)
                continue
            self.telemetry.count["listsRead"] += 1
            if number < self.number:
                self.telemetry.count["listsOutdated"] += 1
                continue
            previous_entries = self.entries
            entries = {each.name: each for each in sorted(listing, key=lambda each: each.name)}
            previous_digest, changed = (
                self.digest,
                [entry for entry in entries.values() if previous_entries.get(entry.name) != entry],
            )
            self._apply(entries, asked_s, number)
            self._send_news(
                asked_s,
                previous_digest,
                changed,
                [name for name in previous_entries if name not in entries],
            )

    def _send_news(self, asked_s, previous_digest, changed, gone):
        """Send all processes the age of a reading and the changes since the previous one."""
        news = ListNews(
            age_ms=int((self.loop.time() - asked_s) * 1000),
            digest=self.digest,
            number=self.number,
        )
        if self.digest != previous_digest:
            news.base, news.body, news.gone = previous_digest, msgspec.json.encode(changed), gone
        self.mesh.send_all(self.membership.reachable(), news)

    def _note_reading(self, asked_s, number):
        self.read_s, self.number = max(asked_s, self.read_s), max(number, self.number)

    def _apply(self, entries, asked_s, number):
        self._note_reading(asked_s, number)
        digest = digest_of(entries)
        if digest != self.digest:
            self.digest, self.entries = digest, entries
            self.worker_registry.apply_list(entries.values())

    def on_news(self, news, sender):
        """Apply news of a reading; the sender of outdated news is asked for its list, which tells it the current number."""
        if news.number < self.number:
            self.telemetry.count["listsOutdated"] += 1
            self._request_full_list(sender)
            return
        asked_s = self.loop.time() - news.age_ms / 1000
        is_later = news.number > self.number or asked_s > self.read_s
        if news.digest == self.digest:
            self._note_reading(asked_s, news.number)
        elif is_later or not news.body and not news.gone:
            self._apply_change(news, asked_s, sender)

    def _request_full_list(self, addr):
        self.mesh.send(addr, FullListAsk(digest=self.digest, number=self.number))

    def _apply_change(self, news, asked_s, sender):
        """Apply a change to the list; request the full list when the result doesn't match the digest in the news."""
        is_whole = not news.base
        if news.body and (is_whole or news.base == self.digest):
            changed = msgspec.json.decode(news.body, type=list[WorkerListing])
            entries = {} if is_whole else dict(self.entries)
            for name in news.gone:
                entries.pop(name, None)
            entries.update((each.name, each) for each in changed)
            entries = dict(sorted(entries.items()))
            if digest_of(entries) == news.digest:
                return self._apply(entries, asked_s, news.number)
        self._request_full_list(sender)

    def on_full_list_ask(self, ask, sender):
        """Send the full list to a process that has another one.

        The request carries the sender's number, from which a restarted reader learns how far the numbers have advanced.
        """
        self.number = max(self.number, ask.number)
        if self.entries and ask.digest != self.digest:
            self.mesh.send(sender, self._full_list_news())

    def _full_list_news(self):
        body = msgspec.json.encode(list(self.entries.values()))
        return ListNews(age_ms=self.age_ms(), digest=self.digest, body=body, number=self.number)
