"""The soak's programs with a fault planted: which one is said by a variable of the environment."""

import os
import sys

from swiftdeck.platform import program
from swiftdeck.soak.program import MAKERS

VARIABLE = "SOAK_PLANTED_FAULT"
ENDS_AT_ONCE = "router ends at once"
OLD_CONFIGURATION = "router keeps its first configuration"
BROKEN_INVARIANT = "core counts a broken invariant"


def ends_at_once(node):
    """A router that doesn't finish what is open when it is told to stop."""

    async def stop():
        os._exit(0)

    node.stop = stop


def keeps_first_configuration(node):
    """A router that never takes another configuration than its first."""
    take = node.on_config

    def once(held):
        if node.routes is None:
            take(held)

    node.on_config = once


def counts_broken_invariant(node):
    """A process in which an invariant was seen broken."""
    node.board.count["invariant.planted"] += 1


FAULTS = {
    ENDS_AT_ONCE: ("router", ends_at_once),
    OLD_CONFIGURATION: ("router", keeps_first_configuration),
    BROKEN_INVARIANT: ("core", counts_broken_invariant),
}


def planted(role, make):
    """A maker whose nodes have the fault that is asked for, if it is one of this role."""
    faulty_role, plant = FAULTS[os.environ[VARIABLE]]

    def made(place, log):
        node = make(place, log)
        if role == faulty_role:
            plant(node)
        return node

    return made


if __name__ == "__main__":
    sys.exit(program.main({role: planted(role, make) for role, make in MAKERS.items()}))
