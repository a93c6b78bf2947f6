"""Tracks which processes are in the fleet: direct and indirect probes, suspicion before removal."""

import asyncio
import hashlib

import attrs

from swiftdeck.fault import is_fault
from swiftdeck.wire.messages import Done, Member, MemberList, Probe, ProbeReturn

ALIVE, SUSPECT, GONE = 0, 1, 2
SEED_PROBE_MIN_S, SEED_PROBE_MAX_S, SEED_PROBE_GROWTH = 0.1, 0.5, 1.3
"""Pauses between probes of the seeds while no other process is known, growing by the factor."""
INITIAL_COMPARISONS, INITIAL_COMPARISON_PAUSE_S = 6, 0.3
"""How many extra digest comparisons a process makes after it joined, and the pause before each."""
INITIAL_JOINS = 8
"""How many known processes are asked for their whole list, which is long in a large fleet."""
STATES = ("alive", "suspect", "gone")
SERIAL_BITS = 32
"""Bits of the incarnation at which probe numbers start, so that two incarnations share none."""


@attrs.define
class KnownMember:
    """A member as this process knows it.

    `since_s` is when its state last changed, by the clock of the loop. `sends_left` is how many
    more probes or answers carry this state to others.
    """

    member: Member
    since_s: float
    sends_left: int = 0


