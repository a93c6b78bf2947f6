"""The chain: writes enter at the head, are synced at each member, and are answered from the tail."""

import asyncio
import contextlib

import attrs
import msgspec

from swiftdeck.chain import log_records
from swiftdeck.chain.config_updates import ConfigUpdates
from swiftdeck.chain.router_leases import RouterLeases
from swiftdeck.chain.state import ChainState
from swiftdeck.chain.state_transfer import StateTransfer
from swiftdeck.chain.tail_queries import TailQueries
from swiftdeck.chain.weight_ages import WeightAges
from swiftdeck.disk.journal import Journal
from swiftdeck.fault import (
    BAD_FRAME,
    CORRUPT_RECORD,
    DISK_FAILED,
    DISK_FULL,
    DISK_STALLED,
    MISSING_ENTRIES,
    NO_VIEW,
    NOT_HEAD,
    NOT_TAIL,
    STALE_VIEW,
    UNKNOWN_CHANGE,
    is_fault,
)
from swiftdeck.runtime.command_queue import CommandQueue
from swiftdeck.wire.messages import (
    ChainEntry,
    CommitAsk,
    ConfigChanged,
    CopyAsk,
    Done,
    LogAsk,
    ReplicateAsk,
    ReplicateReturn,
    Write,
    WriteReturn,
)

PASS_ENTRIES, PASS_BYTES, KEPT_ENTRIES = 256, 4 << 20, 4096
COMMIT_WAIT_MS, COMMIT_ASK_MS = 600, 800


@attrs.frozen
class Durable:
    """The newest configuration that a loss of power cannot take back from this member's disk."""

    version: int
    config: object


@attrs.frozen
class Refusal:
    """A change that the head's own entries speak against, the last of them by its serial in a view."""

    fault: object
    view: int
    serial: int


