"""The soak's programs with faults planted: which ones is said by a variable of the environment."""

import os
import sys

from swiftdeck.http.server import HttpExchange
from swiftdeck.soak import program
from swiftdeck.soak.program import filtered_makers

VARIABLE, SEPARATOR = "SOAK_PLANTED_FAULTS", ", "
ENDS_AT_ONCE = "router ends at once"
OLD_CONFIGURATION = "router keeps its first configuration"
BROKEN_INVARIANT = "core counts a broken invariant"
BLIND_TO_CLIENTS = "router does not see its clients leave"


def ends_at_once(node):
    """A router that doesn't finish what is open when it is told to stop."""

    async def stop():
        os._exit(0)

    node.stop = stop


def keeps_first_configuration(node):
    """A router that never takes another configuration than the first that has routes."""
    take, taken = node.on_config, []

    def once(held):
        if not taken:
            take(held)
        if held.document.paths:
            taken.append(held)

    node.on_config = once


def counts_broken_invariant(node):
    """A process in which an invariant was seen broken."""
    node.telemetry.count["invariant.planted"] += 1


def blind_to_clients(node):
    """A router that takes a client that has closed its connection for one that listens."""
    HttpExchange.watch_client = lambda self, on_client_end: None
    HttpExchange.has_client_ended = lambda self, for_s=0.0: False


FAULTS = {
    ENDS_AT_ONCE: ("router", ends_at_once),
    OLD_CONFIGURATION: ("router", keeps_first_configuration),
    BROKEN_INVARIANT: ("core", counts_broken_invariant),
    BLIND_TO_CLIENTS: ("router", blind_to_clients),
}


def planted(role, make):
    """A maker whose nodes have those of the faults asked for that are faults of this role."""
    asked = [FAULTS[name] for name in os.environ[VARIABLE].split(SEPARATOR)]

    def made(place, log):
        node = make(place, log)
        for faulty_role, plant in asked:
            if role == faulty_role:
                plant(node)
        return node

    return made


def planted_makers():
    """The soak's makers, with the faults asked for."""
    return {role: planted(role, make) for role, make in filtered_makers().items()}


if __name__ == "__main__":
    sys.exit(program.main(planted_makers))
