"""Event points of a run: control messages as they are sent, disk syncs as they begin and end."""

from swiftdeck.sim.folder import SimFolder
from swiftdeck.sim.model.schedule import NETWORK_FAULTS
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
WATCHED_MESSAGES = frozenset(
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
    """Counts the event points of a run and applies the actions scheduled at them.

    Network faults are applied at once, before the message of their point is sent; all others right
    after the event to which the point belongs. Points count only while `is_recording`.
    """

    def __init__(self, strikes, apply):
        self.strikes, self.apply = {}, apply
        for strike in strikes:
            self.strikes.setdefault(strike.point, []).append(strike.action)
        self.labels, self.due, self.is_recording, self.watchers = [], [], False, []
        self.on_promise = lambda owner, promise: None

    def on_event(self, label: str):
        """Record an event point and apply or queue its actions."""
        if not self.is_recording:
            return
        number = len(self.labels)
        self.labels.append(label)
        for watch in self.watchers:
            watch(number, label)
        for action in self.strikes.get(number, ()):
            if action.kind in NETWORK_FAULTS:
                self.apply(action)
            else:
                self.due.append(action)

    def apply_due(self):
        """Apply the queued actions."""
        due, self.due = self.due, []
        for action in due:
            self.apply(action)


def message_type(data: bytes):
    """Return the type of the first message in `data`, or None if it is unknown or incomplete."""
    if len(data) < LENGTH_BYTES + HEAD.size:
        return None
    return KINDS.get(HEAD.unpack_from(data, LENGTH_BYTES)[0])


def parse_message(data: bytes):
    """Parse the first message in `data`."""
    end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big")
    number, _, _, sender_length = HEAD.unpack_from(data, LENGTH_BYTES)
    return KINDS[number]().parse(data[LENGTH_BYTES + HEAD.size + sender_length : end])


class PointNet(SimNet):
    """A network that reports control messages as event points and can delay single ones.

    Attributes:
        late_s: the delay in seconds of the next control message of a machine, by IP.
        deliver: called with the receiving transport, the IP and the frame of a late message.
    """

    def __init__(self, world, points, inner_port, names):
        super().__init__(world)
        self.points, self.inner_port, self.names = points, inner_port, names
        self.late_s: dict[str, float] = {}
        self.deliver = lambda transport, ip, frame: None

    def send(self, transport, item):
        """Report the event point of a control message, then send the item."""
        ports = (transport.local[1], transport.remote[1])
        if isinstance(item, bytes) and self.inner_port in ports:
            kind = message_type(item)
            if kind in WATCHED_MESSAGES:
                source, target = transport.local[0], transport.remote[0]
                label = f"{self.names[source]}>{self.names[target]} {kind.kind_name}"
                if kind is Promise:
                    self.points.on_promise(self.names[source], parse_message(item))
                self.points.on_event(label)
                late_s = self.late_s.pop(source, None)
                if late_s is not None:
                    self._send_late(transport, item, late_s)
                    return
        super().send(transport, item)

    def _send_late(self, transport, item, late_s):
        target, frame = transport.remote[0], item[LENGTH_BYTES:]
        self.world.call_after(late_s, lambda: self.deliver(transport.peer, target, frame))


class PointFolder(SimFolder):
    """A disk that reports the begin and end of each sync as event points."""

    def __init__(self, points, owner, on_synced):
        super().__init__()
        self.points, self.owner, self.on_synced = points, owner, on_synced

    async def sync(self, name):
        """Sync a file."""
        self.points.on_event(f"{self.owner} syncs {name}")
        await super().sync(name)
        self._on_synced(name)

    async def replace(self, name, data):
        """Replace the contents of a file."""
        self.points.on_event(f"{self.owner} rewrites {name}")
        await super().replace(name, data)
        self._on_synced(name)

    def _on_synced(self, name):
        self.on_synced(self, name)
        self.points.on_event(f"{self.owner} has {name}")


class PointWorld(World):
    """Virtual time with a network that reports event points."""

    def __init__(self, seed, points, inner_port, names):
        super().__init__(seed)
        self.net = PointNet(self, points, inner_port, names)
