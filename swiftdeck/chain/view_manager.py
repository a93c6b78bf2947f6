"""Controller of the view: forms the first one, drops lost members and lets cores join."""

import asyncio

from swiftdeck.chain.agreement import ids
from swiftdeck.fault import STALE_VIEW, is_fault
from swiftdeck.wire.messages import CoreRef, Done, JoinAsk, View, ViewAsk

SWEEP_S = 30.0
ASK_MS, SILENT_S, FAULTY_S, RANK_S = 500, 0.9, 0.5, 0.5
FOUNDERS_WAIT_S = 5.0
LAST_COPIES_S = 6.0
"""How long a member must be absent before it is dropped from a view that is then too small to acknowledge anything."""


class ViewManager:
    """Polls the other cores, compares their reports with the view, and proposes the next view.

    Attributes:
        reports: The address and the last ViewReturn of each core that responded in the last round, by core id.
        faulty_since_s: Since when each member has been faulty, by core id.
        silent_since_s: Since when each member has not responded, by core id.
        accepted_since_s: Since when a view has been accepted here but not decided.
    """

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
        self.reports, self.faulty_since_s, self.silent_since_s, self.accepted_since_s = (
            {},
            {},
            {},
            None,
        )
        self.founders_since_s, self.is_leaving = None, False
        agreement.is_partial = chain.lacks_entries
        mesh.register(JoinAsk, self.on_join)

    def start(self):
        """Start the loops that repair the view, renew the lease and scrub the files."""
        self.loop = asyncio.get_running_loop()
        self.tasks = [
            asyncio.ensure_future(loop())
            for loop in (self._repair_loop, self._lease_loop, self._scrub_loop)
        ]

    async def _scrub_loop(self):
        """Scrub the files, each of a few megabytes, one at a time and about 30 s apart."""
        while True:
            for component in (self.chain, self.agreement):
                await asyncio.sleep(SWEEP_S * self.random.uniform(0.8, 1.2))
                await component.sweep()

    async def _lease_loop(self):
        while True:
            await self.agreement.renew()
            is_held = self.loop.time() < self.agreement.lease_until_s
            await asyncio.sleep(self.agreement.lease_ms / 4000 if is_held else 0.1)

    async def _repair_loop(self):
        while True:
            await asyncio.sleep(self.round_ms / 1000 * self.random.uniform(0.8, 1.2))
            if not await self._poll_cores():
                continue
            await self.agreement.heal()
            await self.chain.heal()
            if not self.agreement.decided.number:
                await self._form_first_view()
            elif self.agreement.position() < 0:
                if not self.is_leaving:
                    await self._join()
            elif self.agreement.is_voter():
                await self._repair_view()

    async def _poll_cores(self):
        addrs = {member.addr for member in self.membership.alive("core")}
        view = self.agreement.decided
        addrs |= {ref.addr for ref in [*view.members, *view.voters]}
        addrs |= set() if view.number else set(self.agreement.founders)
        addrs, start_s = sorted(addrs - {self.me.addr}), self.loop.time()
        ask = ViewAsk(core_id=self.agreement.core_id, addr=self.me.addr)
        responses = await asyncio.gather(*(self.mesh.request(addr, ask, ASK_MS) for addr in addrs))
        if self.loop.time() - start_s > 2 * ASK_MS / 1000:
            self.silent_since_s = {}
            return False
        self.reports = {
            response.core_id: (addr, response)
            for addr, response in zip(addrs, responses, strict=False)
            if not is_fault(response)
        }
        self.agreement.hears = list(self.reports)
        self.silent_since_s = {
            ref.core_id: self.silent_since_s.get(ref.core_id, start_s)
            for ref in view.members
            if ref.core_id not in self._reachable_ids()
        }
        newest = max(
            (response.view for _, response in self.reports.values()),
            key=lambda view: view.number,
            default=None,
        )
        if newest and newest.number > view.number:
            await self.agreement.learn(newest)
        return True

    async def _form_first_view(self):
        if self.agreement.fault is not None or not self.agreement.may_found:
            return
        if self.agreement.founders:
            return await self._form_first_view_from_founders()
        if len(self.reports) != self.cores - 1:
            return
        refs = sorted(
            [
                CoreRef(core_id=self.agreement.core_id, addr=self.me.addr),
                *(
                    CoreRef(core_id=core_id, addr=addr)
                    for core_id, (addr, _) in self.reports.items()
                ),
            ],
            key=lambda ref: ref.addr,
        )
        is_my_turn = refs[0].core_id == self.agreement.core_id or self.random.random() < 0.05
        if is_my_turn and (
            self.agreement.slot.accepted
            or all(report.fresh and report.may_found for _, report in self.reports.values())
        ):
            await self.agreement.propose(View(number=1, members=refs, voters=refs))

    async def _form_first_view_from_founders(self):
        """Propose the first view with the cores at the founders' addresses, after a wait with a majority of them."""
        founders, now_s = self.agreement.founders, self.loop.time()
        this_core = {self.me.addr: (self.agreement.core_id, True)}
        present = {
            addr: (core_id, report.may_found)
            for core_id, (addr, report) in self.reports.items()
            if addr in founders
        } | this_core
        if self.me.addr not in founders or len(present) * 2 <= len(founders):
            self.founders_since_s = None
            return
        self.founders_since_s = self.founders_since_s or now_s
        is_complete = (
            len(present) == len(founders) or now_s - self.founders_since_s > FOUNDERS_WAIT_S
        )
        first_addr = min(addr for addr, (_, may_found) in present.items() if may_found)
        if is_complete and (first_addr == self.me.addr or self.random.random() < 0.05):
            refs = [
                CoreRef(core_id=core_id, addr=addr)
                for addr, (core_id, _) in sorted(present.items())
            ]
            await self.agreement.propose(View(number=1, members=refs, voters=refs))

    async def _repair_view(self):
        view, now_s = self.agreement.decided, self.loop.time()
        if self.agreement.slot.accepted is None:
            self.accepted_since_s = None
        elif self.accepted_since_s is None:
            self.accepted_since_s = now_s
        elif now_s - self.accepted_since_s > 0.7:
            self.accepted_since_s = None
            await self.agreement.propose(self.agreement.slot.accepted)
            return
        dropped = self._members_to_drop(view, now_s)
        replication_failed_s, position = self.chain.replication_failed_s, self.agreement.position()
        if (
            replication_failed_s is not None
            and now_s - replication_failed_s > 2.0
            and position + 1 < len(view.members)
        ):
            dropped.add(view.members[position + 1].core_id)
        kept = [ref for ref in view.members if ref.core_id not in dropped]
        if dropped and len(kept) < len(view.members):
            if self._may_drop(dropped, kept, view, now_s):
                self.telemetry.log_event("drops members", lost=sorted(dropped))
                await self.agreement.propose(
                    View(number=view.number + 1, members=kept, voters=view.voters)
                )
            return
        voters = next(
            filter(
                None,
                (
                    self._voters_including(view, ref)
                    for ref in view.members
                    if ref.core_id in self._reachable_ids() and ref.core_id not in ids(view.voters)
                ),
            ),
            None,
        )
        if voters:
            await self.agreement.propose(
                View(number=view.number + 1, members=view.members, voters=voters)
            )

    def _may_drop(self, dropped, kept, view, now_s):
        """Return whether the next view may drop these members.

        Some of the remaining members must be complete. If these are too few to acknowledge anything, and one
        of them loses its disk, a dropped member's disk may hold the only copy left, and a view without that
        member could not recover from it. So it stays a member unless another core has replaced it at its
        address or it has been absent for `LAST_COPIES_S`.
        """
        complete = sum(self._is_complete(ref) for ref in kept)
        if complete > self.losses_borne:
            return True
        return complete > 0 and all(
            self._is_replaced(ref) or self._absent_s(ref, now_s) > LAST_COPIES_S
            for ref in view.members
            if ref.core_id in dropped
        )

    def _absent_s(self, ref, now_s):
        """Return for how many seconds a member has been silent or faulty."""
        away_since_s = [
            since[ref.core_id]
            for since in (self.silent_since_s, self.faulty_since_s)
            if ref.core_id in since
        ]
        return now_s - min(away_since_s, default=now_s)

    def _reachable_ids(self):
        return {self.agreement.core_id, *self.reports}

    def _is_complete(self, ref):
        """Return whether a member may have all committed entries, which a joined core has once it has caught up."""
        if ref.core_id == self.agreement.core_id:
            return not self.chain.lacks_entries()
        return ref.core_id not in self.reports or not self.reports[ref.core_id][1].is_partial

    def _members_to_drop(self, view, now_s):
        """Return the ids of members to drop: replaced ones at once, faulty or unreachable ones after a delay.

        The delay grows with this core's rank among the reachable members, so that the proposals of several cores rarely collide.
        """
        rank = (
            [ref.core_id for ref in view.members if ref.core_id in self._reachable_ids()].index(
                self.agreement.core_id
            )
            if self.agreement.position() >= 0
            else 0
        )
        faulty = {ref.core_id for ref in view.members if self._is_faulty(ref)}
        self.faulty_since_s = {
            core_id: self.faulty_since_s.get(core_id, now_s) for core_id in faulty
        }
        unreachable = {
            core_id: since_s
            for core_id, since_s in self.silent_since_s.items()
            if core_id in ids(view.members) and self._is_unreachable(core_id)
        }
        return (
            {ref.core_id for ref in view.members if self._is_replaced(ref)}
            | {
                core_id
                for core_id, since_s in self.faulty_since_s.items()
                if now_s - since_s > FAULTY_S + RANK_S * rank
            }
            | {
                core_id
                for core_id, since_s in unreachable.items()
                if now_s - since_s > SILENT_S + RANK_S * rank
            }
        )

    def _is_faulty(self, ref):
        if ref.core_id == self.agreement.core_id:
            return bool(self.agreement.trouble()) or ref.addr != self.me.addr
        addr, report = self.reports.get(ref.core_id, (ref.addr, None))
        return addr != ref.addr or bool(report and report.fault)

    def _is_unreachable(self, core_id):
        """Return whether a silent core is suspected by the probes too, or no core that responds here reaches it."""
        is_suspected = not any(
            each.core_id == core_id and each.state == 0 for each in self.membership.alive("core")
        )
        return is_suspected or not any(
            core_id in report.hears for _, report in self.reports.values()
        )

    def _is_replaced(self, ref):
        """Return whether another core now has a member's address, so that the member is gone for good."""
        return ref.core_id not in self._reachable_ids() and any(
            addr == ref.addr for addr, _ in self.reports.values()
        )

    async def _join(self):
        view = self.agreement.decided
        if not view.members or self.agreement.fault is not None:
            return
        tail = view.members[-1]
        if tail.core_id not in self.reports:
            return
        fault = await self.chain.copy_from(tail.addr, view.number)
        if is_fault(fault) or view is not self.agreement.decided:
            return
        if not await self.chain.expect_join(view) or view is not self.agreement.decided:
            return
        ask = JoinAsk(core_id=self.agreement.core_id, addr=self.me.addr, view=view.number)
        self.chain.must_compare = True
        for ref in view.members:
            if ref.core_id in self.reports and not is_fault(
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
        others = [other for other in view.members if other.addr != ref.addr]
        members = [*others[:-1], ref, others[-1]] if len(others) > 1 else [*others, ref]
        voters = self._voters_including(view, ref) or view.voters
        decided = await self.agreement.propose(
            View(number=view.number + 1, members=members, voters=voters)
        )
        return decided if is_fault(decided) else Done(count=decided.number)

    def _voters_including(self, view, ref):
        """Return the voters including a core, or None if there is no place for it.

        It replaces the voter with its own id or address; else it is added while there are fewer than
        2 * losses_borne + 1 voters; else it replaces a voter that is lost.
        """
        same_core = [voter for voter in view.voters if voter.core_id == ref.core_id] or [
            voter for voter in view.voters if voter.addr == ref.addr
        ]
        if not same_core and len(view.voters) < 2 * self.losses_borne + 1:
            return [*view.voters, ref]
        present = {
            *self._reachable_ids(),
            *ids(view.members),
            *(member.core_id for member in self.membership.alive("core")),
        }
        replaceable = same_core or [voter for voter in view.voters if voter.core_id not in present]
        return (
            [ref if voter is replaceable[0] else voter for voter in view.voters]
            if replaceable
            else None
        )
