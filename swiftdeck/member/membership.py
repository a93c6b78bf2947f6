"""Who is in the fleet: probes in turn, second opinions, suspicion before removal."""

import asyncio
import hashlib

import attrs

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import Done, Member, MemberList, Probe, ProbeReturn

ALIVE, SUSPECT, GONE = 0, 1, 2
KNOCK_LEAST_S, KNOCK_MOST_S, KNOCK_GROWTH = 0.1, 0.5, 1.3
"""Pauses between probes of the seeds while no neighbour is known."""
FIRST_COMPARISONS, FIRST_PAUSE_S = 6, 0.3
"""How often, and after what pauses, a process that joined compares what it knows with others."""
KNOCKED_JOINS = 8
"""How many of those that answered are asked for the whole list, which is long in a large fleet."""
STATES = ("alive", "suspect", "gone")
SERIAL_BITS = 32
"""How much of the incarnation the numbers of probes begin with, so that no two lives share them."""


@attrs.define
class Known:
    """A neighbour and what this process thinks of it."""

    member: Member
    since_s: float
    tells: int = 0


class Membership:
    """The table of neighbours by incarnation; an opinion here is advice, leases decide."""

    def __init__(
        self, me: Member, mesh, seeds, random, probeMs=500, suspectMs=2000, telemetry=None
    ):
        self.me, self.mesh, self.seeds, self.random = me, mesh, list(seeds), random
        self.probeMs, self.suspectMs, self.telemetry = probeMs, suspectMs, telemetry
        self.known, self.turn, self.waiting = {}, [], {}
        self.serial = me.incarnation & ((1 << SERIAL_BITS) - 1)
        self.verified: dict[str, asyncio.Task] = {}
        self.watchers = []
        self.version, self.remembered = 0, {}
        mesh.register(Probe, self.on_probe)
        mesh.register(ProbeReturn, self.on_probe_return)
        mesh.register(MemberList, self.on_member_list)

    def start(self):
        """Join and go on probing."""
        self.loop = asyncio.get_running_loop()
        self.tasks = [
            asyncio.ensure_future(self._probing()),
            asyncio.ensure_future(self._seeking()),
            asyncio.ensure_future(self._knocking()),
        ]

    def _once(self, name, find):
        """What `find()` gives, found once for each version of the table."""
        if self.remembered.get("version") != self.version:
            self.remembered = {"version": self.version}
        if name not in self.remembered:
            self.remembered[name] = find()
        return self.remembered[name]

    def alive(self, role=None):
        """Neighbours that are not gone, as a tuple."""
        return self._once(
            ("alive", role),
            lambda: tuple(
                each.member
                for each in self.known.values()
                if each.member.state != GONE and (role is None or each.member.role == role)
            ),
        )

    def reachable(self, role=None, zone=None):
        """Addresses of neighbours, of one zone or of all, that are neither gone nor suspected."""
        return self._once(
            ("reachable", role, zone),
            lambda: tuple(
                each.addr
                for each in self.alive(role)
                if each.state == ALIVE and zone in (None, each.zone)
            ),
        )

    def relays(self, role):
        """By zone the first address of a role that isn't suspected; this process counts too."""
        return self._once(("relays", role), lambda: self._relays(role))

    def _relays(self, role):
        own = [self.me] if self.me.role == role else []
        found = {}
        for each in [*own, *(each for each in self.alive(role) if each.state == ALIVE)]:
            found[each.zone] = min(each.addr, found.get(each.zone, each.addr))
        return found

    def addresses(self, role):
        """Addresses of all of a role that are not gone, in order; this process counts too."""
        return self._once(("addresses", role), lambda: self._in_order(role, self.alive(role)))

    def ranked(self, role):
        """Those addresses without the suspected ones: the first one acts for all."""
        return self._once(
            ("ranked", role),
            lambda: self._in_order(role, [each for each in self.alive(role) if not each.state]),
        )

    def _in_order(self, role, members):
        own = [self.me.addr] if self.me.role == role else []
        return sorted([*own, *(each.addr for each in members)])

    def digest(self):
        """A number that is the same where the same is known of all that are not gone."""
        return self._once("digest", self._digest)

    def _digest(self):
        known = sorted(
            (each.incarnation, each.refuted, each.state) for each in (self.me, *self.alive())
        )
        return int.from_bytes(hashlib.blake2b(repr(known).encode(), digest_size=7).digest(), "big")

    def some(self, count, role=None):
        """A few neighbours at random."""
        found = self.alive(role)
        return self.random.sample(found, min(count, len(found)))

    def _about(self):
        fresh = sorted(
            (each for each in self.known.values() if each.tells > 0), key=lambda each: -each.tells
        )[:6]
        for each in fresh:
            each.tells -= 1
        return [each.member for each in fresh]

    def learn(self, member: Member, is_present=False):
        """Take in what was heard of a process.

        `is_present` says that it lives at its address now, so that any other one there is gone.
        """
        if not member.addr or not member.incarnation:
            return
        if member.incarnation == self.me.incarnation:
            if member.state != ALIVE and member.refuted >= self.me.refuted:
                self.me.refuted = member.refuted + 1
                self.version += 1
            return
        if is_present:
            for other in self._others_at(member):
                self._set(other, GONE)
        old = self.known.get(member.incarnation)
        if old is None:
            if member.state != GONE:
                self.known[member.incarnation] = Known(member, self.loop.time(), 8)
                self.version += 1
                self._changed(member)
            return
        newer = (member.refuted, member.state) > (old.member.refuted, old.member.state)
        if newer:
            before = old.member.state
            old.member, old.tells = member, 8
            self.version += 1
            if before != member.state:
                old.since_s = self.loop.time()
                self._changed(member)

    def _others_at(self, member: Member) -> list[Member]:
        """Other lives at a process's address that are not known to be gone."""
        return [
            each.member
            for each in self.known.values()
            if each.member.addr == member.addr
            and each.member.incarnation != member.incarnation
            and each.member.state != GONE
        ]

    def _hear_from(self, member: Member):
        """Take in a process's own word, which may have come late, from a life that is over.

        Where another life is known at its address a probe asks which of the two is there now.
        """
        if not self._others_at(member):
            self.learn(member)
            return
        if member.incarnation in self.known:
            self.learn(member)
        if member.addr not in self.verified:
            task = asyncio.ensure_future(self._reach(member.addr, self.probeMs * 0.4))
            self.verified[member.addr] = task
            task.add_done_callback(lambda _: self.verified.pop(member.addr, None))

    def _set(self, member, state):
        if member.state != state:
            changed = Member().parse(bytes(member))
            changed.state = state
            self.learn(changed)

    def _changed(self, member):
        if self.telemetry:
            self.telemetry.set_fact(f"neighbour.{member.name}", STATES[member.state])
        for watch in self.watchers:
            watch(member)

    def on_probe(self, probe, sender):
        """Answer a probe, or find out about another process for the sender."""
        self._hear_from(probe.sender)
        for each in probe.about:
            self.learn(each)
        if probe.target and probe.target != self.me.addr:
            return asyncio.ensure_future(self._second_opinion(probe, sender))
        about = self._about()
        mine = self.known.get(probe.sender.incarnation)
        if mine and mine.member.state != ALIVE:
            about.append(mine.member)
        self.mesh.send_datagram(
            sender,
            ProbeReturn(sender=self.me, target=self.me.addr, serial=probe.serial, about=about),
        )

    async def _second_opinion(self, probe, sender):
        if await self._reach(probe.target, self.probeMs * 0.4):
            self.mesh.send_datagram(
                sender, ProbeReturn(sender=self.me, target=probe.target, serial=probe.serial)
            )

    def on_probe_return(self, told, sender):
        """Take in the answer to a probe; one that is waited for is the word of a present life."""
        done = self.waiting.get(told.serial)
        if done is None:
            self._hear_from(told.sender)
        else:
            self.learn(told.sender, is_present=True)
        for each in told.about:
            self.learn(each)
        if done and not done.done():
            done.set_result(True)

    def on_member_list(self, member_list, sender):
        """Learn members, and tell all that is known where the sender knows other things."""
        for each in member_list.members:
            self.learn(each)
        if not member_list.is_told:
            return MemberList(members=[self.me, *self._all()], digest=self.digest())
        if member_list.digest and member_list.digest != self.digest():
            self._tell_whole(sender, is_first=len(member_list.members) == 1)
        return None

    def _all(self):
        return [each.member for each in self.known.values()]

    def _tell_whole(self, addr, is_first):
        """Tell a process all that is known here; it answers the first in turn if need be."""
        digest = self.digest() if is_first else 0
        whole = MemberList(members=[self.me, *self._all()], digest=digest, is_told=True)
        self.mesh.send(addr, whole)

    async def _reach(self, addr, wait_ms, through=None):
        self.serial += 1
        number, done = self.serial, self.loop.create_future()
        self.waiting[number] = done
        probe = Probe(sender=self.me, target=addr, serial=number, about=self._about())
        for each in through or [addr]:
            self.mesh.send_datagram(each, probe)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await done
        except TimeoutError:
            return False
        finally:
            del self.waiting[number]

    def _nominate_next(self):
        self.turn = [
            each
            for each in self.turn
            if each in self.known and self.known[each].member.state != GONE
        ]
        if not self.turn:
            self.turn = [each.incarnation for each in self.alive()]
            self.random.shuffle(self.turn)
        return self.known[self.turn.pop()] if self.turn else None

    async def _probing(self):
        while True:
            start_s = self.loop.time()
            target = self._nominate_next()
            if target:
                await self._probe(target.member)
            self._expire()
            await asyncio.sleep(max(0.05, self.probeMs / 1000 - (self.loop.time() - start_s)))

    async def _probe(self, member):
        start_s = self.loop.time()
        if await self._reach(member.addr, self.probeMs * 0.4):
            return
        others = [each.addr for each in self.some(3) if each.addr != member.addr][:2]
        heard = await self._reach(member.addr, self.probeMs * 0.6, others) if others else False
        is_late = self.loop.time() - start_s > 2 * self.probeMs / 1000
        now = self.known.get(member.incarnation)
        if not heard and not is_late and now and now.member.state == ALIVE:
            self._set(now.member, SUSPECT)

    def _expire(self):
        now_s = self.loop.time()
        for each in list(self.known.values()):
            if each.member.state == SUSPECT and now_s - each.since_s > self.suspectMs / 1000:
                self._set(each.member, GONE)
            elif each.member.state == GONE and now_s - each.since_s > 600:
                del self.known[each.member.incarnation]

    async def _seeking(self):
        while True:
            lost = [each.member.addr for each in self.known.values() if each.member.state == GONE]
            targets = set(self.seeds) | set(self.random.sample(lost, min(1, len(lost))))
            targets = targets - {self.me.addr} - {each.addr for each in self.alive()}
            self.compare()
            await asyncio.gather(*(self._join(addr) for addr in sorted(targets)))
            await asyncio.sleep(0.5 if not self.alive() else 3.0)

    async def _knocking(self):
        """Probe the seeds by datagrams until one answers, and learn from it whom it knows.

        A connection to a machine that is down hangs for a second; after a loss of all power every
        process would begin with that.
        """
        pause_s = KNOCK_LEAST_S
        while not self.alive():
            for addr in self.seeds:
                if addr != self.me.addr:
                    self.mesh.send_datagram(addr, Probe(sender=self.me, target=addr))
            await asyncio.sleep(pause_s * self.random.uniform(0.8, 1.2))
            pause_s = min(KNOCK_MOST_S, pause_s * KNOCK_GROWTH)
        known = self.some(KNOCKED_JOINS)
        await asyncio.gather(*(self._join(each.addr) for each in known))
        for _ in range(FIRST_COMPARISONS):
            await asyncio.sleep(FIRST_PAUSE_S * self.random.uniform(0.8, 1.2))
            self.compare()

    async def _join(self, addr):
        """Tell a process that isn't known all, and learn all that it knows."""
        got = await self.mesh.request(addr, MemberList(members=[self.me, *self.alive()]))
        if not is_fault(got) and not isinstance(got, Done):
            for each in got.members:
                self.learn(each)

    def compare(self):
        """Send the digest to one of the others; where it differs, all that is known follows."""
        for each in self.some(1):
            digest = MemberList(members=[self.me], digest=self.digest(), is_told=True)
            self.mesh.send_datagram(each.addr, digest)

    def leave(self):
        """Say that this process ends, so that nobody has to find out."""
        gone = Member().parse(bytes(self.me))
        gone.state = GONE
        addrs = [each.addr for each in self.alive()]
        self.mesh.send_datagrams(addrs, MemberList(members=[gone], is_told=True))

    def set_seeds(self, seeds):
        """Exchange the seeds at run time."""
        self.seeds = list(seeds)
