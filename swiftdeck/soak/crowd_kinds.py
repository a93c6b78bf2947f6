"""The kinds of crowds that a soak lets come to the machines of its site."""

import enum
from collections.abc import Callable

import attrs

from swiftdeck.bench.platform_api.operator import CONFIG
from swiftdeck.bench.platform_api.site_forms import READY_PATH
from swiftdeck.soak import payloads
from swiftdeck.soak.crowd import Crowd, CrowdSize, Payload
from swiftdeck.wire.mesh import HEAD
from swiftdeck.wire.messages import NUMBERS, ConfigAsk, MemberList, OutcomeAsk

BODY_BYTES, REQUESTS_AHEAD = 4 << 20, 20000
ROUNDS = 1000
"""Members of a crowd open a connection again as often as it is closed while the crowd stays."""
PUBLIC_PATH, CHANGES_PATH = "/public/1", "/v1/changes"
OUTCOME_ASK_BYTES, OUTCOME_WAIT_MS = 3000, 30000


class Door(enum.Enum):
    """An address of a machine to which strangers can connect; its value names the property."""

    HTTP = "http"
    OPERATIONS = "operations"
    NODES = "inner"


@attrs.frozen
class CrowdKind:
    """What the members of a crowd send, where, and how many they are."""

    door: Door
    payload: Payload
    connections: int = 24
    reads: bool = True

    def crowd(self, machine) -> Crowd:
        """Return a crowd of this kind at a machine."""
        size = CrowdSize(self.connections, ROUNDS)
        return Crowd(getattr(machine, self.door.value), self.payload, size, self.reads)


def _request(path: str, method: str = "GET", *lines: str) -> Callable:
    request = payloads.request_head(path, *lines, method=method)
    return lambda: payloads.requests_ahead(request, REQUESTS_AHEAD)


def _frames(message, count: int) -> Callable:
    head = HEAD.pack(NUMBERS[type(message)], 1, False, 0)
    return lambda: payloads.frames(head + bytes(message), count)


NODE_KINDS = {
    "partial-frames": CrowdKind(
        Door.NODES, lambda: payloads.frame_short_of_its_end(8 << 20, BODY_BYTES)
    ),
    "silent-links": CrowdKind(Door.NODES, payloads.nothing, 200),
    "unread-members": CrowdKind(Door.NODES, _frames(MemberList(), 2000), reads=False),
    "unread-configurations": CrowdKind(Door.NODES, _frames(ConfigAsk(), 200), reads=False),
    "long-waits": CrowdKind(
        Door.NODES,
        _frames(OutcomeAsk(change_id="x" * OUTCOME_ASK_BYTES, wait_ms=OUTCOME_WAIT_MS), 500),
    ),
}
KINDS_BY_ROLE = {
    "router": NODE_KINDS
    | {
        "whole-bodies": CrowdKind(Door.HTTP, lambda: payloads.whole_body(PUBLIC_PATH, BODY_BYTES)),
        "unfinished-bodies": CrowdKind(
            Door.HTTP, lambda: payloads.body_short_of_its_end(PUBLIC_PATH, BODY_BYTES)
        ),
        "unfinished-chunks": CrowdKind(
            Door.HTTP, lambda: payloads.chunked_body_without_end(PUBLIC_PATH, BODY_BYTES, 5000)
        ),
        "tiny-chunks": CrowdKind(
            Door.HTTP, lambda: payloads.chunked_body_without_end(PUBLIC_PATH, BODY_BYTES, 2), 8
        ),
        "announced-bodies": CrowdKind(Door.HTTP, lambda: payloads.endless_body(PUBLIC_PATH)),
        "endless-chunks": CrowdKind(Door.HTTP, lambda: payloads.endless_chunks(PUBLIC_PATH)),
        "endless-trailers": CrowdKind(Door.HTTP, lambda: payloads.endless_trailers(PUBLIC_PATH)),
        "requests-ahead": CrowdKind(Door.HTTP, _request(PUBLIC_PATH), reads=False),
        "heads-ahead": CrowdKind(Door.HTTP, _request(PUBLIC_PATH, "HEAD"), reads=False),
        "silent-connections": CrowdKind(Door.HTTP, payloads.nothing, 200),
        "partial-heads": CrowdKind(Door.HTTP, payloads.partial_head, 200),
        "readiness-ahead": CrowdKind(Door.OPERATIONS, _request(READY_PATH, "HEAD"), reads=False),
    },
    "core": NODE_KINDS
    | {
        "unfinished-changes": CrowdKind(
            Door.HTTP,
            lambda: payloads.body_short_of_its_end(CONFIG, BODY_BYTES, method="PUT"),
        ),
        "unfinished-lines": CrowdKind(
            Door.HTTP, lambda: payloads.chunked_body_without_end(CHANGES_PATH, BODY_BYTES, 5000)
        ),
        "reads-ahead": CrowdKind(Door.HTTP, _request(CONFIG), reads=False),
        "silent-operators": CrowdKind(Door.HTTP, payloads.nothing, 200),
    },
}
