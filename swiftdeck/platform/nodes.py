"""The nodes of the platform's programs: one for edge machines, one for cores."""

import asyncio
import os
import random
import sys

from swiftdeck.fault import is_fault
from swiftdeck.platform.settings import SettingsWatch, read_place
from swiftdeck.programs.loop import make_log, run_until_signal
from swiftdeck.runtime.ticks import next_tick

READY = "/swiftdeck/ready"
LOOK_S, COUNTERS_S = 1.0, 10.0


def ready_handler(node):
    """Answers whether new connections should come here; the rest goes to the node's own door."""

    async def handle(exchange):
        if exchange.path != READY:
            return await node.operate(exchange)
        return await exchange.send_response(200 if node.is_ready() else 503, [], b"")

    return handle


async def _look_for_seeds(role, node, log):
    """The settings file may change without a signal."""
    watch = SettingsWatch()
    _seeds_again(role, node, log)
    while True:
        await next_tick(LOOK_S)
        if watch.has_changed():
            _seeds_again(role, node, log)


def _seeds_again(role, node, log):
    place = read_place(role)
    if is_fault(place):
        node.telemetry.set_fact("settings", place.reason)
    elif place.settings.seeds != node.membership.seeds:
        node.membership.set_seeds(place.settings.seeds)
        log.info("seeds exchanged", seeds=place.settings.seeds)


async def _count_aloud(node, log):
    """A line of counters now and then."""
    while True:
        await asyncio.sleep(COUNTERS_S)
        log.info("counters", **node.counters())


def _run(role, place, make):
    log, box = make_log(place.settings.name, os.environ.get("SWIFTDECK_LOG", "info")), []

    async def start():
        box.append(make(place, log))
        fault = await box[0].start()
        box.append(asyncio.ensure_future(_look_for_seeds(role, box[0], log)))
        box.append(asyncio.ensure_future(_count_aloud(box[0], log)))
        return fault

    return run_until_signal(start, lambda: box[0].stop(), lambda: _seeds_again(role, box[0], log))


def _seeded():
    """Random numbers that cost no system call each, from a seed that nobody can guess."""
    return random.Random(random.SystemRandom().getrandbits(128))


def router(place, log):
    """The process of an edge machine."""
    from swiftdeck.gateway.gateway import Gateway
    from swiftdeck.platform.caches import PlatformCaches
    from swiftdeck.platform.header_codec import ClientHeaderCodec, WorkerHeaderCodec
    from swiftdeck.platform.lists import PlatformList

    node = Gateway(
        place.settings,
        (ClientHeaderCodec(), WorkerHeaderCodec(), PlatformList(place.list_addr), PlatformCaches()),
        _seeded(),
        log,
    )
    if node.ops:
        node.ops.handler = ready_handler(node)
    return node


def core(place, log):
    """The process of a core machine."""
    from swiftdeck.disk.folder import DataFolder
    from swiftdeck.gateway.swap import SwapCore
    from swiftdeck.platform.lists import PlatformList
    from swiftdeck.platform.operator_api import OperatorApi
    from swiftdeck.platform.orders import PlatformOrders

    node = SwapCore(
        place.settings,
        DataFolder(place.settings.dataFolder),
        _seeded(),
        log,
        PlatformList(place.list_addr),
        PlatformOrders(),
    )
    node.http.handler = OperatorApi(node).handle
    return node


MAKERS = {"router": router, "core": core}


def run_role(makers) -> int:
    """Run the role that is the first word; its node is made by the maker of that role."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in makers:
        print("fault 600 setting is invalid: say router or core", file=sys.stderr)
        return 2
    place = read_place(role)
    if is_fault(place):
        print(f"fault {place.code} {place.name}: {place.reason}", file=sys.stderr)
        return 2
    return _run(role, place, makers[role])
