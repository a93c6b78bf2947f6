"""The agreed view: single-decree ballots among the voters, one change at a time."""

import asyncio
import math

import attrs

from swiftdeck.disk.journal import Journal
from swiftdeck.fault import (
    DISK_FAILED,
    DISK_FULL,
    DISK_STALLED,
    NO_VIEW,
    NOT_VOTER,
    STALE_VIEW,
    is_fault,
)
from swiftdeck.wire.messages import (
    Accept,
    CoreRef,
    Decided,
    Prepare,
    Promise,
    View,
    ViewAsk,
    ViewLeaseAsk,
    ViewLeaseReturn,
    ViewReturn,
)

REWRITE_BYTES = 65536


def ids(refs):
    """The identities of some cores."""
    return [ref.core_id for ref in refs]


@attrs.define
class Slot:
    """What this voter promised and accepted for the next view."""

    promised: int = 0
    accepted_ballot: int = 0
    accepted: View | None = None


class Agreement:
    """One core's part in agreeing on views; what it promised is on disk before it says so."""

    def __init__(
        self, folder, mesh, addr, random, lease_ms=2000, telemetry=None, founders=(), may_found=True
    ):
        self.journal = Journal(folder, "agreement.log")
        self.mesh, self.addr, self.random, self.lease_ms, self.telemetry = (
            mesh,
            addr,
            random,
            lease_ms,
            telemetry,
        )
        self.core_id, self.decided, self.slot = "", View(), Slot()
        self.founders, self.may_found = list(founders), may_found
        self.wait_until_s = 0.0
        self.lease_until_s, self.stops_serving = -1.0, False
        self.lease_token = 0
        self.granted_s, self.started_s, self.learned_s = {}, 0.0, 0.0
        self.hears, self.is_partial = [], lambda: False
        self.watchers, self.fault, self.troubles = [], None, []
        self.busy = asyncio.Lock()
        for kind, handler in (
            (Prepare, self.on_prepare),
            (Accept, self.on_accept),
            (Decided, self.on_decided),
            (ViewAsk, self.on_view_ask),
            (ViewLeaseAsk, self.on_lease_ask),
        ):
            mesh.register(kind, handler)

    async def start(self):
        """Read what was kept; gives a fault when the disk cannot be trusted."""
        self.loop = asyncio.get_running_loop()
        self.started_s = self.learned_s = self.loop.time()
        self.lease_token = self._new_token()
        try:
            records = self.journal.load()
            if is_fault(records):
                return records
            for record in records:
                self._restore(record)
            if not self.core_id:
                self.core_id = f"{self.random.getrandbits(64):016x}"
                await self._keep(self._me())
        except OSError as error:
            return DISK_FAILED.with_reason(error)
        self._wait_out()
        return None

    def _wait_out(self, wait_ms=None):
        """Let the leases of the views before this one run out first: those of the last by `wait_ms`, if it is known."""
        lease_s, now_s = self.lease_ms / 1000 * 1.05, self.loop.time()
        until_s = (
            now_s + lease_s
            if wait_ms is None
            else max(now_s + wait_ms / 1000, self.learned_s + lease_s)
        )
        self.wait_until_s = max(self.wait_until_s, min(until_s, now_s + lease_s))

    def _restore(self, record):
        if record["k"] == "me":
            self.core_id, self.may_found = record["id"], record.get("mayFound", True)
            self.founders = record.get("founders", self.founders)
        elif record["k"] == "promise":
            self.slot.promised = record["ballot"]
        elif record["k"] == "accept":
            self.slot = Slot(record["ballot"], record["ballot"], View().parse(record["view"]))
        elif record["k"] == "decided":
            self.decided, self.slot = View().parse(record["view"]), Slot()

    def _me(self):
        return {
            "k": "me",
            "id": self.core_id,
            "mayFound": self.may_found,
            "founders": self.founders,
        }

    def _whole(self):
        yield self._me()
        if self.decided.number:
            yield {"k": "decided", "view": bytes(self.decided)}
        if self.slot.accepted:
            yield {
                "k": "accept",
                "ballot": self.slot.accepted_ballot,
                "view": bytes(self.slot.accepted),
            }
        if self.slot.promised:
            yield {"k": "promise", "ballot": self.slot.promised}

    async def _keep(self, record):
        try:
            if self.journal.size > REWRITE_BYTES or self.fault is not None:
                await self.journal.rewrite(list(self._whole()))
            self.journal.append(record)
            await self.journal.sync()
            self.fault = None
        except OSError as error:
            self.fault = (DISK_FULL if error.errno == 28 else DISK_FAILED).with_reason(error)
            raise

    async def heal(self):
        """After a fault of the disk: try to write all that must last anew."""
        if self.fault is not None:
            async with self.busy:
                try:
                    await self.journal.rewrite(list(self._whole()))
                    self.fault = None
                except OSError as error:
                    self.fault = (DISK_FULL if error.errno == 28 else DISK_FAILED).with_reason(
                        error
                    )

    async def sweep(self):
        """Read the own file back, and mend it from memory where it no longer reads."""
        async with self.busy:
            try:
                if not self.journal.is_sound():
                    await self.journal.rewrite(list(self._whole()))
            except OSError as error:
                self.fault = DISK_FAILED.with_reason(error)

    def is_fresh(self):
        """Whether this core has never known a view nor accepted one."""
        return not self.decided.number and self.slot.accepted is None

    def is_voter(self):
        """Whether this core votes on the next view."""
        return self.core_id in ids(self.decided.voters)

    def position(self):
        """The place in the chain, or -1."""
        members = ids(self.decided.members)
        return members.index(self.core_id) if self.core_id in members else -1

    def may_serve(self):
        """Whether the view lease holds now; a new view first waits out the lease of the old."""
        now_s = self.loop.time()
        return (
            self.decided.number > 0
            and not self.stops_serving
            and self.wait_until_s <= now_s < self.lease_until_s
        )

    def _refusal(self, ask, least_ballot):
        if ask.slot <= self.decided.number:
            return Promise(granted=False, decided=self.decided, core_id=self.core_id)
        if ask.slot != self.decided.number + 1:
            return STALE_VIEW.with_reason(f"slot {ask.slot}, view {self.decided.number}")
        if not (self.is_voter() if self.decided.number else self.may_found):
            return NOT_VOTER
        if ask.ballot < least_ballot:
            return Promise(granted=False, ballot=self.slot.promised, core_id=self.core_id)
        return None

    async def on_prepare(self, ask, sender):
        async with self.busy:
            refusal = self._refusal(ask, self.slot.promised + 1)
            if refusal is not None:
                return refusal
            try:
                await self._keep({"k": "promise", "ballot": ask.ballot})
            except OSError:
                return self.fault
            self.slot.promised = ask.ballot
            return Promise(
                granted=True,
                ballot=ask.ballot,
                accepted_ballot=self.slot.accepted_ballot,
                accepted=self.slot.accepted or View(),
                core_id=self.core_id,
            )

    async def on_accept(self, ask, sender):
        async with self.busy:
            refusal = self._refusal(ask, self.slot.promised)
            if refusal is not None:
                return refusal
            try:
                await self._keep({"k": "accept", "ballot": ask.ballot, "view": bytes(ask.view)})
            except OSError:
                return self.fault
            self.slot = Slot(ask.ballot, ask.ballot, ask.view)
            return Promise(
                granted=True,
                ballot=ask.ballot,
                core_id=self.core_id,
                left_ms=self._left_ms(ask.view),
            )

    def _left_ms(self, view):
        """How long a lease that this voter gave to a member left out of a view may still last."""
        dropped = set(ids(self.decided.members)) - set(ids(view.members))
        last_s = max((self._last_granted_s(core_id) for core_id in dropped), default=None)
        left_s = 0 if last_s is None else last_s + self.lease_ms / 1000 * 1.05 - self.loop.time()
        return max(0, math.ceil(left_s * 1000))

    def _last_granted_s(self, core_id):
        """When this voter last granted a lease that was not handed back; its start if it knows none."""
        granted = self.granted_s.get(core_id, {})
        return max(granted.values(), default=self.started_s)

    async def on_decided(self, news, sender):
        await self.learn(news.view, news.wait_ms if news.is_timed else None)

    async def learn(self, view, wait_ms=None):
        """Take a decided view in, if it is newer; a disk that fails may forget it, for it can be heard again.

        `wait_ms` is how long a dropped member may go on under the view before; a whole lease if it is not known.
        """
        async with self.busy:
            if view.number <= self.decided.number:
                return
            try:
                await self._keep({"k": "decided", "view": bytes(view)})
            except OSError:
                self.telemetry and self.telemetry.set_fact("disk", self.fault.name)
            is_next = view.number == self.decided.number + 1
            if not is_next or set(ids(self.decided.members)) - set(ids(view.members)):
                self._wait_out(wait_ms if is_next else None)
            self.decided, self.slot = view, Slot()
            self.lease_until_s, self.learned_s = -1.0, self.loop.time()
        if self.telemetry:
            self.telemetry.count["views"] += 1
            self.telemetry.set_fact(
                "view", {"number": view.number, "members": [ref.addr for ref in view.members]}
            )
        for watch in self.watchers:
            watch(view)

    def on_view_ask(self, ask, sender):
        return ViewReturn(
            view=self.decided,
            core_id=self.core_id,
            fresh=self.is_fresh(),
            fault=self.trouble(),
            may_found=self.may_found,
            is_partial=self.is_partial(),
            hears=self.hears,
        )

    def trouble(self) -> str:
        """What keeps this core from its part in the chain, empty when nothing does."""
        faults = [each() for each in (self.own_trouble, *self.troubles)]
        return next((each for each in faults if each), "")

    def own_trouble(self):
        if self.journal.stall_ms() > 1000:
            return f"{DISK_STALLED.code} {DISK_STALLED.name}"
        return f"{self.fault.code} {self.fault.reason}" if self.fault is not None else ""

    def on_lease_ask(self, ask, sender):
        if ask.hand_back:
            self.granted_s.get(ask.core_id, {}).pop(ask.token, None)
            return ViewLeaseReturn(granted=True, decided=self.decided)
        if ask.number < self.decided.number:
            return ViewLeaseReturn(granted=False, decided=self.decided)
        granted = (
            ask.number == self.decided.number
            and self.is_voter()
            and self.slot.accepted is None
            and ask.core_id in ids(self.decided.members)
        )
        if granted:
            self._note_grant(ask)
        return ViewLeaseReturn(granted=granted)

    def _note_grant(self, ask):
        """Remember a grant by the token that it can be handed back with, as long as it may last."""
        now_s = self.loop.time()
        old_s = now_s - 2 * self.lease_ms / 1000
        granted = self.granted_s.get(ask.core_id, {})
        recent = {token: at_s for token, at_s in granted.items() if at_s > old_s}
        self.granted_s[ask.core_id] = recent | {ask.token: now_s}

    def _new_token(self):
        """A number that no other life of this core has used, nor this one before: its clock's."""
        return max(self.lease_token + 1, int(self.loop.time() * 1e9))

    async def renew(self):
        """Ask the voters for the lease of the present view."""
        view, sentS, token = self.decided, self.loop.time(), self.lease_token
        if self.position() < 0 or self.stops_serving:
            return
        ask = ViewLeaseAsk(number=view.number, core_id=self.core_id, token=token)
        least = len(view.voters) // 2 + 1
        got = (await self._ask_all(view.voters, ask, self.lease_ms // 4, least)).values()
        newer = [each.decided for each in got if each and each.decided.number > self.decided.number]
        for each in newer:
            await self.learn(each)
        is_granted = sum(bool(each and each.granted) for each in got) >= least
        if is_granted and view is self.decided and token == self.lease_token:
            self.lease_until_s = max(self.lease_until_s, sentS + self.lease_ms / 1000 * 0.95)

    async def hand_back(self):
        """Tell the voters that the leases granted so far need not be waited out.

        The token tells them from later ones, should this message or a grant come late: what was
        asked for before counts for nothing here, and what is asked for later stands at the voters.
        """
        view, token = self.decided, self.lease_token
        self.lease_until_s, self.lease_token = -1.0, self._new_token()
        ask = ViewLeaseAsk(number=view.number, core_id=self.core_id, hand_back=True, token=token)
        await self._ask_all(view.voters, ask, self.lease_ms // 4, len(view.voters) // 2 + 1)

    async def _ask_all(self, refs, ask, timeout_ms, least):
        """What each gives back by its place, without waiting for the rest once so many have granted."""
        tasks = {
            asyncio.ensure_future(self._ask_or_self(ref, ask, timeout_ms)): at
            for at, ref in enumerate(refs)
        }
        got, open_tasks = {}, set(tasks)
        while open_tasks and sum(bool(each and each.granted) for each in got.values()) < least:
            done, open_tasks = await asyncio.wait(open_tasks, return_when=asyncio.FIRST_COMPLETED)
            got |= {tasks[each]: each.result() for each in done}
        return got

    async def _ask_or_self(self, ref, ask, timeoutMs):
        if self.core_id == ref.core_id or not ref.core_id and self.addr == ref.addr:
            handler = {
                Prepare: self.on_prepare,
                Accept: self.on_accept,
                ViewLeaseAsk: self.on_lease_ask,
            }[type(ask)]
            got = handler(ask, self.addr)
            return await self._bounded(got, timeoutMs) if asyncio.iscoroutine(got) else got
        return await self.mesh.request(ref.addr, ask, timeoutMs)

    async def _bounded(self, work, timeoutMs):
        task = asyncio.ensure_future(work)
        await asyncio.wait([task], timeout=timeoutMs / 1000)
        return task.result() if task.done() else DISK_STALLED

    async def propose(self, view: View):
        """One round for the next view; gives the decided view or a fault."""
        slot = self.decided.number + 1
        founding, is_fixed = slot == 1, slot == 1 and bool(self.founders)
        voters = (
            [CoreRef(addr=addr) for addr in self.founders]
            if is_fixed
            else list(self.decided.voters or view.voters)
        )
        is_mine = (
            self.may_found and self.addr in self.founders
            if is_fixed
            else self.core_id in ids(voters)
        )
        if view.number != slot or not is_mine:
            return NOT_VOTER
        low = int(self.core_id, 16) & 0xFFFFFFFF
        ballot = (((self.slot.promised >> 32) + 1) << 32) | low
        least = len(voters) if founding and not is_fixed else len(voters) // 2 + 1
        got = await self._round(
            voters, Prepare(slot=slot, ballot=ballot, core_id=self.core_id), least
        )
        if is_fault(got):
            return got
        best = max(got, key=lambda each: each.accepted_ballot)
        chosen = best.accepted if best.accepted_ballot else view
        got = await self._round(
            voters, Accept(slot=slot, ballot=ballot, view=chosen), len(voters) // 2 + 1
        )
        if is_fault(got):
            return got
        wait_ms = max(each.left_ms for each in got)
        await self.learn(chosen, wait_ms)
        for ref in {ref.addr: ref for ref in [*voters, *chosen.members, *chosen.voters]}.values():
            if ref.addr != self.addr:
                self.mesh.send(ref.addr, Decided(view=chosen, is_timed=True, wait_ms=wait_ms))
        return chosen

    async def _round(self, voters, ask, least):
        told = await self._ask_all(voters, ask, 1000, least)
        got = told.values()
        for each in got:
            if each and each.decided.number > self.decided.number:
                await self.learn(each.decided)
        highest = max((each.ballot for each in got if each and not each.granted), default=0)
        granted = [
            each
            for at, each in told.items()
            if each and each.granted and voters[at].core_id in ("", each.core_id)
        ]
        if len(granted) < least:
            self.slot.promised = max(self.slot.promised, highest)
            return NO_VIEW.with_reason(f"{len(granted)} of {len(voters)} voters granted")
        return granted
