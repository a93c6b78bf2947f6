"""Entry point of the programs that the platform starts: `router` and `core`."""

import signal
import sys


def main(makers=None) -> int:
    """Run the role that the command line names and return the exit status.

    `makers` returns the function that makes each role's node; by default these are
    `nodes.MAKERS`. SIGHUP is ignored first, because it would end the process until the node
    installs its handler. No change is missed, as the settings are read after that. Slow imports
    come later for the same reason.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from swiftdeck.platform import nodes

    return nodes.run_role(makers() if makers else nodes.MAKERS)


if __name__ == "__main__":
    sys.exit(main())
