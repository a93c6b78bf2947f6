"""Invariants of the cores that must hold at every event point of a run."""

from enum import Enum

import attrs
import msgspec

from swiftdeck.chain.agreement import ids
from swiftdeck.disk.journal import Journal
from swiftdeck.fault import is_fault
from swiftdeck.sim.folder import SimFolder
from swiftdeck.wire.messages import View

AGREEMENT_LOG, CHAIN_LOG = "agreement.log", "chain.log"


class Invariant(Enum):
    """Invariants that a run is checked against."""

    ONE_VIEW = "two views under one number"
    COPIES = "an acknowledged entry on too few disks"
    ONLY_RISES = "a promise or a view number fell on a disk"
    ONE_SERVES = "cores serve under two views"
    RECOVERS = "the cores do not come back"
    NO_CRASH = "a process ended with an error"


@attrs.frozen
class Breach:
    """A broken invariant, with details."""

    invariant: Invariant
    detail: str


@attrs.frozen(order=True)
class Promised:
    """What a voter's disk commits it to: the view it knows and the ballot promised for the next."""

    view: int = 0
    ballot: int = 0


def read_promised(folder) -> Promised:
    """Return the promises of a voter that would survive a loss of power."""
    copy = SimFolder()
    copy.written = {AGREEMENT_LOG: bytearray(folder.synced.get(AGREEMENT_LOG, b""))}
    records = Journal(copy, AGREEMENT_LOG).load()
    view = ballot = 0
    for record in [] if is_fault(records) else records:
        if record["k"] == "decided":
            view, ballot = View().parse(record["view"]).number, 0
        elif record["k"] in ("promise", "accept"):
            ballot = max(ballot, record["ballot"])
    return Promised(view, ballot)


class Invariants:
    """Checks the cores of one run and collects breaches, each once."""

    def __init__(self, cluster):
        self.cluster, self.breaches = cluster, []
        self.views, self.promised = {}, {}

    def record_breach(self, invariant, detail):
        """Record a breach."""
        breach = Breach(invariant, detail)
        if breach not in self.breaches:
            self.breaches.append(breach)

    def check(self):
        """Check the views of all running cores."""
        cores = self.cluster.running()
        self._check_views(cores)
        self._check_serving(cores)

    def _check_views(self, cores):
        for core in cores.values():
            view = core.agreement.decided
            data = bytes(view)
            if view.number and self.views.setdefault(view.number, data) != data:
                self.record_breach(Invariant.ONE_VIEW, f"view {view.number}")

    def _check_serving(self, cores):
        serving = {name: core for name, core in cores.items() if core.agreement.may_serve()}
        numbers = {core.agreement.decided.number for core in serving.values()}
        if len(numbers) < 2:
            return
        newest = max(serving.values(), key=lambda core: core.agreement.decided.number)
        members = ids(newest.agreement.decided.members)
        for name, core in serving.items():
            if core.agreement.core_id not in members:
                self.record_breach(
                    Invariant.ONE_SERVES, f"{name}, which the newest view has left out"
                )
        for role, holds in (("tail", lambda core: core.chain.may_tell()), ("head", self._is_head)):
            holders = [name for name, core in serving.items() if holds(core)]
            if len(holders) > 1:
                self.record_breach(Invariant.ONE_SERVES, f"{role}s {sorted(holders)}")

    @staticmethod
    def _is_head(core):
        return core.chain.is_first() and core.chain.is_whole()

    def on_synced(self, folder, name):
        """Check that a core's promises and view number don't fall; called after each sync."""
        if name != AGREEMENT_LOG:
            return
        current, previous = read_promised(folder), self.promised.get(folder.owner, Promised())
        if current < previous:
            self.record_breach(Invariant.ONLY_RISES, f"{folder.owner}: {previous} then {current}")
        self.promised[folder.owner] = current

    def on_promise(self, owner, promise):
        """Check that a voter's disk has the promise it sends.

        A voter that is past the view of the ballot is bound by the view, and isn't checked.
        """
        core = self.cluster.running().get(owner)
        if core is None or not promise.granted or core.agreement.slot.promised != promise.ballot:
            return
        if read_promised(self.cluster.folders[owner]).ballot < promise.ballot:
            self.record_breach(Invariant.ONLY_RISES, f"{owner} promised before its disk had it")

    def forget_promises(self, owner):
        """Forget the promises of a core whose disk was wiped."""
        self.promised.pop(owner, None)

    def on_acknowledged(self, change_id, losses_since):
        """Check that an acknowledged change is on enough disks.

        `losses_since` is the number of disks lost since the change was first sent.
        """
        holders, view = self._holders(change_id), self.newest_view()
        members = [core_id for core_id in ids(view.members) if core_id in holders]
        voters = [core_id for core_id in ids(view.voters) if core_id in holders]
        required = self.cluster.losses_borne + 1 - losses_since
        if len(members) < required and len(voters) * 2 <= len(view.voters):
            detail = f"{len(members)} of {len(view.members)} members, {len(voters)} voters"
            self.record_breach(Invariant.COPIES, f"{change_id[:12]} on the disks of {detail}")

    def on_settled(self, change_ids):
        """Check that each member of a settled cluster has all acknowledged changes on disk."""
        members = set(ids(self.newest_view().members))
        for change_id in change_ids:
            missing = members - self._holders(change_id)
            if missing:
                self.record_breach(
                    Invariant.COPIES, f"{change_id[:12]}: not at {len(missing)} members"
                )

    def newest_view(self):
        """Return the view with the highest number that a running core knows."""
        cores = self.cluster.running().values()
        views = [core.agreement.decided for core in cores]
        return max(views, key=lambda view: view.number, default=View())

    def _holders(self, change_id):
        """Return the identities of the cores whose disk has a change."""
        holders = set()
        for folder in self.cluster.folders.values():
            if change_id.encode() in folder.synced.get(CHAIN_LOG, b""):
                holders.add(_read_core_id(folder))
        return holders


def _read_core_id(folder):
    copy = SimFolder()
    copy.written = {AGREEMENT_LOG: bytearray(folder.synced.get(AGREEMENT_LOG, b""))}
    records = Journal(copy, AGREEMENT_LOG).load()
    core_ids = (
        [] if is_fault(records) else [record["id"] for record in records if record["k"] == "me"]
    )
    return core_ids[-1] if core_ids else ""


def fingerprint(cluster, label) -> bytes:
    """Encode the state of a run: what the cores know, hold and may do, and the next event."""
    state = [label, sorted(cluster.net.cuts), cluster.progress()]
    for name, core in sorted(cluster.running().items()):
        agreement, chain = core.agreement, core.chain
        state.append(
            [
                name,
                agreement.decided.number,
                agreement.position(),
                agreement.slot.promised >> 32,
                agreement.slot.accepted_ballot >> 32,
                agreement.may_serve(),
                chain.serial,
                chain.synced,
                chain.is_whole(),
                chain.needs_copy,
                chain.must_compare,
                chain.is_partial,
                chain.complete_in,
                len(chain.incoming),
                len(chain.leases.holders),
            ]
        )
    return msgspec.msgpack.encode(state)
