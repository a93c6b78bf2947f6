"""Event loop on the boot clock, signal handling and logging of the programs."""

import asyncio
import logging
import signal
import sys
import time

import structlog


class BootLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock continues during suspend and never jumps."""

    def time(self):
        """Return the seconds since boot, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_log(name, level="info"):
    """Return a logger that writes JSON lines to standard error; log only changes of state."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(process=name)


def run_until_signal(start, stop, on_hangup=None) -> int:
    """Run a process until SIGTERM or SIGINT and return its exit status.

    `start` and `stop` are coroutine functions; `start` returns a fault if the process can't run,
    or None. `on_hangup` is called on SIGHUP. The status is 1 after a fault or an OSError, which is
    printed.
    """

    async def main():
        loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        if on_hangup:
            loop.add_signal_handler(signal.SIGHUP, on_hangup)
        fault = await start()
        if fault is not None and not fault:
            print(f"fault {fault.code} {fault.name}: {fault.reason}", file=sys.stderr)
            return 1
        await stop_requested.wait()
        await stop()
        return 0

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        try:
            return runner.run(main())
        except OSError as error:
            print(f"fault 400 cannot listen or read: {error}", file=sys.stderr)
            return 1
