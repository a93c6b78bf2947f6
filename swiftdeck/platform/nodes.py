"""Makes and runs the nodes of the platform's programs: routers and cores."""

import asyncio
import os
import random
import sys

from swiftdeck.fault import is_fault
from swiftdeck.platform.settings import SettingsWatch, read_settings
from swiftdeck.programs.loop import make_log, run_until_signal
from swiftdeck.runtime.ticks import next_tick

READY_PATH = "/swiftdeck/ready"
SETTINGS_POLL_S, COUNTERS_LOG_S = 1.0, 10.0


def ready_handler(node):
    """Return a handler that answers readiness checks and leaves other paths to the node."""

    async def handle(exchange):
        if exchange.path != READY_PATH:
            return await node.operate(exchange)
        return await exchange.send_response(200 if node.is_ready() else 503, [], b"")

    return handle


async def _watch_seeds(role, node, log):
    """Reload the seeds whenever the settings file changes, as that may happen without a signal."""
    watch = SettingsWatch()
    _reload_seeds(role, node, log)
    while True:
        await next_tick(SETTINGS_POLL_S)
        if watch.has_changed():
            _reload_seeds(role, node, log)


def _reload_seeds(role, node, log):
    platform_settings = read_settings(role)
    if is_fault(platform_settings):
        node.telemetry.set_fact("settings", platform_settings.reason)
    elif platform_settings.settings.seeds != node.membership.seeds:
        node.membership.set_seeds(platform_settings.settings.seeds)
        log.info("seeds exchanged", seeds=platform_settings.settings.seeds)


async def _log_counters(node, log):
    """Log the counters every `COUNTERS_LOG_S` seconds."""
    while True:
        await asyncio.sleep(COUNTERS_LOG_S)
        log.info("counters", **node.counters())


def _run(role, platform_settings, make_node):
    log, node_and_tasks = (
        make_log(platform_settings.settings.name, os.environ.get("SWIFTDECK_LOG", "info")),
        [],
    )

    async def start():
        node_and_tasks.append(make_node(platform_settings, log))
        fault = await node_and_tasks[0].start()
        node_and_tasks.append(asyncio.ensure_future(_watch_seeds(role, node_and_tasks[0], log)))
        node_and_tasks.append(asyncio.ensure_future(_log_counters(node_and_tasks[0], log)))
        return fault

    return run_until_signal(
        start, lambda: node_and_tasks[0].stop(), lambda: _reload_seeds(role, node_and_tasks[0], log)
    )


def _new_random():
    """Return a generator with an unpredictable seed that makes no system calls later."""
    return random.Random(random.SystemRandom().getrandbits(128))


def make_router(platform_settings, log):
    """Make the router of an edge machine."""
    from swiftdeck.gateway.gateway import Gateway
    from swiftdeck.platform.caches import PlatformCaches
    from swiftdeck.platform.header_codec import ClientHeaderCodec, WorkerHeaderCodec
    from swiftdeck.platform.lists import PlatformList

    node = Gateway(
        platform_settings.settings,
        (
            ClientHeaderCodec(),
            WorkerHeaderCodec(),
            PlatformList(platform_settings.list_addr),
            PlatformCaches(),
        ),
        _new_random(),
        log,
    )
    if node.ops:
        node.ops.handler = ready_handler(node)
    return node


def make_core(platform_settings, log):
    """Make the core of a core machine."""
    from swiftdeck.disk.folder import DataFolder
    from swiftdeck.gateway.swap import SwapCore
    from swiftdeck.platform.lists import PlatformList
    from swiftdeck.platform.operator_api import OperatorApi
    from swiftdeck.platform.orders import PlatformOrders

    node = SwapCore(
        platform_settings.settings,
        DataFolder(platform_settings.settings.dataFolder),
        _new_random(),
        log,
        PlatformList(platform_settings.list_addr),
        PlatformOrders(),
    )
    node.http.handler = OperatorApi(node).handle
    return node


MAKERS = {"router": make_router, "core": make_core}


def run_role(makers_by_role) -> int:
    """Run the role that the first argument names and return the exit status.

    The status is 2 for an unknown role or invalid settings.
    """
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in makers_by_role:
        print("fault 600 setting is invalid: say router or core", file=sys.stderr)
        return 2
    platform_settings = read_settings(role)
    if is_fault(platform_settings):
        print(
            f"fault {platform_settings.code} {platform_settings.name}: {platform_settings.reason}",
            file=sys.stderr,
        )
        return 2
    return _run(role, platform_settings, makers_by_role[role])
