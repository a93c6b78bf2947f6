"""The event points of a run: messages of the control side as they are sent, disk syncs as they begin and end, orders."""

from swiftdeck.sim.folder import SimFolder
from swiftdeck.sim.model.schedule import ON_THE_NETWORK
from swiftdeck.sim.net import SimNet
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import HEAD
from swiftdeck.wire.messages import (
    KINDS,
    Accept,
    CopyAsk,
    CopyReturn,
    Decided,
    JoinAsk,
    OutcomeAsk,
    OutcomeReturn,
    Prepare,
    Promise,
    ReplicateAsk,
    ReplicateReturn,
    ViewLeaseAsk,
    ViewLeaseReturn,
    Write,
    WriteReturn,
)

LENGTH_BYTES = 4
WATCHED = frozenset(
    {
        Accept,
        CopyAsk,
        CopyReturn,
        Decided,
        JoinAsk,
        OutcomeAsk,
        OutcomeReturn,
        ReplicateAsk,
        ReplicateReturn,
        Prepare,
        Promise,
        ViewLeaseAsk,
        ViewLeaseReturn,
        Write,
        WriteReturn,
    }
)


class EventPoints:
    """Counts the points of a run and says which actions are due.

    A cut acts before the message of its point is on its way; anything else right after the event that the point belongs to.
    """

    def __init__(self, strikes, apply):
        self.strikes, self.apply = {}, apply
        for each in strikes:
            self.strikes.setdefault(each.point, []).append(each.action)
        self.labels, self.due, self.is_open, self.watchers = [], [], False, []
        self.on_promise = lambda owner, promise: None

    def reached(self, label: str):
        """An event of the run."""
        if not self.is_open:
            return
        number = len(self.labels)
        self.labels.append(label)
        for watch in self.watchers:
            watch(number, label)
        for action in self.strikes.get(number, ()):
            if action.kind in ON_THE_NETWORK:
                self.apply(action)
            else:
                self.due.append(action)

    def strike(self):
        """Apply what is due."""
        due, self.due = self.due, []
        for action in due:
            self.apply(action)


def kind_of(data: bytes):
    """The kind of the first message of some bytes between processes, None where it isn't known."""
    if len(data) < LENGTH_BYTES + HEAD.size:
        return None
    return KINDS.get(HEAD.unpack_from(data, LENGTH_BYTES)[0])


def body_of(data: bytes):
    """The first message of some bytes between processes."""
    end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big")
    number, _, _, sender_length = HEAD.unpack_from(data, LENGTH_BYTES)
    return KINDS[number]().parse(data[LENGTH_BYTES + HEAD.size + sender_length : end])


class PointNet(SimNet):
    """A network that tells of the messages that it takes, and lets single ones come late.

    Attributes:
        late_s: by how much the next message of a machine comes late, by its IP.
        deliver: brings a late frame to a machine; takes the stream's other end, IP and frame.
    """

    def __init__(self, world, points, inner_port, names):
        super().__init__(world)
        self.points, self.inner_port, self.names = points, inner_port, names
        self.late_s: dict[str, float] = {}
        self.deliver = lambda far, ip, frame: None

    def send(self, transport, item):
        """Carry one piece of a stream, after its point."""
        ports = (transport.local[1], transport.remote[1])
        if isinstance(item, bytes) and self.inner_port in ports:
            kind = kind_of(item)
            if kind in WATCHED:
                source, target = transport.local[0], transport.remote[0]
                label = f"{self.names[source]}>{self.names[target]} {kind.kind_name}"
                if kind is Promise:
                    self.points.on_promise(self.names[source], body_of(item))
                self.points.reached(label)
                late_s = self.late_s.pop(source, None)
                if late_s is not None:
                    self._send_late(transport, item, late_s)
                    return
        super().send(transport, item)

    def _send_late(self, transport, item, late_s):
        target, frame = transport.remote[0], item[LENGTH_BYTES:]
        self.world.call_after(late_s, lambda: self.deliver(transport.peer, target, frame))


class PointFolder(SimFolder):
    """A disk that tells when a sync begins and when it is done."""

    def __init__(self, points, owner, watch):
        super().__init__()
        self.points, self.owner, self.watch = points, owner, watch

    async def sync(self, name):
        """Make a file last."""
        self.points.reached(f"{self.owner} syncs {name}")
        await super().sync(name)
        self._lasts(name)

    async def replace(self, name, data):
        """Put new contents in place of a file."""
        self.points.reached(f"{self.owner} rewrites {name}")
        await super().replace(name, data)
        self._lasts(name)

    def _lasts(self, name):
        self.watch(self, name)
        self.points.reached(f"{self.owner} has {name}")


class PointWorld(World):
    """Virtual time with a network that has points."""

    def __init__(self, seed, points, inner_port, names):
        super().__init__(seed)
        self.net = PointNet(self, points, inner_port, names)
