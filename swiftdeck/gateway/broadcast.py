"""Broadcast of news among routers: a relay in each zone batches news for a short interval and forwards them there."""

import asyncio
import enum

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import Bulletin, LoadNews, Section, WorkerNews

FORWARDED_PER_S = 400.0
FORWARD_INTERVAL_MAX_S = 0.3
RELAY_REQUEST_MS, RETRY_PAUSE_S, RELAY_TRIES = 400, 0.4, 10
KEPT_NEWS_MAX = 2000


class Reach(enum.IntEnum):
    """To whom the receiver of a bulletin forwards it: nobody, the routers of its zone, or those and the other relays."""

    NONE = 0
    ZONE = 1
    FLEET = 2


class NewsBatch:
    """News of one router: the latest load and failure of each worker, and all cache news in order, up to KEPT_NEWS_MAX."""

    def __init__(self):
        self.loads, self.kept, self.troubles = {}, [], {}

    def add(self, news):
        """Add one item of news."""
        if isinstance(news, LoadNews):
            self.loads[news.worker] = news
        elif isinstance(news, WorkerNews):
            self.troubles[news.worker] = news
        elif len(self.kept) < KEPT_NEWS_MAX:
            self.kept.append(news)

    def add_all(self, section: Section):
        """Add all news of a section."""
        for news in (*section.loads, *section.kept, *section.troubles):
            self.add(news)

    def section(self, origin: str) -> Section:
        """Return the news as a section of a bulletin."""
        loads, troubles = list(self.loads.values()), list(self.troubles.values())
        return Section(origin=origin, loads=loads, kept=self.kept, troubles=troubles)


def _sections(batches):
    return [batch.section(origin) for origin, batch in batches.items()]


class Broadcast:
    """Sends news to all routers through a relay in each zone, the first router there that isn't suspected.

    A router sends its news to the relay of its zone, which forwards them to its zone and to the other relays, and those forward
    them to their zones. The interval grows with the number of recipients, so that a relay sends at most FORWARDED_PER_S messages
    a second up to the longest interval, and any other router receives one message an interval. A router that is asked to forward
    news does so whether or not it considers itself the relay. Cache news are sent as requests, so that they go to the next relay
    when the first one doesn't answer; other news are sent without a response.
    """

    def __init__(self, me, mesh, membership, telemetry):
        self.me, self.mesh, self.membership, self.telemetry = me, mesh, membership, telemetry
        self.handlers, self.own_batch, self.tasks = {}, None, set()
        self.pending_for_zone, self.pending_for_relays = {}, {}
        mesh.register(Bulletin, self.on_bulletin)

    def subscribe(self, message_type, handler):
        """Pass news of a type from other routers to `handler(news, origin)`; one handler for each type."""
        self.handlers[message_type] = handler

    def publish(self, news):
        """Send an item of news to all other routers; news of the same loop iteration share a bulletin."""
        if self.own_batch is None:
            self.own_batch = NewsBatch()
            asyncio.get_running_loop().call_soon(self._publish_own)
        self.own_batch.add(news)

    def forward_interval_s(self) -> float:
        """Return how many seconds a relay batches news before it forwards them."""
        recipients = len(self._neighbours()) + len(self._other_relays())
        return min(FORWARD_INTERVAL_MAX_S, recipients / FORWARDED_PER_S)

    def _relay(self):
        return self.membership.relays("router").get(self.me.zone, self.me.addr)

    def _neighbours(self):
        return self.membership.reachable("router", self.me.zone)

    def _other_relays(self):
        relays = self.membership.relays("router").items()
        return [addr for zone, addr in relays if zone != self.me.zone]

    def _publish_own(self):
        batch, self.own_batch = self.own_batch, None
        sections = [batch.section(self.me.addr)]
        if self._relay() == self.me.addr:
            self._queue_forwarding(sections, Reach.FLEET)
        elif not batch.kept:
            self.mesh.send(self._relay(), Bulletin(sections=sections, reach=Reach.FLEET))
        else:
            self._start_task(self._send_with_retries(self._relay, sections, Reach.FLEET))

    def _start_task(self, coro):
        task = asyncio.ensure_future(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_with_retries(self, current_relay, sections, reach):
        """Send sections to the relay until one acknowledges them, looking the relay up anew for each of RELAY_TRIES tries."""
        for _ in range(RELAY_TRIES):
            relay = current_relay()
            if relay is None:
                return
            if relay == self.me.addr:
                return self._queue_forwarding(sections, reach)
            bulletin = Bulletin(sections=sections, reach=reach)
            if not is_fault(await self.mesh.request(relay, bulletin, RELAY_REQUEST_MS)):
                return
            self.telemetry.count["bulletinsUnheard"] += 1
            await asyncio.sleep(RETRY_PAUSE_S)

    def _queue_forwarding(self, sections, reach):
        """Add sections to the pending ones, which are forwarded together at the end of the interval."""
        if not self.pending_for_zone:
            asyncio.get_running_loop().call_later(self.forward_interval_s(), self._forward)
        queues = (
            [self.pending_for_zone, self.pending_for_relays]
            if reach == Reach.FLEET
            else [self.pending_for_zone]
        )
        for batches in queues:
            for section in sections:
                batches.setdefault(section.origin, NewsBatch()).add_all(section)

    def _forward(self):
        """Forward the pending sections to this zone and the other relays; those with cache news are retried."""
        pending_for_zone, self.pending_for_zone = self.pending_for_zone, {}
        pending_for_relays, self.pending_for_relays = self.pending_for_relays, {}
        self.mesh.send_all(self._neighbours(), Bulletin(sections=_sections(pending_for_zone)))
        if not pending_for_relays:
            return
        sections = _sections(pending_for_relays)
        if not any(each.kept for each in sections):
            bulletin = Bulletin(sections=sections, reach=Reach.ZONE)
            return self.mesh.send_all(self._other_relays(), bulletin)
        for zone in self.membership.relays("router"):
            if zone != self.me.zone:
                self._start_task(
                    self._send_with_retries(self._relay_getter(zone), sections, Reach.ZONE)
                )

    def _relay_getter(self, zone):
        return lambda: self.membership.relays("router").get(zone)

    def on_bulletin(self, bulletin, sender):
        """Pass news to their handlers, and forward them as far as the bulletin's reach says."""
        sections = [each for each in bulletin.sections if each.origin != self.me.addr]
        for section in sections:
            for news in (*section.loads, *section.kept, *section.troubles):
                handler = self.handlers.get(type(news))
                if handler is not None:
                    handler(news, section.origin)
        if sections and bulletin.reach != Reach.NONE:
            self._queue_forwarding(sections, bulletin.reach)
