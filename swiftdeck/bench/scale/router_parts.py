"""What a router or a tail does for a message or tick, by the number of routers and workers."""

import asyncio
import random

import msgspec

from swiftdeck.bench.scale.hollow import hollow_router
from swiftdeck.bench.scale.message_parts import frame
from swiftdeck.bench.scale.samples import (
    FIRST_WORKER,
    PROMPT,
    SERVICE,
    drained,
    long_request,
    short_request,
    workers_listed,
)
from swiftdeck.bench.scale.timing import timed_row
from swiftdeck.board.board import Board
from swiftdeck.chain.chain import Chain, Durable, Holder
from swiftdeck.config.configuration import Configuration
from swiftdeck.gateway.health import Judge
from swiftdeck.gateway.interfaces import Listed
from swiftdeck.gateway.listing import digest_of
from swiftdeck.gateway.placing import Placing
from swiftdeck.wire.messages import LeaseAsk, ListNews, MemberList, View

ROUTER_COUNTS = (25, 100, 400, 1600)
WORKER_COUNTS = (75, 571, 1000, 12000)
FLEETS = ((25, 188), (100, 750), (400, 3000), (1600, 12000))
VERSION = 7


def parts_by_routers():
    """Rows for each number of routers."""
    for count in ROUTER_COUNTS:
        node = hollow_router(count, 12)
        yield _member_list_row(node, count)
        yield from _owner_rows(node, count)
        node.mesh.cast = lambda addr, message, mesh=node.mesh: mesh._envelope(message)
        yield _load_row(node, count)
        yield timed_row("lease at the tail", _leases(count), 50, routers=count)


def _member_list_row(node, count):
    whole = MemberList(members=[node.me, *node.membership.alive()])

    def exchange():
        return bytes(node.membership.on_member_list(MemberList().parse(bytes(whole)), ""))

    size, times = len(bytes(whole)), max(1, 400 // count)
    return timed_row("roster exchange, one side", exchange, times, routers=count, bytes=size)


def _owner_rows(node, count):
    admission = node.admission
    routers = admission.routers()

    def ring_anew():
        admission.owners.routers = []
        return admission.owner(FIRST_WORKER)

    look = "owner of a worker's book, a look"
    yield timed_row(look, lambda: admission.owner(FIRST_WORKER), 20, routers=count)
    given = "owner of a worker's book, routers given"
    yield timed_row(given, lambda: admission.owners.of(FIRST_WORKER, routers), 200, routers=count)
    yield timed_row("ring of owners anew", ring_anew, 1, routers=count)


def _load_row(node, count):
    def tell():
        return node.admission.tell_load(FIRST_WORKER, 900, 1)

    return timed_row("load told to all", tell, 2, routers=count)


def _leases(count):
    """The tail's answer to a router that renews its lease, with the leases of all others held."""
    chain = object.__new__(Chain)
    chain.loop, chain.lease_ms, chain.board = asyncio.get_running_loop(), 4000, Board()
    chain.may_tell = chain.isLast = lambda: True
    chain.durable = Durable(VERSION, Configuration.empty())
    chain.agreement = type("Agreement", (), {"decided": View(number=1)})()
    chain.committers, until_s = [], chain.loop.time() + 1e6
    chain.holders = {
        f"router{at}/1": Holder(f"10.2.0.{at}:7000", until_s, VERSION) for at in range(count)
    }
    digest = chain.durable.config.digest()
    ask = LeaseAsk(router="router1/1", addr="10.2.0.1:7000", held=VERSION, digest=digest)
    data = bytes(ask)
    return lambda: bytes(chain.on_lease_ask(LeaseAsk().parse(data), ""))


def parts_by_workers():
    """Rows for each number of workers that a router knows, and for fleets of both."""
    for count in WORKER_COUNTS:
        node = hollow_router(25, count)
        yield _list_row(node, count)
        yield from _placing_rows(node, count)
    for routers, workers in FLEETS:
        yield from _tick_rows(hollow_router(routers, workers), routers, workers)


def _list_with_drained(count, at):
    workers = workers_listed(count)
    workers[at] = drained(workers[at])
    return msgspec.json.encode(workers)


def _by_name(body):
    return {each.name: each for each in msgspec.json.decode(body, type=list[Listed])}


def _list_row(node, count):
    lists = [_list_with_drained(count, at) for at in (0, 1)]
    digests = [digest_of(_by_name(body)) for body in lists]
    frames = [
        frame(ListNews(digest=digest, body=body))
        for digest, body in zip(digests, lists, strict=True)
    ]

    def take():
        node.listing.read_s = -1e9
        frames.reverse()
        node.mesh.take(frames[0], None)

    part = "list with one worker changed, taken"
    return timed_row(part, take, 2, workers=count, bytes=len(lists[0]))


def _placing_rows(node, count):
    judge = Judge(node.worker_registry, Board())
    placing = Placing("zone1", judge, node.kept, random.Random(1))
    for name in list(node.worker_registry.workers)[:3]:
        node.kept.keep(name, "1", *PROMPT[0])
    workers = node.worker_registry.serving(SERVICE)
    salts = dict.fromkeys(node.worker_registry.workers, "1")
    for part, request in (
        ("a short request placed", short_request()),
        ("a long request placed", long_request()),
    ):

        def place(request=request):
            return placing.order(request, workers, salts, workers)

        yield timed_row(part, place, 2, workers=count)


def _tick_rows(node, routers, workers):
    names, admission, me = node.worker_registry.workers, node.admission, node.me.addr

    def mind_followers():
        return [each for each in names.values() if admission.owner(each.name) == me]

    def tick_books():
        known = admission.routers()
        return {name for name in names if admission.owners.of(name, known) == me}

    size = {"routers": routers, "workers": workers}
    yield timed_row("followers minded, every 500 ms", mind_followers, 1, 3, **size)
    yield timed_row("books ticked, every 250 ms", tick_books, 1, 3, **size)
