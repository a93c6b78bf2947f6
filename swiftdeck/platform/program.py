"""The programs that the platform starts: `router` on edge machines, `core` on core machines."""

import signal
import sys


def main(makers=None) -> int:
    """Entry; `makers` gives the maker of each role's node, by default the platform's own.

    A hang-up that comes before the node can take it would end the process. It is passed over, as
    the settings are read after it anyway; what takes time to import is imported later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from swiftdeck.platform import nodes

    return nodes.run_role(makers() if makers else nodes.MAKERS)


if __name__ == "__main__":
    sys.exit(main())
