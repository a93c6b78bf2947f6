"""Chain replication: writes enter at the head, are synced to disk at each member, and are acknowledged by the tail."""

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
from swiftdeck.config.document import shared_cache_generation
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

MAX_BATCH_ENTRIES, MAX_BATCH_BYTES, MAX_KEPT_ENTRIES = 256, 4 << 20, 4096
COMMIT_WAIT_MS, COMMIT_ASK_MS = 600, 800


@attrs.frozen
class Durable:
    """The newest configuration that is synced to this member's disk and so survives a power loss."""

    version: int
    config: object


@attrs.frozen
class Refusal:
    """The fault of a change that conflicts with the head's entries up to `serial` in a view."""

    fault: object
    view: int
    serial: int


class Chain:
    """One core's replica of the control state and its role in the chain.

    Attributes:
        serial: The serial of the last entry that is applied here.
        synced: The serial of the last entry that is synced to disk.
        caught_up_view: The view in which this member was known to have all that the chain had at its start.
        tail_view: The view in which this member was last a caught-up tail, or 0.
        next_member_serial: The last serial of the next member, None until it has responded in this view.
        complete_in: The view whose forming makes a partial copy complete, or 0.
        must_compare: Whether this member's log has to be compared with a neighbour's before it serves.
    """

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
        self.caught_up_view, self.tail_view = 0, 0
        self.transfer, self.updates = StateTransfer(self), ConfigUpdates(telemetry)
        self.incoming, self.commit_waiters = [], []
        self.unwritten = []
        self.weight_ages, self.core_calm_ms = WeightAges(), lambda: 0
        self.next_member_serial, self.replication_failed_s = None, None
        self.last_write_s = None
        agreement.watchers.append(self.on_view)
        agreement.fault_checks.append(self.own_fault_text)
        for kind, handler in (
            (Write, self.on_write),
            (ReplicateAsk, self.on_replicate),
            (CopyAsk, self.transfer.on_copy_ask),
            (LogAsk, self.transfer.on_log_ask),
            (CommitAsk, self.on_commit_ask),
        ):
            mesh.register(kind, handler)
        self.queries = TailQueries(self)

    async def start(self):
        """Load the log and start replicating entries to the next member."""
        self.loop = asyncio.get_running_loop()
        self.leases.start()
        self.owner, self.wake_replication = CommandQueue(), asyncio.Event()
        self._load()
        if self.fault is None and not await self._sync():
            self.needs_copy = True
        self.on_view(self.agreement.decided)
        self.task = asyncio.ensure_future(self._replicate_loop())

    def _load(self):
        """Load the log.

        The first record is synced before this core knows any view. So an empty log of a core that knows a view is a lost file.
        """
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
            self._apply_record(record)
        is_known = self.agreement.decided.number > 0
        self.must_compare = is_known
        if not records and not is_known:
            self.unwritten.append(log_records.Begin())
        elif not records and self.agreement.position() >= 0:
            self.fault, self.needs_copy = CORRUPT_RECORD.with_reason("chain.log is missing"), True

    def _apply_record(self, record):
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
        """Return the fault for which this member should leave the chain, or an empty string."""
        if self.journal.stall_ms() > 1000:
            return f"{DISK_STALLED.code} {DISK_STALLED.name}"
        return f"{self.fault.code} {self.fault.reason}" if self.fault is not None else ""

    def on_view(self, view):
        """Reset the replication state for a new view."""
        self.next_member_serial, self.replication_failed_s = None, None
        if self.agreement.position() >= 0:
            self.transfer.has_tail_copy = False
            if view.number == self.complete_in and self.is_partial:
                self.owner.send(self._complete_join, view.number)
        if len(view.members) < 2:
            self.must_compare = False
        self._serve_if_complete()
        self.wake_replication.set()

    def _serve_if_complete(self):
        if self.agreement.position() == 0 and not (self.must_compare or self.lacks_entries()):
            self._mark_caught_up()

    def _mark_caught_up(self):
        view = self.agreement.decided.number
        if self.caught_up_view != view:
            stays_tail = self.is_last() and self.tail_view == self.caught_up_view == view - 1 > 0
            self.caught_up_view = view
            if not stays_tail:
                self.leases.begin(max(self.loop.time(), self.agreement.wait_until_s))
            self._record_durable_version()
            self.tail_view = view if self.is_last() else 0

    def _record_durable_version(self):
        """On the tail, record when the newest version and its models' weights were first on its disk."""
        if self.is_last():
            document = self.durable.config.document
            self.weight_ages.note(document.models, self.loop.time())
            self.leases.record_version(self.durable.version, shared_cache_generation(document))

    def lacks_entries(self):
        """Return whether this member may lack committed entries; a view of such members only would lose them.

        A joining core copies the state while changes go on, and has all entries once it has caught up as a member.
        """
        return self.is_partial or self.needs_copy

    async def _persist_complete(self):
        """Sync a record that this member has caught up, before it acts on that; return whether the disk took it."""
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
        """Sync a record that the next view makes the copy here complete, where the current view is too small.

        A view that is too small acknowledges nothing beyond the log of its caught-up tail, and whatever the next view
        acknowledges passes through all its members. Any later view may have acknowledged entries without this core, so the
        record names just that one. Returns False after a disk fault.
        """
        return await self.owner.send(self._persist_expected_join, view)

    async def _persist_expected_join(self, view):
        number = view.number + 1
        if self._tolerates_losses(view) or self.complete_in == number:
            return True
        try:
            self.journal.append(log_records.CompleteIn(number))
            await self.journal.sync()
        except OSError as error:
            self._fail(error)
            return False
        self.complete_in = number
        return True

    async def _complete_join(self, number):
        """Act on the record of `expect_join`, unless that copy has been replaced by another one."""
        if self.complete_in == number and await self._persist_complete():
            self._serve_if_complete()

    def is_first(self):
        return self.agreement.position() == 0

    def is_last(self):
        members = self.agreement.decided.members
        return bool(members) and self.agreement.position() == len(members) - 1

    def is_whole(self):
        """Return whether this member has all that the members before it had at the start of the view."""
        return self.caught_up_view == self.agreement.decided.number > 0 and not self.needs_copy

    def may_tell(self):
        """Return whether this is the tail and may answer queries for the chain now."""
        return self.is_last() and self.is_whole() and self.agreement.may_serve()

    def _apply(self, serial, body):
        self.state.apply(msgspec.msgpack.decode(body))
        if not self.state.is_consistent:
            self.fault, self.needs_copy = (
                CORRUPT_RECORD.with_reason("a change gave another configuration here"),
                True,
            )
        self.serial = serial
        self.entries[serial] = body
        while len(self.entries) > MAX_KEPT_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def _tolerates_losses(self, view):
        return len(view.members) > self.losses_borne

    def has_copies(self):
        """Return whether the view has more members than may be lost; otherwise nothing is acknowledged."""
        return self._tolerates_losses(self.agreement.decided)

    def awaits_last_sync(self):
        """Return whether a member of a view that takes no changes still has to sync older entries.

        Until then it neither replicates nor serves its log: a core that joins such a view counts as complete
        with the log of its tail, so nothing may be added to that log afterwards.
        """
        return not self.has_copies() and self.serial > self.synced

    def _may_write(self):
        """Return whether this is the head and may take changes now."""
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
        result = self.loop.create_future()
        self.incoming.append((change, result))
        self.owner.send(self._process_incoming)
        outcome = await result
        return await self._confirm_refusal(outcome) if isinstance(outcome, Refusal) else outcome

    async def _process_incoming(self):
        pending, self.incoming = self.incoming, []
        if not pending:
            return
        view, accepted = self.agreement.decided.number, []
        for change, result in pending:
            may_take = self._may_write() and self.has_copies()
            outcome = self._process_change(change) if may_take else NOT_HEAD
            if is_fault(outcome):
                self._resolve(result, outcome)
            else:
                accepted.append((result, outcome or WriteReturn(serial=self.serial, view=view)))
        if await self._sync():
            for result, outcome in accepted:
                self._resolve(result, outcome)
            self.wake_replication.set()
            if self.is_last():
                self._record_durable_version()
                self.notify_commit_waiters()
        else:
            for result, _ in accepted:
                self._resolve(result, STALE_VIEW.with_reason("synced nowhere"))

    async def _confirm_refusal(self, refusal):
        """Return the fault of a refusal once the entries that it depends on are committed, else NOT_HEAD.

        Before that, another head may lack those entries and accept the change.
        """
        is_same = self.agreement.decided.number == refusal.view
        if is_same and await self.is_committed(refusal.serial):
            return refusal.fault
        self.telemetry.count["refusalsWithheld"] += 1
        return NOT_HEAD.with_reason("what speaks against the change is not committed")

    async def is_committed(self, serial):
        """Return whether the tail has this head's entries up to a serial; then every member and later view has them."""
        view = self.agreement.decided
        if self.committed_in == view.number and self.committed >= serial:
            return True
        ask = CommitAsk(view=view.number, serial=serial, wait_ms=COMMIT_WAIT_MS)
        if self.is_last():
            response = await self.on_commit_ask(ask, "")
        else:
            response = await self.mesh.request(view.members[-1].addr, ask, COMMIT_ASK_MS)
        if is_fault(response):
            return False
        if view is self.agreement.decided:
            known_serial = self.committed if self.committed_in == view.number else 0
            self.committed_in, self.committed = view.number, max(known_serial, response.count)
        return True

    async def on_commit_ask(self, ask, sender):
        """Return the last synced serial once it reaches the requested one; both sides must be in the same view."""
        end_s = self.loop.time() + min(ask.wait_ms, 30000) / 1000
        while True:
            is_tail_of_view = ask.view == self.agreement.decided.number and self.is_last()
            if not is_tail_of_view or not self.is_whole() or not self.has_copies():
                return NOT_TAIL
            if self.synced >= ask.serial:
                return Done(count=self.synced)
            if self.loop.time() >= end_s:
                return UNKNOWN_CHANGE.with_reason(f"entry {ask.serial} is not here yet")
            await self.await_commit(end_s)

    async def known_committed(self):
        """Return the newest configuration of this head known to be committed, after asking the tail about a newer one."""
        config, serial = self.state.config, self.serial
        is_newer = config is not self.committed_config
        if is_newer and self.is_whole() and await self.is_committed(serial):
            self.committed_config = config
        return self.committed_config

    @staticmethod
    def _resolve(result, outcome):
        if not result.done():
            result.set_result(outcome)

    def _process_change(self, change):
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
        """Apply an entry and queue it; the next `_sync` writes all queued entries."""
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
        """Append all queued records in a single write.

        Of several writes, a power loss may keep a later one without an earlier one, and the log would
        read as damaged although nothing that was synced is lost.
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
        """After a disk fault, try to rewrite the log with the whole state."""
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
        """Read the log back and rewrite it from memory if it is damaged."""
        await self.owner.send(self._sweep)

    async def _replicate_loop(self):
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake_replication.wait(), 0.25)
            self.wake_replication.clear()
            while await self._replicate_batch():
                pass

    def has_unreplicated(self):
        """Return whether this head has taken a change that the next member does not have yet."""
        is_replicated = (
            self.next_member_serial is not None and self.next_member_serial >= self.serial
        )
        return self.is_first() and (bool(self.incoming) or not is_replicated)

    def last_replicable_serial(self):
        """Return the serial of the last entry that may be replicated: the last one that survives a power loss here."""
        return self.synced

    async def _replicate_batch(self):
        view, position = self.agreement.decided, self.agreement.position()
        is_comparing = position == 0 and self.must_compare and not self.needs_copy
        if (
            position < 0
            or position + 1 >= len(view.members)
            or not (self.is_whole() or is_comparing)
            or self.awaits_last_sync()
            or self.fault is not None
        ):
            return False
        last_serial = self.last_replicable_serial()
        start_serial = last_serial if self.next_member_serial is None else self.next_member_serial
        entries, size = [], 0
        for serial in range(start_serial + 1, last_serial + 1):
            if (
                serial not in self.entries
                or len(entries) >= MAX_BATCH_ENTRIES
                or size > MAX_BATCH_BYTES
            ):
                break
            entries.append(ChainEntry(serial=serial, body=self.entries[serial]))
            size += len(self.entries[serial])
        next_addr = view.members[position + 1].addr
        ask = ReplicateAsk(
            view=view.number,
            entries=entries,
            last=last_serial,
            must_copy=start_serial < last_serial and not entries,
        )
        response = await self.mesh.request(next_addr, ask, 1500)
        if view is not self.agreement.decided:
            return True
        if is_fault(response):
            self.replication_failed_s = self.replication_failed_s or self.loop.time()
            return False
        self.replication_failed_s, previous_serial, self.next_member_serial = (
            None,
            self.next_member_serial,
            response.last,
        )
        if response.last > max(last_serial, self.synced):
            return not is_fault(
                await self.owner.send(self._copy_state_from, next_addr, self.synced)
            )
        if is_comparing:
            await self._finish_comparing(view)
        return response.last < self.synced and response.last != previous_serial

    async def _finish_comparing(self, view):
        """Start serving as head: the next member has nothing more, so this one has all that the chain had before the view."""
        if await self.owner.send(self._persist_complete) and view is self.agreement.decided:
            self.must_compare = False
            self._mark_caught_up()

    async def on_replicate(self, ask, sender):
        return await self.owner.send(self._handle_replicate, ask, sender)

    async def _handle_replicate(self, ask, sender):
        view, position = self.agreement.decided, self.agreement.position()
        if ask.view != view.number or position < 1 or view.members[position - 1].addr != sender:
            return STALE_VIEW.with_reason(f"pass in view {ask.view}, here {view.number}")
        is_behind = ask.must_copy or (ask.entries and ask.entries[0].serial > self.serial + 1)
        has_copied = self.needs_copy or is_behind and self.serial < ask.last
        if has_copied:
            copied = await self._copy_state_from(sender)
            if is_fault(copied):
                return copied
        fault = await self.append_new_entries(ask.entries)
        if is_fault(fault):
            return fault
        is_level = self.serial == ask.last or has_copied and self.serial > ask.last
        if is_level and not await self._persist_complete():
            return self.fault
        if ask.view != self.agreement.decided.number:
            return STALE_VIEW
        if self.fault is not None:
            return self.fault
        if is_level:
            self.must_compare = False
            self._mark_caught_up()
        if self.is_whole():
            self._record_durable_version()
        self.wake_replication.set()
        self.notify_commit_waiters()
        return ReplicateReturn(last=self.serial)

    async def append_new_entries(self, entries):
        """Append and sync the entries that are new here; return a fault or None."""
        new_entries = [entry for entry in entries if entry.serial > self.serial]
        for entry in new_entries:
            if entry.serial != self.serial + 1:
                return MISSING_ENTRIES.with_reason(f"{entry.serial} after {self.serial}")
            self._append(entry.serial, entry.body)
        return self.fault if new_entries and not await self._sync() else None

    def notify_commit_waiters(self):
        """Wake the tasks that wait for a commit, and tell routers about a newer version."""
        waiters, self.commit_waiters = self.commit_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        if self.is_last():
            version = self.durable.version
            for addr in self.leases.take_unaware_addrs(version):
                self.mesh.send(addr, ConfigChanged(version=version))

    async def _copy_state_from(self, addr, above=-1):
        return await self.transfer.copy_state(addr, above)

    async def replace_state(self, state, serial, data):
        """Replace the state by a copied one, on disk first; return a disk fault or None."""
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
        """Catch up with the tail of a view, at an address, before joining; return a fault or None."""
        return await self.owner.send(self.transfer.catch_up, addr, view)

    def is_synced(self, serial):
        """Return whether all entries up to a serial are synced to disk here."""
        return self.synced >= serial

    async def await_commit(self, end_s):
        """Wait until something was committed or confirmed, for at most 100 ms and not past `end_s`."""
        waiter = self.loop.create_future()
        self.commit_waiters.append(waiter)
        await asyncio.wait([waiter], timeout=min(0.1, max(0.001, end_s - self.loop.time())))