class Chain:
    """One core's copy of the control state and its place in the chain."""

    def __init__(
        self,
        folder,
        mesh,
        agreement,
        telemetry,
        lease_ms=4000,
        rewrite_bytes=1 << 20,
        ack_wait_ms=0,
        losses_borne=1,
        **bounds,
    ):
        self.journal = Journal(folder, "chain.log")
        self.mesh, self.agreement, self.telemetry = mesh, agreement, telemetry
        self.rewrite_bytes = rewrite_bytes
        self.leases = RouterLeases(lease_ms, ack_wait_ms)
        self.losses_borne = losses_borne
        self.state, self.serial, self.entries, self.synced = ChainState(**bounds), 0, {}, 0
        self.durable = Durable(0, self.state.config)
        self.committed_in, self.committed = 0, 0
        self.committed_config = self.state.config
        self.fault, self.needs_copy, self.must_compare, self.is_partial = None, False, False, False
        self.complete_in = 0
        self.whole_in, self.last_in = 0, 0
        self.transfer, self.updates = StateTransfer(self), ConfigUpdates(telemetry)
        self.incoming, self.committers = [], []
        self.unwritten = []
        self.weight_ages, self.core_calm_ms = WeightAges(), lambda: 0
        self.next_last, self.pass_failed_s = None, None
        self.last_write_s = None
        agreement.watchers.append(self.on_view)
        agreement.fault_checks.append(self.own_fault_text)
        for kind, handler in (
            (Write, self.on_write),
            (ReplicateAsk, self.on_pass),
            (CopyAsk, self.transfer.on_ask),
            (LogAsk, self.transfer.on_log_ask),
            (CommitAsk, self.on_commit_ask),
        ):
            mesh.register(kind, handler)
        self.queries = TailQueries(self)

    async def start(self):
        """Read what was kept, and go on passing entries down."""
        self.loop = asyncio.get_running_loop()
        self.leases.start()
        self.owner, self.kick = CommandQueue(), asyncio.Event()
        self._load()
        if self.fault is None and not await self._sync():
            self.needs_copy = True
        self.on_view(self.agreement.decided)
        self.task = asyncio.ensure_future(self._passing())

    def _load(self):
        """Read the log. Its first record is synced before this core knows any view, so that a later log without any is lost."""
        try:
            loaded = self.journal.load()
            records = loaded if is_fault(loaded) else log_records.read(loaded)
        except OSError as error:
            records = DISK_FAILED.with_reason(error)
        except msgspec.ValidationError as error:
            records = CORRUPT_RECORD.with_reason(f"{self.journal.name}: {error}")
        if is_fault(records):
            self.fault, self.needs_copy = records, True
            return
        for record in records:
            self._restore(record)
        is_known = self.agreement.decided.number > 0
        self.must_compare = is_known
        if not records and not is_known:
            self.unwritten.append(log_records.Begin())
        elif not records and self.agreement.position() >= 0:
            self.fault, self.needs_copy = CORRUPT_RECORD.with_reason("chain.log is missing"), True

    def _restore(self, record):
        match record:
            case log_records.State():
                self.state.from_bytes(record.data)
                self.serial, self.entries = record.serial, {}
                self.is_partial, self.complete_in = record.is_partial, 0
            case log_records.Entry():
                self._apply(record.serial, record.body)
            case log_records.Complete():
                self.is_partial = False
            case log_records.CompleteIn():
                self.complete_in = record.view

    def own_fault_text(self):
        """Why this member should leave the chain, empty when it need not."""
        if self.journal.stall_ms() > 1000:
            return f"{DISK_STALLED.code} {DISK_STALLED.name}"
        return f"{self.fault.code} {self.fault.reason}" if self.fault is not None else ""

    def on_view(self, view):
        """Start over in a new view."""
        self.next_last, self.pass_failed_s = None, None
        if self.agreement.position() >= 0:
            self.transfer.is_copy = False
            if view.number == self.complete_in and self.is_partial:
                self.owner.send(self._note_joined, view.number)
        if len(view.members) < 2:
            self.must_compare = False
        self._lead_if_complete()
        self.kick.set()

    def _lead_if_complete(self):
        if self.agreement.position() == 0 and not (self.must_compare or self.lacks_entries()):
            self._become_whole()

    def _become_whole(self):
        view = self.agreement.decided.number
        if self.whole_in != view:
            stays_last = self.is_last() and self.last_in == self.whole_in == view - 1 > 0
            self.whole_in = view
            if not stays_last:
                self.leases.begin(max(self.loop.time(), self.agreement.wait_until_s))
            self._know()
            self.last_in = view if self.is_last() else 0

    def _know(self):
        """Remember when this tail first had the newest version on its disk, and the weights that it names."""
        if self.is_last():
            self.weight_ages.note(self.durable.config.document.models, self.loop.time())
            self.leases.know(self.durable.version)

    def lacks_entries(self):
        """Whether this member may lack what was committed, so that no view may keep such members only.

        A core that joins copies while changes go on; it has all of them once it was whole.
        """
        return self.is_partial or self.needs_copy

    async def _note_complete(self):
        """Put on the disk that this member has been whole, before it acts as one; gives whether that is done."""
        if not self.is_partial:
            return True
        try:
            self.journal.append(log_records.Complete())
            await self.journal.sync()
        except OSError as error:
            self._fail(error)
            return False
        self.is_partial, self.complete_in = False, 0
        return True

    async def expect_join(self, view):
        """Put on the disk that the view after this one makes the copy here complete, if that can be said.

        A view that acknowledges nothing leaves nothing that its whole tail's log did not have, and what
        the next one acknowledges passes through all its members. A later view may hold what was
        acknowledged without this core. Gives whether the disk is well.
        """
        return await self.owner.send(self._expect_join, view)

    async def _expect_join(self, view):
        number = view.number + 1
        if self._bears_losses(view) or self.complete_in == number:
            return True
        try:
            self.journal.append(log_records.CompleteIn(number))
            await self.journal.sync()
        except OSError as error:
            self._fail(error)
            return False
        self.complete_in = number
        return True

    async def _note_joined(self, number):
        """Act on the record of `expect_join`, unless another copy has taken the place of that one."""
        if self.complete_in == number and await self._note_complete():
            self._lead_if_complete()

    def is_first(self):
        return self.agreement.position() == 0

    def is_last(self):
        members = self.agreement.decided.members
        return bool(members) and self.agreement.position() == len(members) - 1

    def is_whole(self):
        """Whether this member has all that the chain before it had at the start of the view."""
        return self.whole_in == self.agreement.decided.number > 0 and not self.needs_copy

    def may_tell(self):
        """Whether this is the tail and may speak for the chain now."""
        return self.is_last() and self.is_whole() and self.agreement.may_serve()

    def _apply(self, serial, body):
        self.state.apply(msgspec.msgpack.decode(body))
        if not self.state.is_true:
            self.fault, self.needs_copy = (
                CORRUPT_RECORD.with_reason("a change gave another configuration here"),
                True,
            )
        self.serial = serial
        self.entries[serial] = body
        while len(self.entries) > KEPT_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def _bears_losses(self, view):
        return len(view.members) > self.losses_borne

    def has_copies(self):
        """Whether this view has more members than may be lost, without which nothing is acknowledged."""
        return self._bears_losses(self.agreement.decided)

    def awaits_last_sync(self):
        """Whether this member of a view that takes no changes has yet to sync what it had before that view.

        Until then it makes no other member whole, nor gives its log away: a core that joins such a view
        counts as complete with the log of its tail, to which nothing may be added.
        """
        return not self.has_copies() and self.serial > self.synced

    def _may_write(self):
        """Whether this is the head and may take changes now."""
        return self.is_first() and self.agreement.may_serve() and self.is_whole()

    async def on_write(self, ask, sender):
        if not self._may_write():
            return NOT_HEAD
        if not self.has_copies():
            return NO_VIEW.with_reason(
                f"fewer than {self.losses_borne + 1} members acknowledge nothing"
            )
        if self.fault is not None:
            return self.fault
        try:
            change = msgspec.msgpack.decode(ask.body)
            change["t"]
        except (msgspec.DecodeError, KeyError, TypeError) as error:
            return BAD_FRAME.with_reason(error)
        done = self.loop.create_future()
        self.incoming.append((change, done))
        self.owner.send(self._take_incoming)
        got = await done
        return await self._confirmed(got) if isinstance(got, Refusal) else got

    async def _take_incoming(self):
        taken, self.incoming = self.incoming, []
        if not taken:
            return
        view, waiting = self.agreement.decided.number, []
        for change, done in taken:
            may_take = self._may_write() and self.has_copies()
            got = self._take_one(change) if may_take else NOT_HEAD
            if is_fault(got):
                self._finish(done, got)
            else:
                waiting.append((done, got or WriteReturn(serial=self.serial, view=view)))
        if await self._sync():
            for done, got in waiting:
                self._finish(done, got)
            self.kick.set()
            if self.is_last():
                self._know()
                self.wake_committers()
        else:
            for done, _ in waiting:
                self._finish(done, STALE_VIEW.with_reason("synced nowhere"))

    async def _confirmed(self, refusal):
        """A refusal, once what it rests on is committed.

        Until then another head may have none of it, and the change is proper after all.
        """
        is_same = self.agreement.decided.number == refusal.view
        if is_same and await self.is_committed(refusal.serial):
            return refusal.fault
        self.telemetry.count["refusalsWithheld"] += 1
        return NOT_HEAD.with_reason("what speaks against the change is not committed")

    async def is_committed(self, serial):
        """Whether the tail of the view has this head's entries up to a serial, hence every member and each later view."""
        view = self.agreement.decided
        if self.committed_in == view.number and self.committed >= serial:
            return True
        ask = CommitAsk(view=view.number, serial=serial, wait_ms=COMMIT_WAIT_MS)
        if self.is_last():
            got = await self.on_commit_ask(ask, "")
        else:
            got = await self.mesh.request(view.members[-1].addr, ask, COMMIT_ASK_MS)
        if is_fault(got):
            return False
        if view is self.agreement.decided:
            known = self.committed if self.committed_in == view.number else 0
            self.committed_in, self.committed = view.number, max(known, got.count)
        return True

    async def on_commit_ask(self, ask, sender):
        """Whether entries of a view are on this tail's disk; both sides must be in that very view."""
        end_s = self.loop.time() + min(ask.wait_ms, 30000) / 1000
        while True:
            is_its_tail = ask.view == self.agreement.decided.number and self.is_last()
            if not is_its_tail or not self.is_whole() or not self.has_copies():
                return NOT_TAIL
            if self.synced >= ask.serial:
                return Done(count=self.synced)
            if self.loop.time() >= end_s:
                return UNKNOWN_CHANGE.with_reason(f"entry {ask.serial} is not here yet")
            await self.await_commit(end_s)

    async def known_committed(self):
        """The newest configuration of this head that is known to be committed; where it has a newer one, the tail is asked."""
        config, serial = self.state.config, self.serial
        is_new = config is not self.committed_config
        if is_new and self.is_whole() and await self.is_committed(serial):
            self.committed_config = config
        return self.committed_config

    @staticmethod
    def _finish(done, got):
        if not done.done():
            done.set_result(got)

    def _take_one(self, change):
        try:
            entry = self.state.examine(change)
        except (KeyError, TypeError, ValueError) as error:
            return BAD_FRAME.with_reason(repr(error))
        if is_fault(entry):
            return Refusal(entry, self.agreement.decided.number, self.serial)
        if entry is None:
            return None
        if entry["t"] == "claims":
            now_s = self.loop.time()
            entry["elapsedMs"] = int((now_s - (self.last_write_s or now_s)) * 1000)
            self.last_write_s = now_s
        self._append(self.serial + 1, msgspec.msgpack.encode(entry))
        return None

    def _append(self, serial, body):
        """Take an entry in; `_sync` writes it with all others that came since the last one."""
        self._apply(serial, body)
        self.unwritten.append(log_records.Entry(serial, body))

    def _fail(self, error):
        self.fault = (DISK_FULL if error.errno == 28 else DISK_FAILED).with_reason(error)
        self.telemetry.set_fact("disk", self.fault.name)

    async def _sync(self):
        try:
            serial = self.serial
            self._write()
            await self.journal.sync()
            self._mark_synced(serial)
            if self.journal.size > self.rewrite_bytes:
                await self._rewrite()
            return True
        except OSError as error:
            self._fail(error)
            return False

    def _write(self):
        """Write all that is unwritten at once.

        Of several writes a loss of power may keep the last without the first, and the log would
        read as damaged although nothing that was synced is gone.
        """
        unwritten, self.unwritten = self.unwritten, []
        if unwritten:
            self.journal.append(*unwritten)

    def _mark_synced(self, serial):
        self.synced = max(self.synced, serial)
        if self.synced >= self.serial:
            self.durable = Durable(self.state.stored.version, self.state.config)

    def _state_record(self, serial, data):
        return log_records.State(serial, data, self.is_partial)

    async def _rewrite(self):
        data, serial, self.unwritten = self.state.to_bytes(), self.serial, []
        records = [self._state_record(serial, data)]
        if self.complete_in:
            records.append(log_records.CompleteIn(self.complete_in))
        await self.journal.rewrite(records)
        self._mark_synced(serial)
        self.rewrite_bytes = max(1 << 20, 4 * len(data))
        self.telemetry.count["rewrites"] += 1

    async def heal(self):
        """After a fault of the disk: try to write the whole state anew."""
        if (
            self.fault is not None
            and not self.needs_copy
            and self.fault.code != CORRUPT_RECORD.code
        ):
            try:
                await self.owner.send(self._rewrite)
                self.fault = None
                self.telemetry.set_fact("disk", "good")
            except OSError as error:
                self._fail(error)

    async def _sweep(self):
        try:
            is_sound = self.fault is not None or self.journal.is_sound()
            if not is_sound:
                self.telemetry.count["sweepsMended"] += 1
                self.telemetry.log_event(
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
            while await self._pass_on():
                pass

    def has_unpassed(self):
        """Whether this head has taken a change that the next member does not have yet."""
        is_passed = self.next_last is not None and self.next_last >= self.serial
        return self.is_first() and (bool(self.incoming) or not is_passed)

    def last_to_pass(self):
        """The last entry that the next member may have: what a loss of power here cannot take back."""
        return self.synced

    async def _pass_on(self):
        view, at = self.agreement.decided, self.agreement.position()
        is_comparing = at == 0 and self.must_compare and not self.needs_copy
        if (
            at < 0
            or at + 1 >= len(view.members)
            or not (self.is_whole() or is_comparing)
            or self.awaits_last_sync()
            or self.fault is not None
        ):
            return False
        last = self.last_to_pass()
        start = last if self.next_last is None else self.next_last
        entries, size = [], 0
        for serial in range(start + 1, last + 1):
            if serial not in self.entries or len(entries) >= PASS_ENTRIES or size > PASS_BYTES:
                break
            entries.append(ChainEntry(serial=serial, body=self.entries[serial]))
            size += len(self.entries[serial])
        after = view.members[at + 1].addr
        ask = ReplicateAsk(
            view=view.number, entries=entries, last=last, must_copy=start < last and not entries
        )
        got = await self.mesh.request(after, ask, 1500)
        if view is not self.agreement.decided:
            return True
        if is_fault(got):
            self.pass_failed_s = self.pass_failed_s or self.loop.time()
            return False
        self.pass_failed_s, before, self.next_last = None, self.next_last, got.last
        if got.last > max(last, self.synced):
            return not is_fault(await self.owner.send(self._copy_from, after, self.synced))
        if is_comparing:
            await self._end_comparing(view)
        return got.last < self.synced and got.last != before

    async def _end_comparing(self, view):
        """The next member has no more than this head: it has all that the chain had before the view."""
        if await self.owner.send(self._note_complete) and view is self.agreement.decided:
            self.must_compare = False
            self._become_whole()

    async def on_pass(self, ask, sender):
        return await self.owner.send(self._take_pass, ask, sender)

    async def _take_pass(self, ask, sender):
        view, at = self.agreement.decided, self.agreement.position()
        if ask.view != view.number or at < 1 or view.members[at - 1].addr != sender:
            return STALE_VIEW.with_reason(f"pass in view {ask.view}, here {view.number}")
        is_behind = ask.must_copy or (ask.entries and ask.entries[0].serial > self.serial + 1)
        has_copied = self.needs_copy or is_behind and self.serial < ask.last
        if has_copied:
            got = await self._copy_from(sender)
            if is_fault(got):
                return got
        fault = await self.take_entries(ask.entries)
        if is_fault(fault):
            return fault
        is_level = self.serial == ask.last or has_copied and self.serial > ask.last
        if is_level and not await self._note_complete():
            return self.fault
        if ask.view != self.agreement.decided.number:
            return STALE_VIEW
        if self.fault is not None:
            return self.fault
        if is_level:
            self.must_compare = False
            self._become_whole()
        if self.is_whole():
            self._know()
        self.kick.set()
        self.wake_committers()
        return ReplicateReturn(last=self.serial)

    async def take_entries(self, entries):
        """Append those that are new here, and sync them; gives a fault or None."""
        fresh = [entry for entry in entries if entry.serial > self.serial]
        for entry in fresh:
            if entry.serial != self.serial + 1:
                return MISSING_ENTRIES.with_reason(f"{entry.serial} after {self.serial}")
            self._append(entry.serial, entry.body)
        return self.fault if fresh and not await self._sync() else None

    def wake_committers(self):
        """Let those look again who wait for a commit, and tell routers of a newer version."""
        waiting, self.committers = self.committers, []
        for done in waiting:
            if not done.done():
                done.set_result(None)
        if self.is_last():
            version = self.durable.version
            for addr in self.leases.to_nudge(version):
                self.mesh.send(addr, ConfigChanged(version=version))

    async def _copy_from(self, addr, above=-1):
        return await self.transfer.take(addr, above)

    async def replace_state(self, state, serial, data):
        """Put a state that was copied in place of this one, on the disk first; gives a fault of the disk or None."""
        try:
            self.unwritten = []
            await self.journal.rewrite([self._state_record(serial, data)])
        except OSError as error:
            self._fail(error)
            return self.fault
        self.state, self.serial, self.entries, self.synced = state, serial, {}, serial
        self.complete_in = 0
        self._mark_synced(serial)
        self.fault, self.needs_copy = None, False
        self.transfer.snapshots.clear()
        self.telemetry.count["copies"] += 1
        self.telemetry.set_fact("disk", "good")
        return None

    async def copy_from(self, addr, view):
        """Get level with the tail of a view at an address before joining; gives a fault or None."""
        return await self.owner.send(self.transfer.join_up, addr, view)

    def is_synced(self, serial):
        """Whether a loss of power takes back no entry up to a serial here."""
        return self.synced >= serial

    async def await_commit(self, end_s):
        """Wait until something was committed or confirmed, for a moment and no longer than given."""
        done = self.loop.create_future()
        self.committers.append(done)
        await asyncio.wait([done], timeout=min(0.1, max(0.001, end_s - self.loop.time())))
