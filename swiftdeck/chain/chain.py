"""The chain: writes enter at the head, are synced at each member, and are answered from the tail."""

import asyncio
import contextlib

import attrs
import msgspec

from swiftdeck.board.owner import Owner
from swiftdeck.chain.state import ChainState
from swiftdeck.disk.journal import Journal
from swiftdeck.fault import (
    BAD_FRAME,
    DAMAGED,
    DISK_FAILED,
    DISK_FULL,
    DISK_SLOW,
    GAP,
    NO_VIEW,
    NOT_HEAD,
    NOT_TAIL,
    OLD_VIEW,
    UNKNOWN_CHANGE,
    isFault,
)
from swiftdeck.wire.messages import (
    ChainEntry,
    ConfigAsk,
    ConfigReturn,
    CopyAsk,
    CopyReturn,
    LicenceAsk,
    LicenceReturn,
    Nudge,
    OutcomeAsk,
    OutcomeReturn,
    Pass,
    PassReturn,
    PeekAsk,
    PeekReturn,
    Write,
    WriteReturn,
)

PASS_ENTRIES, PASS_BYTES, KEPT_ENTRIES, KNOWN_KEPT = 256, 4 << 20, 4096, 64


@attrs.frozen
class Durable:
    """The newest configuration that a loss of power cannot take back from this member's disk."""

    version: int
    config: object


@attrs.define
class Holder:
    """A router that may hold a licence for a configuration."""

    addr: str
    untilS: float
    held: int
    nudged: int = 0


