"""What all routers should know soon: one router of each zone gathers it for a beat and passes it on there."""

import asyncio
import enum

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import Bulletin, LoadNews, Section, WorkerNews

PASSED_ON_PER_S = 400.0
MOST_BEAT_S = 0.3
ASK_MS, PAUSE_S, TRIES = 400, 0.4, 10
ITEMS_MOST = 2000


class Reach(enum.IntEnum):
    """Whom the one that hears a bulletin is to tell of it."""

    NONE = 0
    ZONE = 1
    FLEET = 2


class Gathered:
    """What one router has to tell: the newest load and trouble of each worker, and all of what is kept, in order."""

    def __init__(self):
        self.loads, self.kept, self.troubles = {}, [], {}

    def add(self, news):
        """Take one piece of news in."""
        if isinstance(news, LoadNews):
            self.loads[news.worker] = news
        elif isinstance(news, WorkerNews):
            self.troubles[news.worker] = news
        elif len(self.kept) < ITEMS_MOST:
            self.kept.append(news)

    def add_all(self, section: Section):
        """Take all news of a section in."""
        for news in (*section.loads, *section.kept, *section.troubles):
            self.add(news)

    def section(self, origin: str) -> Section:
        """The news in the form in which they travel."""
        loads, troubles = list(self.loads.values()), list(self.troubles.values())
        return Section(origin=origin, loads=loads, kept=self.kept, troubles=troubles)


def _sections(gathered):
    return [each.section(origin) for origin, each in gathered.items()]


class Broadcast:
    """Tells all routers through a relay in each zone, the first router there that isn't suspected.

    A router hands its news to the relay of its zone, which tells the zone and the other relays, and those tell theirs. A relay's
    messages a second stay the same however many it tells, and any other router hears one message a beat. One that is asked to pass
    news on does so whether or not it thinks itself the relay; news of what is kept are asked, so that they go to the next relay
    where the first one doesn't answer.
    """

    def __init__(self, me, mesh, membership, telemetry):
        self.me, self.mesh, self.membership, self.telemetry = me, mesh, membership, telemetry
        self.handlers, self.own, self.tasks = {}, None, set()
        self.for_zone, self.for_relays = {}, {}
        mesh.register(Bulletin, self.on_bulletin)

    def on(self, kind, handler):
        """Hand news of a kind from other routers to `handler(news, origin)`."""
        self.handlers[kind] = handler

    def tell(self, news):
        """Bring news to all other routers."""
        if self.own is None:
            self.own = Gathered()
            asyncio.get_running_loop().call_soon(self._tell_own)
        self.own.add(news)

    def beat_s(self) -> float:
        """How long a relay gathers news before it passes them on."""
        told = len(self._neighbours()) + len(self._other_relays())
        return min(MOST_BEAT_S, told / PASSED_ON_PER_S)

    def _relay(self):
        return self.membership.relays("router").get(self.me.zone, self.me.addr)

    def _neighbours(self):
        return self.membership.reachable("router", self.me.zone)

    def _other_relays(self):
        relays = self.membership.relays("router").items()
        return [addr for zone, addr in relays if zone != self.me.zone]

    def _tell_own(self):
        own, self.own = self.own, None
        sections = [own.section(self.me.addr)]
        if self._relay() == self.me.addr:
            self._pass_on(sections, Reach.FLEET)
        elif not own.kept:
            self.mesh.send(self._relay(), Bulletin(sections=sections, reach=Reach.FLEET))
        else:
            self._begin(self._tell_surely(self._relay, sections, Reach.FLEET))

    def _begin(self, coro):
        task = asyncio.ensure_future(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _tell_surely(self, relay_now, sections, reach):
        """Tell the relay that there is at the time of each try, until one has heard it."""
        for _ in range(TRIES):
            relay = relay_now()
            if relay is None:
                return
            if relay == self.me.addr:
                return self._pass_on(sections, reach)
            bulletin = Bulletin(sections=sections, reach=reach)
            if not is_fault(await self.mesh.request(relay, bulletin, ASK_MS)):
                return
            self.telemetry.count["bulletinsUnheard"] += 1
            await asyncio.sleep(PAUSE_S)

    def _pass_on(self, sections, reach):
        if not self.for_zone:
            asyncio.get_running_loop().call_later(self.beat_s(), self._tell_on)
        targets = [self.for_zone, self.for_relays] if reach == Reach.FLEET else [self.for_zone]
        for gathered in targets:
            for section in sections:
                gathered.setdefault(section.origin, Gathered()).add_all(section)

    def _tell_on(self):
        for_zone, self.for_zone = self.for_zone, {}
        for_relays, self.for_relays = self.for_relays, {}
        self.mesh.send_all(self._neighbours(), Bulletin(sections=_sections(for_zone)))
        if not for_relays:
            return
        sections = _sections(for_relays)
        if not any(each.kept for each in sections):
            bulletin = Bulletin(sections=sections, reach=Reach.ZONE)
            return self.mesh.send_all(self._other_relays(), bulletin)
        for zone in self.membership.relays("router"):
            if zone != self.me.zone:
                self._begin(self._tell_surely(self._relay_of(zone), sections, Reach.ZONE))

    def _relay_of(self, zone):
        return lambda: self.membership.relays("router").get(zone)

    def on_bulletin(self, bulletin, sender):
        """Hand news to their handlers, and pass them on as far as the bulletin says."""
        sections = [each for each in bulletin.sections if each.origin != self.me.addr]
        for section in sections:
            for news in (*section.loads, *section.kept, *section.troubles):
                handler = self.handlers.get(type(news))
                if handler is not None:
                    handler(news, section.origin)
        if sections and bulletin.reach != Reach.NONE:
            self._pass_on(sections, bulletin.reach)