class Membership:
    """The table of other processes by incarnation.

    Its states are only hints for choosing whom to contact; leases decide who may act.
    """

    def __init__(
        self,
        me: Member,
        mesh,
        seeds,
        random,
        probe_interval_ms=500,
        suspect_timeout_ms=2000,
        telemetry=None,
    ):
        self.me, self.mesh, self.seeds, self.random = me, mesh, list(seeds), random
        self.probe_interval_ms, self.suspect_timeout_ms, self.telemetry = (
            probe_interval_ms,
            suspect_timeout_ms,
            telemetry,
        )
        self.known, self.probe_order, self.pending_probes = {}, [], {}
        self.serial = me.incarnation & ((1 << SERIAL_BITS) - 1)
        self.verifications: dict[str, asyncio.Task] = {}
        self.watchers = []
        self.version, self.cache = 0, {}
        mesh.register(Probe, self.on_probe)
        mesh.register(ProbeReturn, self.on_probe_return)
        mesh.register(MemberList, self.on_member_list)

    def start(self):
        """Join the fleet and start probing."""
        self.loop = asyncio.get_running_loop()
        self.tasks = [
            asyncio.ensure_future(self._probe_loop()),
            asyncio.ensure_future(self._join_loop()),
            asyncio.ensure_future(self._probe_seeds()),
        ]

    def _cached(self, key, compute):
        """Return the result of `compute()`, computed once per version of the table."""
        if self.cache.get("version") != self.version:
            self.cache = {"version": self.version}
        if key not in self.cache:
            self.cache[key] = compute()
        return self.cache[key]

    def alive(self, role=None):
        """Return the other members that are not gone, suspected ones included, as a tuple."""
        return self._cached(
            ("alive", role),
            lambda: tuple(
                known.member
                for known in self.known.values()
                if known.member.state != GONE and (role is None or known.member.role == role)
            ),
        )

    def reachable(self, role=None, zone=None):
        """Return the addresses of other members, of one zone or all, neither gone nor suspected."""
        return self._cached(
            ("reachable", role, zone),
            lambda: tuple(
                member.addr
                for member in self.alive(role)
                if member.state == ALIVE and zone in (None, member.zone)
            ),
        )

    def relays(self, role):
        """Map each zone to its lowest address of a role that isn't suspected, this one included."""
        return self._cached(("relays", role), lambda: self._relays(role))

    def _relays(self, role):
        own = [self.me] if self.me.role == role else []
        relays = {}
        for member in [*own, *(other for other in self.alive(role) if other.state == ALIVE)]:
            relays[member.zone] = min(member.addr, relays.get(member.zone, member.addr))
        return relays

    def addresses(self, role):
        """Return the sorted addresses of a role that are not gone, this process included."""
        return self._cached(
            ("addresses", role), lambda: self._sorted_addresses(role, self.alive(role))
        )

    def ranked(self, role):
        """Return `addresses(role)` without the suspected ones; the first one acts for all."""
        return self._cached(
            ("ranked", role),
            lambda: self._sorted_addresses(
                role, [member for member in self.alive(role) if not member.state]
            ),
        )

    def _sorted_addresses(self, role, members):
        own = [self.me.addr] if self.me.role == role else []
        return sorted([*own, *(member.addr for member in members)])

    def digest(self):
        """Return a number that is equal on processes that know the same of all not gone members."""
        return self._cached("digest", self._digest)

    def _digest(self):
        states = sorted(
            (member.incarnation, member.refuted, member.state)
            for member in (self.me, *self.alive())
        )
        return int.from_bytes(hashlib.blake2b(repr(states).encode(), digest_size=7).digest(), "big")

    def some(self, count, role=None):
        """Return up to `count` other members at random."""
        members = self.alive(role)
        return self.random.sample(members, min(count, len(members)))

    def _recent_changes(self):
        """Return up to 6 recently changed members to send along with a probe or an answer."""
        recent = sorted(
            (known for known in self.known.values() if known.sends_left > 0),
            key=lambda known: -known.sends_left,
        )[:6]
        for known in recent:
            known.sends_left -= 1
        return [known.member for known in recent]

    def learn(self, member: Member, is_current=False):
        """Merge what was received about a process into the table.

        A report that this process is suspected or gone is refuted by raising its own counter.

        Args:
            member: The process and its reported state.
            is_current: Whether this incarnation runs at its address now, so that all other
                incarnations there are gone.
        """
        if not member.addr or not member.incarnation:
            return
        if member.incarnation == self.me.incarnation:
            if member.state != ALIVE and member.refuted >= self.me.refuted:
                self.me.refuted = member.refuted + 1
                self.version += 1
            return
        if is_current:
            for other in self._other_incarnations(member):
                self._set_state(other, GONE)
        known = self.known.get(member.incarnation)
        if known is None:
            if member.state != GONE:
                self.known[member.incarnation] = KnownMember(member, self.loop.time(), 8)
                self.version += 1
                self._notify(member)
            return
        is_newer = (member.refuted, member.state) > (known.member.refuted, known.member.state)
        if is_newer:
            old_state = known.member.state
            known.member, known.sends_left = member, 8
            self.version += 1
            if old_state != member.state:
                known.since_s = self.loop.time()
                self._notify(member)

    def _other_incarnations(self, member: Member) -> list[Member]:
        """Return other incarnations at the member's address that are not known to be gone."""
        return [
            known.member
            for known in self.known.values()
            if known.member.addr == member.addr
            and known.member.incarnation != member.incarnation
            and known.member.state != GONE
        ]

    def _learn_from_sender(self, member: Member):
        """Merge what a process says of itself in a message that may be late.

        The message may come from an incarnation that has ended since. Where another incarnation is
        known at the same address, a probe finds out which of the two is running.
        """
        if not self._other_incarnations(member):
            self.learn(member)
            return
        if member.incarnation in self.known:
            self.learn(member)
        if member.addr not in self.verifications:
            task = asyncio.ensure_future(self._ping(member.addr, self.probe_interval_ms * 0.4))
            self.verifications[member.addr] = task
            task.add_done_callback(lambda _: self.verifications.pop(member.addr, None))

    def _set_state(self, member, state):
        if member.state != state:
            changed = Member().parse(bytes(member))
            changed.state = state
            self.learn(changed)

    def _notify(self, member):
        """Report a member's new state to the telemetry and the watchers."""
        if self.telemetry:
            self.telemetry.set_fact(f"neighbour.{member.name}", STATES[member.state])
        for watcher in self.watchers:
            watcher(member)

    def on_probe(self, probe, sender):
        """Answer a probe, or probe another process on behalf of the sender."""
        self._learn_from_sender(probe.sender)
        for member in probe.about:
            self.learn(member)
        if probe.target and probe.target != self.me.addr:
            return self._probe_for(probe, sender)
        about = self._recent_changes()
        known_sender = self.known.get(probe.sender.incarnation)
        if known_sender and known_sender.member.state != ALIVE:
            about.append(known_sender.member)
        self.mesh.send_datagram(
            sender,
            ProbeReturn(sender=self.me, target=self.me.addr, serial=probe.serial, about=about),
        )

    async def _probe_for(self, probe, sender):
        """Probe the target of an indirect probe; answer its sender only when it is reached."""
        if await self._ping(probe.target, self.probe_interval_ms * 0.4):
            self.mesh.send_datagram(
                sender, ProbeReturn(sender=self.me, target=probe.target, serial=probe.serial)
            )

    def on_probe_return(self, probe_return, sender):
        """Handle the answer to a probe; one that is still awaited shows a current incarnation."""
        pending = self.pending_probes.get(probe_return.serial)
        if pending is None:
            self._learn_from_sender(probe_return.sender)
        else:
            self.learn(probe_return.sender, is_current=True)
        for member in probe_return.about:
            self.learn(member)
        if pending and not pending.done():
            pending.set_result(True)

    def on_member_list(self, member_list, sender):
        """Learn the listed members; send the whole table where the sender's digest differs.

        A list that isn't one-way (`is_told`) is answered with the whole table.
        """
        for member in member_list.members:
            self.learn(member)
        if not member_list.is_told:
            return MemberList(members=[self.me, *self._all_members()], digest=self.digest())
        if member_list.digest and member_list.digest != self.digest():
            self._send_table(sender, is_first=len(member_list.members) == 1)
        return None

    def _all_members(self):
        return [known.member for known in self.known.values()]

    def _send_table(self, addr, is_first):
        """Send the whole table to a process.

        Only the first of an exchange carries a digest, to which the receiver answers with its own
        table where the digests still differ.
        """
        digest = self.digest() if is_first else 0
        table = MemberList(members=[self.me, *self._all_members()], digest=digest, is_told=True)
        self.mesh.send(addr, table)

    async def _ping(self, addr, wait_ms, through=None):
        """Probe an address, directly or through others; return whether it answered in time."""
        self.serial += 1
        serial, answered = self.serial, self.loop.create_future()
        self.pending_probes[serial] = answered
        probe = Probe(sender=self.me, target=addr, serial=serial, about=self._recent_changes())
        for receiver in through or [addr]:
            self.mesh.send_datagram(receiver, probe)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await answered
        except TimeoutError:
            return False
        finally:
            del self.pending_probes[serial]

    def _next_target(self):
        """Return the next member to probe, or None; each is probed once per shuffled round."""
        self.probe_order = [
            incarnation
            for incarnation in self.probe_order
            if incarnation in self.known and self.known[incarnation].member.state != GONE
        ]
        if not self.probe_order:
            self.probe_order = [member.incarnation for member in self.alive()]
            self.random.shuffle(self.probe_order)
        return self.known[self.probe_order.pop()] if self.probe_order else None

    async def _probe_loop(self):
        while True:
            start_s = self.loop.time()
            target = self._next_target()
            if target:
                await self._probe(target.member)
            self._expire()
            await asyncio.sleep(
                max(0.05, self.probe_interval_ms / 1000 - (self.loop.time() - start_s))
            )

    async def _probe(self, member):
        """Probe a member directly, then through two others; suspect it when neither succeeds.

        A round that took over two intervals is ignored: this process itself was held up.
        """
        start_s = self.loop.time()
        if await self._ping(member.addr, self.probe_interval_ms * 0.4):
            return
        others = [other.addr for other in self.some(3) if other.addr != member.addr][:2]
        is_reached = (
            await self._ping(member.addr, self.probe_interval_ms * 0.6, others) if others else False
        )
        is_late = self.loop.time() - start_s > 2 * self.probe_interval_ms / 1000
        known = self.known.get(member.incarnation)
        if not is_reached and not is_late and known and known.member.state == ALIVE:
            self._set_state(known.member, SUSPECT)

    def _expire(self):
        """Declare members gone whose suspicion timed out; forget those gone for 600 s."""
        now_s = self.loop.time()
        for known in list(self.known.values()):
            if (
                known.member.state == SUSPECT
                and now_s - known.since_s > self.suspect_timeout_ms / 1000
            ):
                self._set_state(known.member, GONE)
            elif known.member.state == GONE and now_s - known.since_s > 600:
                del self.known[known.member.incarnation]

    async def _join_loop(self):
        """Compare digests and rejoin unknown seeds and one gone member, every 3 s (0.5 s alone)."""
        while True:
            gone = [
                known.member.addr for known in self.known.values() if known.member.state == GONE
            ]
            targets = set(self.seeds) | set(self.random.sample(gone, min(1, len(gone))))
            targets = targets - {self.me.addr} - {member.addr for member in self.alive()}
            self.compare_digests()
            await asyncio.gather(*(self._join(addr) for addr in sorted(targets)))
            await asyncio.sleep(0.5 if not self.alive() else 3.0)

    async def _probe_seeds(self):
        """Probe the seeds by datagrams until a member is known, then ask members for their lists.

        A connection attempt to a machine that is down blocks for a second, and after a full power
        loss every process would start with such attempts.
        """
        pause_s = SEED_PROBE_MIN_S
        while not self.alive():
            for addr in self.seeds:
                if addr != self.me.addr:
                    self.mesh.send_datagram(addr, Probe(sender=self.me, target=addr))
            await asyncio.sleep(pause_s * self.random.uniform(0.8, 1.2))
            pause_s = min(SEED_PROBE_MAX_S, pause_s * SEED_PROBE_GROWTH)
        members = self.some(INITIAL_JOINS)
        await asyncio.gather(*(self._join(member.addr) for member in members))
        for _ in range(INITIAL_COMPARISONS):
            await asyncio.sleep(INITIAL_COMPARISON_PAUSE_S * self.random.uniform(0.8, 1.2))
            self.compare_digests()

    async def _join(self, addr):
        """Send all alive members to a process and learn those that it returns."""
        response = await self.mesh.request(addr, MemberList(members=[self.me, *self.alive()]))
        if not is_fault(response) and not isinstance(response, Done):
            for member in response.members:
                self.learn(member)

    def compare_digests(self):
        """Send the digest to a random member, which sends its whole table where it differs."""
        for member in self.some(1):
            digest = MemberList(members=[self.me], digest=self.digest(), is_told=True)
            self.mesh.send_datagram(member.addr, digest)

    def leave(self):
        """Announce that this process ends, so that others need not detect it."""
        gone = Member().parse(bytes(self.me))
        gone.state = GONE
        addrs = [member.addr for member in self.alive()]
        self.mesh.send_datagrams(addrs, MemberList(members=[gone], is_told=True))

    def set_seeds(self, seeds):
        """Replace the seeds at run time."""
        self.seeds = list(seeds)
