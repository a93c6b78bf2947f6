"""Mends the chain: founds it, drops lost members, lets members join."""
import asyncio

from swiftdeck.chain.agreement import ids
from swiftdeck.fault import NO_VIEW, OLD_VIEW, isFault
from swiftdeck.wire.messages import CoreRef, Done, JoinAsk, View, ViewAsk


SWEEP_S = 30.0


class Mender:
    """The controller of the view: compares what neighbours say with the view and proposes the next."""

    def __init__(self, me, mesh, membership, agreement, chain, board, random, cores=3, roundMs=300):
        self.me, self.mesh, self.membership, self.agreement, self.chain = me, mesh, membership, agreement, chain
        self.board, self.random, self.cores, self.roundMs = board, random, cores, roundMs
        self.said, self.badSinceS, self.acceptedSinceS = {}, {}, None
        mesh.on(JoinAsk, self.onJoin)

    def start(self):
        """Go on mending."""
        self.loop = asyncio.get_running_loop()
        self.tasks = [asyncio.ensure_future(work()) for work in (self._mending, self._renewing, self._sweeping)]

    async def _sweeping(self):
        """One file of a few megabytes at a time, half a minute apart."""
        while True:
            for part in (self.chain, self.agreement):
                await asyncio.sleep(SWEEP_S * self.random.uniform(0.8, 1.2))
                await part.sweep()

    async def _renewing(self):
        while True:
            await self.agreement.renew()
            await asyncio.sleep(self.agreement.licenceMs / 4000)

    async def _mending(self):
        while True:
            await asyncio.sleep(self.roundMs / 1000 * self.random.uniform(0.8, 1.2))
            await self._ask()
            await self.agreement.heal()
            await self.chain.heal()
            if not self.agreement.decided.number:
                await self._found()
            elif self.agreement.position() < 0:
                await self._join()
            elif self.agreement.isVoter():
                await self._mend()

    async def _ask(self):
        addrs = {each.addr for each in self.membership.alive("core")}
        view = self.agreement.decided
        addrs |= {ref.addr for ref in [*view.members, *view.voters]} - {self.me.addr}
        ask = ViewAsk(coreId=self.agreement.coreId, addr=self.me.addr)
        got = await asyncio.gather(*(self.mesh.ask(addr, ask, 500) for addr in sorted(addrs)))
        self.said = {each.coreId: (addr, each) for addr, each in zip(sorted(addrs), got) if not isFault(each)}
        newest = max((each.view for _, each in self.said.values()), key=lambda view: view.number, default=None)
        if newest and newest.number > view.number:
            await self.agreement.learn(newest)

    async def _found(self):
        if self.agreement.fault is not None or len(self.said) != self.cores - 1:
            return
        refs = sorted([CoreRef(coreId=self.agreement.coreId, addr=self.me.addr),
                       *(CoreRef(coreId=coreId, addr=addr) for coreId, (addr, _) in self.said.items())],
                      key=lambda ref: ref.addr)
        isMyTurn = refs[0].coreId == self.agreement.coreId or self.random.random() < 0.05
        if isMyTurn and (self.agreement.slot.accepted or all(each.fresh for _, each in self.said.values())):
            await self.agreement.propose(View(number=1, members=refs, voters=refs))

    async def _mend(self):
        view, nowS = self.agreement.decided, self.loop.time()
        if self.agreement.slot.accepted is None:
            self.acceptedSinceS = None
        elif self.acceptedSinceS is None:
            self.acceptedSinceS = nowS
        elif nowS - self.acceptedSinceS > 0.7:
            self.acceptedSinceS = None
            await self.agreement.propose(self.agreement.slot.accepted)
            return
        bad = {ref.coreId for ref in view.members if self._isBad(ref)}
        self.badSinceS = {coreId: self.badSinceS.get(coreId, nowS) for coreId in bad}
        patienceS = 0.5 + 0.6 * max(0, self.agreement.position())
        lost = {coreId for coreId, sinceS in self.badSinceS.items() if nowS - sinceS > patienceS}
        failedS, at = self.chain.passFailedS, self.agreement.position()
        if failedS is not None and nowS - failedS > 2.0 and at + 1 < len(view.members):
            lost.add(view.members[at + 1].coreId)
        kept = [ref for ref in view.members if ref.coreId not in lost]
        if lost and kept and len(kept) < len(view.members):
            self.board.note("drops members", lost=sorted(lost))
            await self.agreement.propose(View(number=view.number + 1, members=kept, voters=view.voters))

    def _isBad(self, ref):
        if ref.coreId == self.agreement.coreId:
            return bool(self.agreement.trouble()) or ref.addr != self.me.addr
        if ref.coreId in self.said:
            addr, said = self.said[ref.coreId]
            return bool(said.fault) or addr != ref.addr
        return not any(each.coreId == ref.coreId and each.state == 0 for each in self.membership.alive("core"))

    async def _join(self):
        view = self.agreement.decided
        if not view.members or self.agreement.fault is not None:
            return
        tail = view.members[-1]
        got = await self.chain.copyFrom(tail.addr)
        if isFault(got) or got.view != self.agreement.decided.number:
            return
        ask = JoinAsk(coreId=self.agreement.coreId, addr=self.me.addr, view=got.view)
        for ref in view.members:
            if not isFault(await self.mesh.ask(ref.addr, ask, 3000)):
                return

    async def onJoin(self, ask, sender):
        view = self.agreement.decided
        if ask.view != view.number or self.agreement.position() < 0 or ask.coreId in ids(view.members):
            return OLD_VIEW
        ref = CoreRef(coreId=ask.coreId, addr=ask.addr)
        voters = self._votersWith(view, ref)
        if voters is None:
            return NO_VIEW.because("no voter is lost whose place could be taken")
        got = await self.agreement.propose(View(number=view.number + 1, members=[*view.members, ref], voters=voters))
        return got if isFault(got) else Done(count=got.number)

    def _votersWith(self, view, ref):
        if ref.coreId in ids(view.voters):
            return [ref if each.coreId == ref.coreId else each for each in view.voters]
        present = {self.agreement.coreId, *self.said, *ids(view.members),
                   *(each.coreId for each in self.membership.alive("core"))}
        lost = [each for each in view.voters if each.coreId not in present]
        return [ref if each is lost[0] else each for each in view.voters] if lost else None
