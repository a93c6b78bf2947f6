"""Mends the chain: founds it, drops lost members, lets members join."""

import asyncio

from swiftdeck.chain.agreement import ids
from swiftdeck.fault import STALE_VIEW, is_fault
from swiftdeck.wire.messages import CoreRef, Done, JoinAsk, View, ViewAsk

SWEEP_S = 30.0
ASK_MS, SILENT_S, FAULTY_S, RANK_S = 500, 0.9, 0.5, 0.5
FOUNDERS_WAIT_S = 5.0
LAST_COPIES_S = 6.0
"""How long a member must be silent before a view is formed that is left with too few copies to acknowledge anything."""


class ViewManager:
    """The controller of the view: compares what neighbours say with the view and proposes the next."""

    def __init__(
        self,
        me,
        mesh,
        membership,
        agreement,
        chain,
        telemetry,
        random,
        cores=3,
        round_ms=300,
        losses_borne=1,
    ):
        self.me, self.mesh, self.membership, self.agreement, self.chain = (
            me,
            mesh,
            membership,
            agreement,
            chain,
        )
        self.telemetry, self.random, self.cores, self.round_ms = telemetry, random, cores, round_ms
        self.losses_borne = losses_borne
        self.said, self.bad_since_s, self.silent_since_s, self.accepted_since_s = {}, {}, {}, None
        self.founders_since_s, self.is_leaving = None, False
        agreement.is_partial = chain.lacks_entries
        mesh.register(JoinAsk, self.on_join)

    def start(self):
        """Go on mending."""
        self.loop = asyncio.get_running_loop()
        self.tasks = [
            asyncio.ensure_future(work())
            for work in (self._mending, self._renewing, self._sweeping)
        ]

    async def _sweeping(self):
        """One file of a few megabytes at a time, half a minute apart."""
        while True:
            for part in (self.chain, self.agreement):
                await asyncio.sleep(SWEEP_S * self.random.uniform(0.8, 1.2))
                await part.sweep()

    async def _renewing(self):
        while True:
            await self.agreement.renew()
            is_held = self.loop.time() < self.agreement.lease_until_s
            await asyncio.sleep(self.agreement.lease_ms / 4000 if is_held else 0.1)

    async def _mending(self):
        while True:
            await asyncio.sleep(self.round_ms / 1000 * self.random.uniform(0.8, 1.2))
            if not await self._ask():
                continue
            await self.agreement.heal()
            await self.chain.heal()
            if not self.agreement.decided.number:
                await self._found()
            elif self.agreement.position() < 0:
                if not self.is_leaving:
                    await self._join()
            elif self.agreement.is_voter():
                await self._mend()

    async def _ask(self):
        addrs = {each.addr for each in self.membership.alive("core")}
        view = self.agreement.decided
        addrs |= {ref.addr for ref in [*view.members, *view.voters]}
        addrs |= set() if view.number else set(self.agreement.founders)
        addrs, start_s = sorted(addrs - {self.me.addr}), self.loop.time()
        ask = ViewAsk(core_id=self.agreement.core_id, addr=self.me.addr)
        got = await asyncio.gather(*(self.mesh.request(addr, ask, ASK_MS) for addr in addrs))
        if self.loop.time() - start_s > 2 * ASK_MS / 1000:
            self.silent_since_s = {}
            return False
        self.said = {
            each.core_id: (addr, each)
            for addr, each in zip(addrs, got, strict=False)
            if not is_fault(each)
        }
        self.agreement.hears = list(self.said)
        self.silent_since_s = {
            ref.core_id: self.silent_since_s.get(ref.core_id, start_s)
            for ref in view.members
            if ref.core_id not in self._heard()
        }
        newest = max(
            (each.view for _, each in self.said.values()),
            key=lambda view: view.number,
            default=None,
        )
        if newest and newest.number > view.number:
            await self.agreement.learn(newest)
        return True

    async def _found(self):
        if self.agreement.fault is not None or not self.agreement.may_found:
            return
        if self.agreement.founders:
            return await self._found_named()
        if len(self.said) != self.cores - 1:
            return
        refs = sorted(
            [
                CoreRef(core_id=self.agreement.core_id, addr=self.me.addr),
                *(CoreRef(core_id=core_id, addr=addr) for core_id, (addr, _) in self.said.items()),
            ],
            key=lambda ref: ref.addr,
        )
        is_my_turn = refs[0].core_id == self.agreement.core_id or self.random.random() < 0.05
        if is_my_turn and (
            self.agreement.slot.accepted
            or all(each.fresh and each.may_found for _, each in self.said.values())
        ):
            await self.agreement.propose(View(number=1, members=refs, voters=refs))

    async def _found_named(self):
        """Found with the cores at the named addresses; with a majority of them if the rest stay away."""
        founders, now_s = self.agreement.founders, self.loop.time()
        own = {self.me.addr: (self.agreement.core_id, True)}
        there = {
            addr: (core_id, each.may_found)
            for core_id, (addr, each) in self.said.items()
            if addr in founders
        } | own
        if self.me.addr not in founders or len(there) * 2 <= len(founders):
            self.founders_since_s = None
            return
        self.founders_since_s = self.founders_since_s or now_s
        is_complete = len(there) == len(founders) or now_s - self.founders_since_s > FOUNDERS_WAIT_S
        first = min(addr for addr, (_, may_found) in there.items() if may_found)
        if is_complete and (first == self.me.addr or self.random.random() < 0.05):
            refs = [
                CoreRef(core_id=core_id, addr=addr) for addr, (core_id, _) in sorted(there.items())
            ]
            await self.agreement.propose(View(number=1, members=refs, voters=refs))

    async def _mend(self):
        view, now_s = self.agreement.decided, self.loop.time()
        if self.agreement.slot.accepted is None:
            self.accepted_since_s = None
        elif self.accepted_since_s is None:
            self.accepted_since_s = now_s
        elif now_s - self.accepted_since_s > 0.7:
            self.accepted_since_s = None
            await self.agreement.propose(self.agreement.slot.accepted)
            return
        lost = self._lost(view, now_s)
        failed_s, at = self.chain.pass_failed_s, self.agreement.position()
        if failed_s is not None and now_s - failed_s > 2.0 and at + 1 < len(view.members):
            lost.add(view.members[at + 1].core_id)
        kept = [ref for ref in view.members if ref.core_id not in lost]
        if lost and len(kept) < len(view.members):
            if self._may_drop(lost, kept, view, now_s):
                self.telemetry.log_event("drops members", lost=sorted(lost))
                await self.agreement.propose(
                    View(number=view.number + 1, members=kept, voters=view.voters)
                )
            return
        voters = next(
            filter(
                None,
                (
                    self._voters_with(view, ref)
                    for ref in view.members
                    if ref.core_id in self._heard() and ref.core_id not in ids(view.voters)
                ),
            ),
            None,
        )
        if voters:
            await self.agreement.propose(
                View(number=view.number + 1, members=view.members, voters=voters)
            )

    def _may_drop(self, lost, kept, view, now_s):
        """Whether the view after this one may do without the lost members.

        Some of those that stay must be complete. Where these are too few to acknowledge anything, a
        lost member's disk may be the only copy left if one of them loses its own, and a view without
        that member could not go back to it. So it stays a member, unless its place is known to be
        empty or it has been away for long.
        """
        complete = sum(self._is_complete(ref) for ref in kept)
        if complete > self.losses_borne:
            return True
        return complete > 0 and all(
            self._is_replaced(ref) or self._away_s(ref, now_s) > LAST_COPIES_S
            for ref in view.members
            if ref.core_id in lost
        )

    def _away_s(self, ref, now_s):
        """For how many seconds a member has been silent or faulty."""
        away_since_s = [
            since[ref.core_id]
            for since in (self.silent_since_s, self.bad_since_s)
            if ref.core_id in since
        ]
        return now_s - min(away_since_s, default=now_s)

    def _heard(self):
        return {self.agreement.core_id, *self.said}

    def _is_complete(self, ref):
        """Whether a member may have all that was committed: one that joined has it once it was whole."""
        if ref.core_id == self.agreement.core_id:
            return not self.chain.lacks_entries()
        return ref.core_id not in self.said or not self.said[ref.core_id][1].is_partial

    def _lost(self, view, now_s):
        """Members to leave out: replaced ones at once, faulty ones and those that nobody hears after a while."""
        rank = (
            [ref.core_id for ref in view.members if ref.core_id in self._heard()].index(
                self.agreement.core_id
            )
            if self.agreement.position() >= 0
            else 0
        )
        faulty = {ref.core_id for ref in view.members if self._is_faulty(ref)}
        self.bad_since_s = {core_id: self.bad_since_s.get(core_id, now_s) for core_id in faulty}
        silent = {
            core_id: since_s
            for core_id, since_s in self.silent_since_s.items()
            if core_id in ids(view.members) and self._is_unheard(core_id)
        }
        return (
            {ref.core_id for ref in view.members if self._is_replaced(ref)}
            | {
                core_id
                for core_id, since_s in self.bad_since_s.items()
                if now_s - since_s > FAULTY_S + RANK_S * rank
            }
            | {
                core_id
                for core_id, since_s in silent.items()
                if now_s - since_s > SILENT_S + RANK_S * rank
            }
        )

    def _is_faulty(self, ref):
        if ref.core_id == self.agreement.core_id:
            return bool(self.agreement.trouble()) or ref.addr != self.me.addr
        addr, said = self.said.get(ref.core_id, (ref.addr, None))
        return addr != ref.addr or bool(said and said.fault)

    def _is_unheard(self, core_id):
        """Whether no core that is heard here hears a silent one, or the probes suspect it too."""
        is_suspected = not any(
            each.core_id == core_id and each.state == 0 for each in self.membership.alive("core")
        )
        return is_suspected or not any(core_id in said.hears for _, said in self.said.values())

    def _is_replaced(self, ref):
        """Whether another core says that it is at a member's address, so that the member is gone for good."""
        return ref.core_id not in self._heard() and any(
            addr == ref.addr for addr, _ in self.said.values()
        )

    async def _join(self):
        view = self.agreement.decided
        if not view.members or self.agreement.fault is not None:
            return
        tail = view.members[-1]
        if tail.core_id not in self.said:
            return
        fault = await self.chain.copy_from(tail.addr, view.number)
        if is_fault(fault) or view is not self.agreement.decided:
            return
        if not await self.chain.expect_join(view) or view is not self.agreement.decided:
            return
        ask = JoinAsk(core_id=self.agreement.core_id, addr=self.me.addr, view=view.number)
        self.chain.must_compare = True
        for ref in view.members:
            if ref.core_id in self.said and not is_fault(
                await self.mesh.request(ref.addr, ask, 3000)
            ):
                return

    async def on_join(self, ask, sender):
        view = self.agreement.decided
        if (
            ask.view != view.number
            or self.agreement.position() < 0
            or ask.core_id in ids(view.members)
        ):
            return STALE_VIEW
        ref = CoreRef(core_id=ask.core_id, addr=ask.addr)
        others = [each for each in view.members if each.addr != ref.addr]
        members = [*others[:-1], ref, others[-1]] if len(others) > 1 else [*others, ref]
        voters = self._voters_with(view, ref) or view.voters
        got = await self.agreement.propose(
            View(number=view.number + 1, members=members, voters=voters)
        )
        return got if is_fault(got) else Done(count=got.number)

    def _voters_with(self, view, ref):
        """The voters with a core among them: in its own place, its address's, a new one or a lost one's; None if no such."""
        same = [each for each in view.voters if each.core_id == ref.core_id] or [
            each for each in view.voters if each.addr == ref.addr
        ]
        if not same and len(view.voters) < 2 * self.losses_borne + 1:
            return [*view.voters, ref]
        present = {
            *self._heard(),
            *ids(view.members),
            *(each.core_id for each in self.membership.alive("core")),
        }
        lost = same or [each for each in view.voters if each.core_id not in present]
        return [ref if each is lost[0] else each for each in view.voters] if lost else None
