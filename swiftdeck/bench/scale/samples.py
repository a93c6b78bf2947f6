"""Sample data of a size: workers, members, requests and configurations."""

from swiftdeck.config.document import key_digest
from swiftdeck.gateway.interfaces import Listed, Part, Request
from swiftdeck.wire.messages import Member

WORKER_TOKENS = 143_828
PROMPT = (("book", 13_300), ("own", 3_720))
SHORT_PROMPT = (("hello", 92), ("s", 291))
SERVICE = "lm-pool"
SERVICE_SLOTS = 12
FIRST_WORKER = "i-lm-pool-000001"
ZONES = 21


def workers_listed(count):
    """Workers of one service, as the platform's list has them."""
    return [
        Listed(
            f"i-{SERVICE}-{at:06}",
            f"10.{64 + at // 62500}.{at // 250 % 250}.{at % 250 + 1}:8080",
            SERVICE,
            f"zone{at % ZONES}",
            SERVICE_SLOTS,
            False,
            {"m": 1},
        )
        for at in range(count)
    ]


def drained(worker):
    """A worker that the list shows as draining."""
    return Listed(
        worker.name, worker.addr, worker.service, worker.zone, worker.slots, True, worker.weights
    )


def members(count):
    """Routers that a process knows of."""
    return [
        Member(
            addr=f"10.2.{at // 250}.{at % 250 + 1}:7000",
            name=f"router{at}",
            role="router",
            zone=f"zone{at % ZONES}",
            http_addr=f"10.2.{at // 250}.{at % 250 + 1}:8080",
            incarnation=(at + 1) << 32,
        )
        for at in range(count)
    ]


def _service():
    return {
        "models": ["m"],
        "slots": SERVICE_SLOTS,
        "cacheTokens": WORKER_TOKENS,
        "connectionsMost": 550,
    }


def _path(at):
    return {
        "host": "h.example",
        "prefix": f"/t{at}/",
        "services": [{"service": SERVICE, "share": 1.0}],
        "timeoutMs": 6000,
        "tries": 2,
        "streaming": True,
    }


def document(tenants):
    """A configuration with some tenants and a path for each."""
    return {
        "models": {"m": {"weights": "1"}},
        "services": {SERVICE: _service()},
        "tenants": {
            f"tenant{at}": {"keys": [key_digest(f"key{at}")], "urgency": 1} for at in range(tenants)
        },
        "paths": {f"path{at}": _path(at) for at in range(tenants)},
    }


def _request(name, prompt, timeout_ms):
    parts = [Part(*each) for each in prompt]
    return Request(
        name,
        b"POST",
        b"/t1/",
        "h.example",
        "/t1/1",
        [],
        b"{}",
        "key1",
        "m",
        parts,
        sum(part.tokens for part in parts),
        timeout_ms,
    )


def long_request(number=0):
    """A request whose prompt begins with a long shared part."""
    return _request(f"r{number}", PROMPT, 6000.0)


def short_request():
    """A request of few tokens."""
    return _request("s", SHORT_PROMPT, 3000.0)
