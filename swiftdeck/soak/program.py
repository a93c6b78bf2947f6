"""Entry point of the site's processes in a soak: the platform's programs with a link filter."""

import ctypes
import signal
import sys

from swiftdeck.platform import program

PR_SET_PDEATHSIG = 1


def exit_with_parent():
    """Have the kernel kill this process, even when paused, once its parent has ended."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def filtered_makers():
    """Return the platform's node factories by role, each adding a link filter to its nodes."""
    from swiftdeck.platform.nodes import MAKERS
    from swiftdeck.soak.addresses import FILTER_PORT
    from swiftdeck.soak.link_filter import filter_links

    def with_link_filter(make_node):
        return lambda place, log: filter_links(make_node(place, log), FILTER_PORT)

    return {role: with_link_filter(make_node) for role, make_node in MAKERS.items()}


def main(makers=filtered_makers) -> int:
    """Run the platform's program for as long as the driver process runs; return its exit status."""
    exit_with_parent()
    return program.main(makers)


if __name__ == "__main__":
    sys.exit(main())
