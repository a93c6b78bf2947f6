"""Agreement on the view (the chain's membership): a single-decree Paxos instance among the voters for each view."""

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
    """Return the identities of the given cores."""
    return [ref.core_id for ref in refs]


@attrs.define
class Slot:
    """The acceptor state of this voter for the next view."""

    promised: int = 0
    accepted_ballot: int = 0
    accepted: View | None = None


class Agreement:
    """Proposer and acceptor of one core; a promise or acceptance is synced to disk before it is sent."""

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
        self.watchers, self.fault, self.fault_checks = [], None, []
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
        """Load the journal and create an identity if there is none; return a fault when the disk cannot be trusted."""
        self.loop = asyncio.get_running_loop()
        self.started_s = self.learned_s = self.loop.time()
        self.lease_token = self._new_token()
        try:
            records = self.journal.load()
            if is_fault(records):
                return records
            for record in records:
                self._apply_record(record)
            if not self.core_id:
                self.core_id = f"{self.random.getrandbits(64):016x}"
                await self._persist(self._identity_record())
        except OSError as error:
            return DISK_FAILED.with_reason(error)
        self._extend_wait()
        return None

    def _extend_wait(self, wait_ms=None):
        """Delay serving until the leases of earlier views have run out.

        Those of the previous view run out after `wait_ms`, if that is known; otherwise a whole lease is waited for.
        """
        lease_s, now_s = self.lease_ms / 1000 * 1.05, self.loop.time()
        until_s = (
            now_s + lease_s
            if wait_ms is None
            else max(now_s + wait_ms / 1000, self.learned_s + lease_s)
        )
        self.wait_until_s = max(self.wait_until_s, min(until_s, now_s + lease_s))

    def _apply_record(self, record):
        if record["k"] == "me":
            self.core_id, self.may_found = record["id"], record.get("mayFound", True)
            self.founders = record.get("founders", self.founders)
        elif record["k"] == "promise":
            self.slot.promised = record["ballot"]
        elif record["k"] == "accept":
            self.slot = Slot(record["ballot"], record["ballot"], View().parse(record["view"]))
        elif record["k"] == "decided":
            self.decided, self.slot = View().parse(record["view"]), Slot()

    def _identity_record(self):
        return {
            "k": "me",
            "id": self.core_id,
            "mayFound": self.may_found,
            "founders": self.founders,
        }

    def _snapshot_records(self):
        yield self._identity_record()
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

    async def _persist(self, record):
        try:
            if self.journal.size > REWRITE_BYTES or self.fault is not None:
                await self.journal.rewrite(list(self._snapshot_records()))
            self.journal.append(record)
            await self.journal.sync()
            self.fault = None
        except OSError as error:
            self.fault = (DISK_FULL if error.errno == 28 else DISK_FAILED).with_reason(error)
            raise

    async def heal(self):
        """After a disk fault, try to rewrite the journal with the whole durable state."""
        if self.fault is not None:
            async with self.busy:
                try:
                    await self.journal.rewrite(list(self._snapshot_records()))
                    self.fault = None
                except OSError as error:
                    self.fault = (DISK_FULL if error.errno == 28 else DISK_FAILED).with_reason(
                        error
                    )

    async def sweep(self):
        """Read the journal back and rewrite it from memory if it is damaged."""
        async with self.busy:
            try:
                if not self.journal.is_sound():
                    await self.journal.rewrite(list(self._snapshot_records()))
            except OSError as error:
                self.fault = DISK_FAILED.with_reason(error)

    def is_fresh(self):
        """Return whether this core has neither learned nor accepted any view."""
        return not self.decided.number and self.slot.accepted is None

    def is_voter(self):
        """Return whether this core votes on the next view."""
        return self.core_id in ids(self.decided.voters)

    def position(self):
        """Return this core's position in the chain, or -1 when it is not a member."""
        members = ids(self.decided.members)
        return members.index(self.core_id) if self.core_id in members else -1

    def may_serve(self):
        """Return whether the view lease holds now and the leases of earlier views have run out."""
        now_s = self.loop.time()
        return (
            self.decided.number > 0
            and not self.stops_serving
            and self.wait_until_s <= now_s < self.lease_until_s
        )

    def _refusal(self, ask, min_ballot):
        if ask.slot <= self.decided.number:
            return Promise(granted=False, decided=self.decided, core_id=self.core_id)
        if ask.slot != self.decided.number + 1:
            return STALE_VIEW.with_reason(f"slot {ask.slot}, view {self.decided.number}")
        if not (self.is_voter() if self.decided.number else self.may_found):
            return NOT_VOTER
        if ask.ballot < min_ballot:
            return Promise(granted=False, ballot=self.slot.promised, core_id=self.core_id)
        return None

    async def on_prepare(self, ask, sender):
        async with self.busy:
            refusal = self._refusal(ask, self.slot.promised + 1)
            if refusal is not None:
                return refusal
            try:
                await self._persist({"k": "promise", "ballot": ask.ballot})
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
                await self._persist({"k": "accept", "ballot": ask.ballot, "view": bytes(ask.view)})
            except OSError:
                return self.fault
            self.slot = Slot(ask.ballot, ask.ballot, ask.view)
            return Promise(
                granted=True,
                ballot=ask.ballot,
                core_id=self.core_id,
                left_ms=self._dropped_lease_ms(ask.view),
            )

    def _dropped_lease_ms(self, view):
        """Return how many ms a lease may still last that this voter granted to a member that `view` drops."""
        dropped = set(ids(self.decided.members)) - set(ids(view.members))
        last_s = max((self._last_grant_s(core_id) for core_id in dropped), default=None)
        left_s = 0 if last_s is None else last_s + self.lease_ms / 1000 * 1.05 - self.loop.time()
        return max(0, math.ceil(left_s * 1000))

    def _last_grant_s(self, core_id):
        """Return when this voter last granted a core a lease that was not handed back; its own start if none is known."""
        granted = self.granted_s.get(core_id, {})
        return max(granted.values(), default=self.started_s)

    async def on_decided(self, message, sender):
        await self.learn(message.view, message.wait_ms if message.is_timed else None)

    async def learn(self, view, wait_ms=None):
        """Adopt a decided view if it is newer than the known one.

        A disk fault is tolerated here, as a decided view can be learned again from other cores.

        Args:
            view: The decided view.
            wait_ms: How long a dropped member may go on serving under the previous view; None if unknown, which
                stands for a whole lease.
        """
        async with self.busy:
            if view.number <= self.decided.number:
                return
            try:
                await self._persist({"k": "decided", "view": bytes(view)})
            except OSError:
                self.telemetry and self.telemetry.set_fact("disk", self.fault.name)
            is_next = view.number == self.decided.number + 1
            if not is_next or set(ids(self.decided.members)) - set(ids(view.members)):
                self._extend_wait(wait_ms if is_next else None)
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
        """Return the fault that keeps this core from serving in the chain, or an empty string."""
        texts = [text() for text in (self.own_fault_text, *self.fault_checks)]
        return next((text for text in texts if text), "")

    def own_fault_text(self):
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
            self._record_grant(ask)
        return ViewLeaseReturn(granted=granted)

    def _record_grant(self, ask):
        """Remember a grant by its token, with which it can be handed back, for as long as the lease may last."""
        now_s = self.loop.time()
        expired_s = now_s - 2 * self.lease_ms / 1000
        granted = self.granted_s.get(ask.core_id, {})
        recent = {token: at_s for token, at_s in granted.items() if at_s > expired_s}
        self.granted_s[ask.core_id] = recent | {ask.token: now_s}

    def _new_token(self):
        """Return a lease token, taken from the clock, that no run of this core has used before."""
        return max(self.lease_token + 1, int(self.loop.time() * 1e9))

    async def renew(self):
        """Ask the voters for a lease of the current view; it starts when the request is sent."""
        view, sent_s, token = self.decided, self.loop.time(), self.lease_token
        if self.position() < 0 or self.stops_serving:
            return
        ask = ViewLeaseAsk(number=view.number, core_id=self.core_id, token=token)
        quorum = len(view.voters) // 2 + 1
        responses = (await self._request_all(view.voters, ask, self.lease_ms // 4, quorum)).values()
        newer = [
            response.decided
            for response in responses
            if response and response.decided.number > self.decided.number
        ]
        for response in newer:
            await self.learn(response)
        is_granted = sum(bool(response and response.granted) for response in responses) >= quorum
        if is_granted and view is self.decided and token == self.lease_token:
            self.lease_until_s = max(self.lease_until_s, sent_s + self.lease_ms / 1000 * 0.95)

    async def hand_back(self):
        """Tell the voters that the leases granted so far need not be waited for.

        The token separates these leases from later ones if this message or a grant is delayed: a grant requested before is
        ignored here, and one requested later stays valid at the voters.
        """
        view, token = self.decided, self.lease_token
        self.lease_until_s, self.lease_token = -1.0, self._new_token()
        ask = ViewLeaseAsk(number=view.number, core_id=self.core_id, hand_back=True, token=token)
        await self._request_all(view.voters, ask, self.lease_ms // 4, len(view.voters) // 2 + 1)

    async def _request_all(self, refs, ask, timeout_ms, quorum):
        """Return the responses by index in `refs`, as soon as a quorum has granted or all have responded."""
        tasks = {
            asyncio.ensure_future(self._request_one(ref, ask, timeout_ms)): index
            for index, ref in enumerate(refs)
        }
        responses, open_tasks = {}, set(tasks)
        while (
            open_tasks
            and sum(bool(response and response.granted) for response in responses.values()) < quorum
        ):
            done, open_tasks = await asyncio.wait(open_tasks, return_when=asyncio.FIRST_COMPLETED)
            responses |= {tasks[task]: task.result() for task in done}
        return responses

    async def _request_one(self, ref, ask, timeout_ms):
        if self.core_id == ref.core_id or not ref.core_id and self.addr == ref.addr:
            handler = {
                Prepare: self.on_prepare,
                Accept: self.on_accept,
                ViewLeaseAsk: self.on_lease_ask,
            }[type(ask)]
            response = handler(ask, self.addr)
            return (
                await self._with_timeout(response, timeout_ms)
                if asyncio.iscoroutine(response)
                else response
            )
        return await self.mesh.request(ref.addr, ask, timeout_ms)

    async def _with_timeout(self, coroutine, timeout_ms):
        task = asyncio.ensure_future(coroutine)
        await asyncio.wait([task], timeout=timeout_ms / 1000)
        return task.result() if task.done() else DISK_STALLED

    async def propose(self, view: View):
        """Run one ballot for the next view; return the decided view, which may be another proposer's, or a fault.

        The first view needs the promises of all voters, or a majority of the named founders; later views need a majority.
        """
        slot = self.decided.number + 1
        is_founding, has_named_founders = slot == 1, slot == 1 and bool(self.founders)
        voters = (
            [CoreRef(addr=addr) for addr in self.founders]
            if has_named_founders
            else list(self.decided.voters or view.voters)
        )
        may_propose = (
            self.may_found and self.addr in self.founders
            if has_named_founders
            else self.core_id in ids(voters)
        )
        if view.number != slot or not may_propose:
            return NOT_VOTER
        low_bits = int(self.core_id, 16) & 0xFFFFFFFF
        ballot = (((self.slot.promised >> 32) + 1) << 32) | low_bits
        prepare_quorum = (
            len(voters) if is_founding and not has_named_founders else len(voters) // 2 + 1
        )
        promises = await self._run_phase(
            voters, Prepare(slot=slot, ballot=ballot, core_id=self.core_id), prepare_quorum
        )
        if is_fault(promises):
            return promises
        best = max(promises, key=lambda promise: promise.accepted_ballot)
        chosen = best.accepted if best.accepted_ballot else view
        promises = await self._run_phase(
            voters, Accept(slot=slot, ballot=ballot, view=chosen), len(voters) // 2 + 1
        )
        if is_fault(promises):
            return promises
        wait_ms = max(promise.left_ms for promise in promises)
        await self.learn(chosen, wait_ms)
        for ref in {ref.addr: ref for ref in [*voters, *chosen.members, *chosen.voters]}.values():
            if ref.addr != self.addr:
                self.mesh.send(ref.addr, Decided(view=chosen, is_timed=True, wait_ms=wait_ms))
        return chosen

    async def _run_phase(self, voters, ask, quorum):
        responses_by_index = await self._request_all(voters, ask, 1000, quorum)
        responses = responses_by_index.values()
        for response in responses:
            if response and response.decided.number > self.decided.number:
                await self.learn(response.decided)
        highest = max(
            (response.ballot for response in responses if response and not response.granted),
            default=0,
        )
        granted = [
            response
            for index, response in responses_by_index.items()
            if response and response.granted and voters[index].core_id in ("", response.core_id)
        ]
        if len(granted) < quorum:
            self.slot.promised = max(self.slot.promised, highest)
            return NO_VIEW.with_reason(f"{len(granted)} of {len(voters)} voters granted")
        return granted
