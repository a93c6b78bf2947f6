"""How a program runs: a loop on the boot clock, signals, logs."""

import asyncio
import logging
import signal
import sys
import time

import structlog


class BootLoop(asyncio.SelectorEventLoop):
    """A loop whose clock goes on while the machine sleeps and never jumps."""

    def time(self):
        """Seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_log(name, level="info"):
    """Lines of JSON on standard error, for changes of state only."""
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
    """Run a process until SIGTERM or SIGINT; gives its exit status."""

    async def main():
        loop, done = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, done.set)
        if on_hangup:
            loop.add_signal_handler(signal.SIGHUP, on_hangup)
        fault = await start()
        if fault is not None and not fault:
            print(f"fault {fault.code} {fault.name}: {fault.reason}", file=sys.stderr)
            return 1
        await done.wait()
        await stop()
        return 0

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        try:
            return runner.run(main())
        except OSError as error:
            print(f"fault 400 cannot listen or read: {error}", file=sys.stderr)
            return 1