class Chain:
    """One core's copy of the control state and its place in the chain."""

    def __init__(
        self,
        folder,
        mesh,
        agreement,
        board,
        licenceMs=4000,
        rewriteBytes=1 << 20,
        ackWaitMs=0,
        losses_borne=1,
        **bounds,
    ):
        self.journal = Journal(folder, "chain.log")
        self.mesh, self.agreement, self.board = mesh, agreement, board
        self.licenceMs, self.rewriteBytes, self.ackWaitMs = licenceMs, rewriteBytes, ackWaitMs
        self.losses_borne = losses_borne
        self.state, self.serial, self.entries, self.synced = ChainState(**bounds), 0, {}, 0
        self.durable = Durable(0, self.state.config)
        self.fault, self.needsCopy, self.mustCompare, self.is_partial = None, False, False, False
        self.wholeIn, self.lastIn, self.wholeSinceS = 0, 0, 0.0
        self.incoming, self.committers, self.holders = [], [], {}
        self.known_s = {}
        self.nextLast, self.passFailedS = None, None
        self.lastWriteS = None
        agreement.watchers.append(self.onView)
        agreement.troubles.append(self.trouble)
        for kind, handler in (
            (Write, self.onWrite),
            (Pass, self.onPass),
            (CopyAsk, self.onCopyAsk),
            (OutcomeAsk, self.onOutcomeAsk),
            (ConfigAsk, self.onConfigAsk),
            (PeekAsk, self.on_peek_ask),
            (LicenceAsk, self.onLicenceAsk),
        ):
            mesh.on(kind, handler)

    async def start(self):
        """Read what was kept, and go on passing entries down."""
        self.loop = asyncio.get_running_loop()
        self.owner, self.kick = Owner(), asyncio.Event()
        self._load()
        if self.fault is None and not await self._sync():
            self.needsCopy = True
        self.onView(self.agreement.decided)
        self.task = asyncio.ensure_future(self._passing())

    def _load(self):
        try:
            records = self.journal.load()
        except OSError as error:
            records = DISK_FAILED.because(error)
        if isFault(records):
            self.fault, self.needsCopy = records, True
            return
        for record in records:
            if record["k"] == "state":
                self.state.fromBytes(record["state"])
                self.serial, self.entries = record["n"], {}
            else:
                self._apply(record["n"], record["b"])
        known = self.agreement.decided
        self.mustCompare = known.number > 0
        if known.number > 1 and not records and self.agreement.position() >= 0:
            self.fault, self.needsCopy = DAMAGED.because("chain.log is missing"), True

    def trouble(self):
        """Why this member should leave the chain, empty when it need not."""
        if self.journal.stallMs() > 1000:
            return f"{DISK_SLOW.code} {DISK_SLOW.name}"
        return f"{self.fault.code} {self.fault.reason}" if self.fault is not None else ""

    def onView(self, view):
        """Start over in a new view."""
        self.nextLast, self.passFailedS = None, None
        if len(view.members) < 2:
            self.mustCompare = False
        if self.agreement.position() == 0 and not self.needsCopy and not self.mustCompare:
            self._becomeWhole()
        self.kick.set()

    def _becomeWhole(self):
        view = self.agreement.decided.number
        if self.wholeIn != view:
            staysLast = self.isLast() and self.lastIn == self.wholeIn == view - 1 > 0
            self.wholeIn, self.is_partial = view, False
            if not staysLast:
                self.wholeSinceS, self.holders = (
                    max(self.loop.time(), self.agreement.waitUntilS),
                    {},
                )
                self.known_s = {}
            self._know()
            self.lastIn = view if self.isLast() else 0

    def _know(self):
        """Remember when this tail first had the newest version on its disk."""
        version = self.durable.version
        if self.isLast() and version not in self.known_s:
            self.known_s[version] = self.loop.time()
            if len(self.known_s) > KNOWN_KEPT:
                del self.known_s[next(iter(self.known_s))]

    def isFirst(self):
        return self.agreement.position() == 0

    def isLast(self):
        members = self.agreement.decided.members
        return bool(members) and self.agreement.position() == len(members) - 1

    def isWhole(self):
        """Whether this member has all that the chain before it had at the start of the view."""
        return self.wholeIn == self.agreement.decided.number > 0 and not self.needsCopy

    def mayTell(self):
        """Whether this is the tail and may speak for the chain now."""
        return self.isLast() and self.isWhole() and self.agreement.mayServe()

    def _apply(self, serial, body):
        self.state.apply(msgspec.msgpack.decode(body))
        if not self.state.isTrue:
            self.fault, self.needsCopy = (
                DAMAGED.because("a change gave another configuration here"),
                True,
            )
        self.serial = serial
        self.entries[serial] = body
        while len(self.entries) > KEPT_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def _hasCopies(self):
        return len(self.agreement.decided.members) > self.losses_borne

    async def onWrite(self, ask, sender):
        if not self.isFirst() or not self.agreement.mayServe() or not self.isWhole():
            return NOT_HEAD
        if not self._hasCopies():
            return NO_VIEW.because(
                f"fewer than {self.losses_borne + 1} members acknowledge nothing"
            )
        if self.fault is not None:
            return self.fault
        try:
            change = msgspec.msgpack.decode(ask.body)
            change["t"]
        except (msgspec.DecodeError, KeyError, TypeError) as error:
            return BAD_FRAME.because(error)
        done = self.loop.create_future()
        self.incoming.append((change, done))
        self.owner.send(self._takeIncoming)
        return await done

    async def _takeIncoming(self):
        taken, self.incoming = self.incoming, []
        if not taken:
            return
        view, waiting = self.agreement.decided.number, []
        for change, done in taken:
            got = self._takeOne(change)
            if isFault(got):
                self._finish(done, got)
            else:
                waiting.append((done, WriteReturn(serial=self.serial, view=view)))
        if await self._sync():
            for done, got in waiting:
                self._finish(done, got)
            self.kick.set()
            if self.isLast():
                self._know()
                self._wakeCommitters()
        else:
            for done, _ in waiting:
                self._finish(done, OLD_VIEW.because("synced nowhere"))

    @staticmethod
    def _finish(done, got):
        if not done.done():
            done.set_result(got)

    def _takeOne(self, change):
        try:
            entry = self.state.examine(change)
        except (KeyError, TypeError, ValueError) as error:
            return BAD_FRAME.because(repr(error))
        if entry is None or isFault(entry):
            return entry
        if entry["t"] == "claims":
            nowS = self.loop.time()
            entry["elapsedMs"] = int((nowS - (self.lastWriteS or nowS)) * 1000)
            self.lastWriteS = nowS
        return self._append(self.serial + 1, msgspec.msgpack.encode(entry))

    def _append(self, serial, body):
        try:
            self.journal.append({"k": "e", "n": serial, "b": body})
        except OSError as error:
            self._fail(error)
            return self.fault
        self._apply(serial, body)
        return None

    def _fail(self, error):
        self.fault = (DISK_FULL if error.errno == 28 else DISK_FAILED).because(error)
        self.board.put("disk", self.fault.name)

    async def _sync(self):
        try:
            serial = self.serial
            await self.journal.sync()
            self._mark_synced(serial)
            if self.journal.size > self.rewriteBytes:
                await self._rewrite()
            return True
        except OSError as error:
            self._fail(error)
            return False

    def _mark_synced(self, serial):
        self.synced = max(self.synced, serial)
        if self.synced >= self.serial:
            self.durable = Durable(self.state.stored.version, self.state.config)

    async def _rewrite(self):
        data, serial = self.state.toBytes(), self.serial
        await self.journal.rewrite([{"k": "state", "n": serial, "state": data}])
        self._mark_synced(serial)
        self.rewriteBytes = max(1 << 20, 4 * len(data))
        self.board.count["rewrites"] += 1

    async def heal(self):
        """After a fault of the disk: try to write the whole state anew."""
        if self.fault is not None and not self.needsCopy and self.fault.code != DAMAGED.code:
            try:
                await self.owner.send(self._rewrite)
                self.fault = None
                self.board.put("disk", "good")
            except OSError as error:
                self._fail(error)

    async def _sweep(self):
        try:
            isSound = self.fault is not None or self.journal.isSound()
            if not isSound:
                self.board.count["sweepsMended"] += 1
                self.board.note(
                    "sweep found damage on disk, writes the file anew", file=self.journal.name
                )
                await self._rewrite()
        except OSError as error:
            self._fail(error)

    async def sweep(self):
        """Read the own file back, and mend it from memory where it no longer reads."""
        await self.owner.send(self._sweep)

    async def _passing(self):
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.kick.wait(), 0.25)
            self.kick.clear()
            while await self._passOn():
                pass

    def lastToPass(self):
        """The last entry that the next member may have: what a loss of power here cannot take back."""
        return self.synced

    async def _passOn(self):
        view, at = self.agreement.decided, self.agreement.position()
        isComparing = at == 0 and self.mustCompare and not self.needsCopy
        if (
            at < 0
            or at + 1 >= len(view.members)
            or not (self.isWhole() or isComparing)
            or self.fault is not None
        ):
            return False
        last = self.lastToPass()
        start = last if self.nextLast is None else self.nextLast
        entries, size = [], 0
        for serial in range(start + 1, last + 1):
            if serial not in self.entries or len(entries) >= PASS_ENTRIES or size > PASS_BYTES:
                break
            entries.append(ChainEntry(serial=serial, body=self.entries[serial]))
            size += len(self.entries[serial])
        after = view.members[at + 1].addr
        ask = Pass(
            view=view.number, entries=entries, last=last, mustCopy=start < last and not entries
        )
        got = await self.mesh.ask(after, ask, 1500)
        if view is not self.agreement.decided:
            return True
        if isFault(got):
            self.passFailedS = self.passFailedS or self.loop.time()
            return False
        self.passFailedS, before, self.nextLast = None, self.nextLast, got.last
        if got.last > max(last, self.synced):
            return not isFault(await self.owner.send(self._copyFrom, after, self.synced))
        if isComparing and view is self.agreement.decided:
            self.mustCompare = False
            self._becomeWhole()
        return got.last < self.synced and got.last != before

    async def onPass(self, ask, sender):
        return await self.owner.send(self._takePass, ask, sender)

    async def _takePass(self, ask, sender):
        view, at = self.agreement.decided, self.agreement.position()
        if ask.view != view.number or at < 1 or view.members[at - 1].addr != sender:
            return OLD_VIEW.because(f"pass in view {ask.view}, here {view.number}")
        isBehind = ask.mustCopy or (ask.entries and ask.entries[0].serial > self.serial + 1)
        hasCopied = self.needsCopy or isBehind and self.serial < ask.last
        if hasCopied:
            got = await self._copyFrom(sender)
            if isFault(got):
                return got
        fresh = [entry for entry in ask.entries if entry.serial > self.serial]
        for entry in fresh:
            if entry.serial != self.serial + 1:
                return GAP.because(f"{entry.serial} after {self.serial}")
            if isFault(self._append(entry.serial, entry.body)):
                return self.fault
        if fresh and not await self._sync():
            return self.fault
        if ask.view != self.agreement.decided.number:
            return OLD_VIEW
        if self.fault is not None:
            return self.fault
        if self.serial == ask.last or hasCopied and self.serial > ask.last:
            self.mustCompare = False
            self._becomeWhole()
        if self.isWhole():
            self._know()
        self.kick.set()
        self._wakeCommitters()
        return PassReturn(last=self.serial)

    def _wakeCommitters(self):
        waiting, self.committers = self.committers, []
        for done in waiting:
            if not done.done():
                done.set_result(None)
        if self.isLast():
            for holder in self.holders.values():
                if (
                    max(holder.held, holder.nudged) < self.durable.version
                    and holder.untilS > self.loop.time()
                ):
                    holder.nudged = self.durable.version
                    self.mesh.tell(holder.addr, Nudge(version=self.durable.version))

    async def onCopyAsk(self, ask, sender):
        """The state as far as it is synced here, which it is between two commands of the owner."""
        return await self.owner.send(self._copied, sender)

    def _copied(self, sender):
        view, at = self.agreement.decided, self.agreement.position()
        isBefore = at > 0 and view.members[at - 1].addr == sender and not self.needsCopy
        if (
            not (self.isWhole() or isBefore)
            or self.fault is not None
            or at < 0
            or self.serial > self.synced
        ):
            return NOT_TAIL
        return CopyReturn(
            serial=self.serial, state=self.state.toBytes(), view=self.agreement.decided.number
        )

    async def _copyFrom(self, addr, above=-1):
        got = await self.mesh.ask(addr, CopyAsk(coreId=self.agreement.coreId), 5000)
        if isFault(got):
            return got
        if (
            got.serial <= above
            or above >= 0
            and (got.view != self.agreement.decided.number or self.serial != above)
        ):
            return OLD_VIEW.because(f"{got.serial} entries there, {self.serial} here")
        self.board.count["copiesFromBehind"] += above >= 0
        try:
            fresh = ChainState(self.state.keepMs, self.state.claimsMost)
            fresh.onConfig = self.state.onConfig
            fresh.fromBytes(got.state)
            await self.journal.rewrite([{"k": "state", "n": got.serial, "state": got.state}])
        except OSError as error:
            self._fail(error)
            return self.fault
        except msgspec.DecodeError as error:
            return DAMAGED.because(error)
        self.state, self.serial, self.entries, self.synced = fresh, got.serial, {}, got.serial
        self._mark_synced(got.serial)
        self.fault, self.needsCopy = None, False
        self.board.count["copies"] += 1
        self.board.put("disk", "good")
        return got

    async def copyFrom(self, addr):
        """Take the whole state of a member over; gives its return or a fault."""
        return await self.owner.send(self._copyFrom, addr)

    async def onOutcomeAsk(self, ask, sender):
        endS, known, serial = self.loop.time() + min(ask.waitMs, 30000) / 1000, None, self.serial
        while True:
            if not self.mayTell() or not self._hasCopies():
                return NOT_TAIL
            found = self._outcome(ask.changeId) if known is None else known
            if found is not None and self.synced >= serial:
                return found
            known, serial = found, self.serial if known is None else serial
            if self.loop.time() >= endS:
                return UNKNOWN_CHANGE.because(ask.changeId)
            await self._awaitCommit(min(endS, self._ackS(ask.changeId)))

    def _outcome(self, changeId):
        stored = self.state.stored
        if changeId in stored.batches:
            return OutcomeReturn(results=stored.batches[changeId])
        change = stored.changes.get(changeId)
        if change and self.isInForce(change[0]):
            return OutcomeReturn(version=change[0])
        self.board.count["acksHeld"] += bool(change)
        return None

    async def _awaitCommit(self, endS):
        done = self.loop.create_future()
        self.committers.append(done)
        await asyncio.wait([done], timeout=min(0.1, max(0.001, endS - self.loop.time())))

    def _ackS(self, changeId):
        """When a change is acknowledged at the latest, as far as is known."""
        change = self.state.stored.changes.get(changeId)
        known_s = self._known_since(change[0]) if change else None
        return (
            self.loop.time() + 1
            if known_s is None or not self.ackWaitMs
            else known_s + self.ackWaitMs / 1000
        )

    def _known_since(self, version):
        return min((at_s for known, at_s in self.known_s.items() if known >= version), default=None)

    def isInForce(self, version):
        """Whether every router that may hold a licence has confirmed a version; without knowledge, all may.

        Where `ackWaitMs` is set, a version that this tail has had for so long counts as confirmed.
        """
        nowS = self.loop.time()
        known_s = self._known_since(version) if self.ackWaitMs else None
        if known_s is not None and nowS >= known_s + self.ackWaitMs / 1000:
            return True
        if nowS < self.wholeSinceS + self.licenceMs / 1000:
            return False
        return all(
            holder.held >= version or holder.untilS <= nowS for holder in self.holders.values()
        )

    def on_peek_ask(self, ask, sender):
        """What this tail has synced, without a word on whether it is the newest: whatever a tail has was committed."""
        if not self.isLast() or self.needsCopy or self.fault is not None:
            return NOT_TAIL
        config = self.durable.config
        return PeekReturn(
            version=self.durable.version,
            document=config.bytes(),
            digest=config.digest(),
            view=self.agreement.decided.number,
        )

    def onConfigAsk(self, ask, sender):
        if not self.mayTell():
            return NOT_TAIL
        return ConfigReturn(version=self.durable.version, document=self.durable.config.bytes())

    def onLicenceAsk(self, ask, sender):
        if not self.mayTell():
            return NOT_TAIL
        nowS, durable = self.loop.time(), self.durable
        if ask.handBack:
            self.holders.pop(ask.router, None)
            self._wakeCommitters()
            return LicenceReturn(version=durable.version)
        if ask.held > durable.version:
            return OLD_VIEW.because("router knows a newer version")
        old = self.holders.get(ask.router)
        held = max(ask.held, old.held if old else 0)
        self.holders[ask.router] = Holder(
            ask.addr, nowS + self.licenceMs / 1000, held, old.nudged if old else 0
        )
        self.holders = {name: each for name, each in self.holders.items() if each.untilS > nowS}
        if held >= durable.version:
            self._wakeCommitters()
        told = LicenceReturn(
            licenceMs=self.licenceMs,
            routers=len(self.holders),
            version=durable.version,
            view=self.agreement.decided.number,
        )
        digest = durable.config.digest()
        if ask.held < durable.version or ask.digest != digest:
            told.deltas = (
                self.state.since(ask.held, ask.digest, durable.version) if ask.digest else None
            ) or []
            told.document = b"" if told.deltas else durable.config.bytes()
            self.board.count["wholesSent"] += not told.deltas
            told.digest = digest
        return told
