"""The platform's programs with a link filter, as the soak starts them."""

import ctypes
import signal
import sys

from swiftdeck.platform import program

PR_SET_PDEATHSIG = 1


def end_with_driver():
    """Let the kernel end this process, paused or not, when the one that started it is gone."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def filtered_makers():
    """The platform's makers of nodes, whose links can be cut here."""
    from swiftdeck.platform.nodes import MAKERS
    from swiftdeck.soak.addresses import FILTER_PORT
    from swiftdeck.soak.link_filter import filter_links

    def filtered(make):
        return lambda place, log: filter_links(make(place, log), FILTER_PORT)

    return {role: filtered(make) for role, make in MAKERS.items()}


def main(makers=filtered_makers) -> int:
    """Entry: as the platform's, for as long as the driver runs."""
    end_with_driver()
    return program.main(makers)


if __name__ == "__main__":
    sys.exit(main())
