"""What a change of the configuration costs a router, by the number of tenants."""

import msgspec

from swiftdeck.bench.scale.samples import document
from swiftdeck.bench.scale.timing import held_bytes, timed_row
from swiftdeck.config.configuration import Configuration
from swiftdeck.config.document import key_digest
from swiftdeck.gateway.routes import RouteTable

TENANT_COUNTS = (100, 1000, 8000)


def parts_by_tenants():
    """Rows for each number of tenants, each tenant with a path of its own."""
    for count in TENANT_COUNTS:
        yield from _rows(count)


def _compile(config):
    tenants = config.document.tenants
    keys = {key: name for name, tenant in tenants.items() for key in tenant.keys}
    return keys, RouteTable(config.document)


def _rows(count):
    size, config = held_bytes(
        lambda: Configuration.read(msgspec.json.encode(document(count))), count
    )
    table_size, _ = held_bytes(lambda: RouteTable(config.document), count)
    delta = {"tenants": {"tenant1": {"keys": [key_digest("key1")], "urgency": 2}}}
    told = msgspec.msgpack.encode(delta)
    yield timed_row(
        "a change applied",
        lambda: config.apply(msgspec.msgpack.decode(told)),
        10,
        tenants=count,
        bytes=len(told),
    )
    yield timed_row("keys and routes compiled anew", lambda: _compile(config), 3, tenants=count)
    yield timed_row(
        "whole configuration",
        lambda: Configuration.read(config.bytes()),
        1,
        3,
        tenants=count,
        bytes=len(config.bytes()),
        bytesHeldEach=size,
        routesHeldEach=table_size,
    )
    routes = RouteTable(config.document)
    yield timed_row(
        "route and tenant of a request",
        lambda: (routes.find("h.example", "/t1/1"), key_digest("key1")),
        500,
        tenants=count,
    )
