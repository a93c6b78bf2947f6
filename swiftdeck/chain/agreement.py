"""The agreed view: single-decree ballots among the voters, one change at a time."""
import asyncio

import attrs

from swiftdeck.disk.journal import Journal
from swiftdeck.fault import DISK_FAILED, DISK_FULL, DISK_SLOW, NOT_VOTER, NO_VIEW, OLD_VIEW, isFault
from swiftdeck.wire.messages import (Accept, Decided, Prepare, Promise, View, ViewAsk, ViewLicenceAsk, ViewLicenceReturn,
                                     ViewReturn)

REWRITE_BYTES = 65536


def ids(refs):
    """The identities of some cores."""
    return [ref.coreId for ref in refs]


@attrs.define
class Slot:
    """What this voter promised and accepted for the next view."""

    promised: int = 0
    acceptedBallot: int = 0
    accepted: View | None = None


class Agreement:
    """One core's part in agreeing on views; what it promised is on disk before it says so."""

    def __init__(self, folder, mesh, addr, random, licenceMs=2000, board=None):
        self.journal = Journal(folder, "agreement.log")
        self.mesh, self.addr, self.random, self.licenceMs, self.board = mesh, addr, random, licenceMs, board
        self.coreId, self.decided, self.slot = "", View(), Slot()
        self.waitUntilS = 0.0
        self.licenceUntilS = -1.0
        self.watchers, self.fault, self.troubles = [], None, []
        self.busy = asyncio.Lock()
        for kind, handler in ((Prepare, self.onPrepare), (Accept, self.onAccept), (Decided, self.onDecided),
                              (ViewAsk, self.onViewAsk), (ViewLicenceAsk, self.onLicenceAsk)):
            mesh.on(kind, handler)

    async def start(self):
        """Read what was kept; gives a fault when the disk cannot be trusted."""
        self.loop = asyncio.get_running_loop()
        try:
            records = self.journal.load()
            if isFault(records):
                return records
            for record in records:
                self._restore(record)
            if not self.coreId:
                self.coreId = "%016x" % self.random.getrandbits(64)
                await self._keep({"k": "me", "id": self.coreId})
        except OSError as error:
            return DISK_FAILED.because(error)
        self._waitOut()
        return None

    def _waitOut(self):
        """Let the licences of a view before this one run out first."""
        self.waitUntilS = self.loop.time() + self.licenceMs / 1000 * 1.05

    def _restore(self, record):
        if record["k"] == "me":
            self.coreId = record["id"]
        elif record["k"] == "promise":
            self.slot.promised = record["ballot"]
        elif record["k"] == "accept":
            self.slot = Slot(record["ballot"], record["ballot"], View().parse(record["view"]))
        elif record["k"] == "decided":
            self.decided, self.slot = View().parse(record["view"]), Slot()

    def _whole(self):
        yield {"k": "me", "id": self.coreId}
        if self.decided.number:
            yield {"k": "decided", "view": bytes(self.decided)}
        if self.slot.accepted:
            yield {"k": "accept", "ballot": self.slot.acceptedBallot, "view": bytes(self.slot.accepted)}
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
            self.fault = (DISK_FULL if error.errno == 28 else DISK_FAILED).because(error)
            raise

    async def heal(self):
        """After a fault of the disk: try to write all that must last anew."""
        if self.fault is not None:
            async with self.busy:
                try:
                    await self.journal.rewrite(list(self._whole()))
                    self.fault = None
                except OSError as error:
                    self.fault = (DISK_FULL if error.errno == 28 else DISK_FAILED).because(error)

    async def sweep(self):
        """Read the own file back, and mend it from memory where it no longer reads."""
        async with self.busy:
            try:
                if not self.journal.isSound():
                    await self.journal.rewrite(list(self._whole()))
            except OSError as error:
                self.fault = DISK_FAILED.because(error)

    def isFresh(self):
        """Whether this core has never known a view nor accepted one."""
        return not self.decided.number and self.slot.accepted is None

    def isVoter(self):
        """Whether this core votes on the next view."""
        return self.coreId in ids(self.decided.voters)

    def position(self):
        """The place in the chain, or -1."""
        members = ids(self.decided.members)
        return members.index(self.coreId) if self.coreId in members else -1

    def mayServe(self):
        """Whether the view licence holds now; a new view first waits out the licence of the old."""
        nowS = self.loop.time()
        return self.decided.number > 0 and self.waitUntilS <= nowS < self.licenceUntilS

    def _refusal(self, ask, leastBallot):
        if ask.slot <= self.decided.number:
            return Promise(granted=False, decided=self.decided, coreId=self.coreId)
        if ask.slot != self.decided.number + 1:
            return OLD_VIEW.because(f"slot {ask.slot}, view {self.decided.number}")
        if self.decided.number and not self.isVoter():
            return NOT_VOTER
        if ask.ballot < leastBallot:
            return Promise(granted=False, ballot=self.slot.promised, coreId=self.coreId)
        return None

    async def onPrepare(self, ask, sender):
        async with self.busy:
            refusal = self._refusal(ask, self.slot.promised + 1)
            if refusal is not None:
                return refusal
            try:
                await self._keep({"k": "promise", "ballot": ask.ballot})
            except OSError:
                return self.fault
            self.slot.promised = ask.ballot
            return Promise(granted=True, ballot=ask.ballot, acceptedBallot=self.slot.acceptedBallot,
                           accepted=self.slot.accepted or View(), coreId=self.coreId)

    async def onAccept(self, ask, sender):
        async with self.busy:
            refusal = self._refusal(ask, self.slot.promised)
            if refusal is not None:
                return refusal
            try:
                await self._keep({"k": "accept", "ballot": ask.ballot, "view": bytes(ask.view)})
            except OSError:
                return self.fault
            self.slot = Slot(ask.ballot, ask.ballot, ask.view)
            return Promise(granted=True, ballot=ask.ballot, coreId=self.coreId)

    async def onDecided(self, news, sender):
        await self.learn(news.view)

    async def learn(self, view):
        """Take a decided view in, if it is newer; a disk that fails may forget it, for it can be heard again."""
        async with self.busy:
            if view.number <= self.decided.number:
                return
            try:
                await self._keep({"k": "decided", "view": bytes(view)})
            except OSError:
                self.board and self.board.put("disk", self.fault.name)
            known = view.number == self.decided.number + 1
            if not known or set(ids(self.decided.members)) - set(ids(view.members)):
                self._waitOut()
            self.decided, self.slot = view, Slot()
            self.licenceUntilS = -1.0
        if self.board:
            self.board.count["views"] += 1
            self.board.put("view", {"number": view.number, "members": [ref.addr for ref in view.members]})
        for watch in self.watchers:
            watch(view)

    def onViewAsk(self, ask, sender):
        return ViewReturn(view=self.decided, coreId=self.coreId, fresh=self.isFresh(), fault=self.trouble())

    def trouble(self) -> str:
        """What keeps this core from its part in the chain, empty when nothing does."""
        faults = [each() for each in (self.ownTrouble, *self.troubles)]
        return next((each for each in faults if each), "")

    def ownTrouble(self):
        if self.journal.stallMs() > 1000:
            return f"{DISK_SLOW.code} {DISK_SLOW.name}"
        return f"{self.fault.code} {self.fault.reason}" if self.fault is not None else ""

    def onLicenceAsk(self, ask, sender):
        if ask.number < self.decided.number:
            return ViewLicenceReturn(granted=False, decided=self.decided)
        granted = (ask.number == self.decided.number and self.isVoter() and self.slot.accepted is None
                   and ask.coreId in ids(self.decided.members))
        return ViewLicenceReturn(granted=granted)

    async def renew(self):
        """Ask the voters for the licence of the present view."""
        view, sentS = self.decided, self.loop.time()
        if not view.number:
            return
        ask = ViewLicenceAsk(number=view.number, coreId=self.coreId)
        got = await asyncio.gather(*(self._askOrSelf(ref, ask, self.licenceMs // 4) for ref in view.voters))
        newer = [each.decided for each in got if each and each.decided.number > self.decided.number]
        for each in newer:
            await self.learn(each)
        if sum(bool(each and each.granted) for each in got) * 2 > len(view.voters) and view is self.decided:
            self.licenceUntilS = max(self.licenceUntilS, sentS + self.licenceMs / 1000 * 0.95)

    async def _askOrSelf(self, ref, ask, timeoutMs):
        if ref.coreId == self.coreId:
            handler = {Prepare: self.onPrepare, Accept: self.onAccept, ViewLicenceAsk: self.onLicenceAsk}[type(ask)]
            got = handler(ask, self.addr)
            return await self._bounded(got, timeoutMs) if asyncio.iscoroutine(got) else got
        return await self.mesh.ask(ref.addr, ask, timeoutMs)

    async def _bounded(self, work, timeoutMs):
        task = asyncio.ensure_future(work)
        await asyncio.wait([task], timeout=timeoutMs / 1000)
        return task.result() if task.done() else DISK_SLOW

    async def propose(self, view: View):
        """One round for the next view; gives the decided view or a fault."""
        slot = self.decided.number + 1
        voters = list(self.decided.voters) or list(view.voters)
        founding = slot == 1
        if view.number != slot or self.coreId not in ids(voters):
            return NOT_VOTER
        low = int(self.coreId, 16) & 0xFFFFFFFF
        ballot = (((self.slot.promised >> 32) + 1) << 32) | low
        got = await self._round(voters, Prepare(slot=slot, ballot=ballot, coreId=self.coreId))
        if isFault(got):
            return got
        if founding and set(each.coreId for each in got) != set(ids(voters)):
            return NO_VIEW.because("not all founders are there")
        best = max(got, key=lambda each: each.acceptedBallot)
        chosen = best.accepted if best.acceptedBallot else view
        got = await self._round(voters, Accept(slot=slot, ballot=ballot, view=chosen))
        if isFault(got):
            return got
        await self.learn(chosen)
        for ref in {ref.addr: ref for ref in [*voters, *chosen.members, *chosen.voters]}.values():
            if ref.addr != self.addr:
                self.mesh.tell(ref.addr, Decided(view=chosen))
        return chosen

    async def _round(self, voters, ask):
        got = await asyncio.gather(*(self._askOrSelf(ref, ask, 1000) for ref in voters))
        for each in got:
            if each and each.decided.number > self.decided.number:
                await self.learn(each.decided)
        highest = max((each.ballot for each in got if each and not each.granted), default=0)
        granted = [each for each in got if each and each.granted]
        if len(granted) * 2 <= len(voters):
            self.slot.promised = max(self.slot.promised, highest)
            return NO_VIEW.because(f"{len(granted)} of {len(voters)} voters granted")
        return granted
