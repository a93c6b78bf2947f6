"""The soak's programs with the planted faults that an environment variable lists."""

import os
import sys

from swiftdeck.gateway.gateway import Gateway
from swiftdeck.http.exchange import HttpExchange
from swiftdeck.soak import program
from swiftdeck.soak.program import filtered_makers

VARIABLE, SEPARATOR = "SOAK_PLANTED_FAULTS", ", "
ENDS_AT_ONCE = "router ends at once"
OLD_CONFIGURATION = "router keeps its first configuration"
BROKEN_INVARIANT = "core counts a broken invariant"
BLIND_TO_CLIENTS = "router does not see its clients leave"

SHARES_ALL_PARTS = "router isolates no tenant"


def ends_at_once(node):
    """Make a router exit on a planned stop without finishing its open requests."""

    async def stop():
        os._exit(0)

    node.stop = stop


def keeps_first_configuration(node):
    """Make a router ignore every configuration after the first that has routes."""
    on_config, applied = node.on_config, []

    def apply_first(held):
        if not applied:
            on_config(held)
        if held.document.paths:
            applied.append(held)

    node.on_config = apply_first


def counts_broken_invariant(node):
    """Make a process count a broken invariant."""
    node.telemetry.count["invariant.planted"] += 1


def blind_to_clients(node):
    """Make a router blind to clients that have closed their connection."""
    HttpExchange.watch_client = lambda self, on_client_end: None
    HttpExchange.has_client_ended = lambda self, for_s=0.0: False


def shares_all_parts(node):
    """Make a router let all tenants share cached parts."""
    Gateway.isolates = lambda self, tenant: False


FAULTS = {
    ENDS_AT_ONCE: ("router", ends_at_once),
    OLD_CONFIGURATION: ("router", keeps_first_configuration),
    BROKEN_INVARIANT: ("core", counts_broken_invariant),
    BLIND_TO_CLIENTS: ("router", blind_to_clients),
    SHARES_ALL_PARTS: ("router", shares_all_parts),
}


def with_planted_faults(role, make_node):
    """Wrap a node factory so that its nodes get the requested faults of their role."""
    requested = [FAULTS[name] for name in os.environ[VARIABLE].split(SEPARATOR)]

    def make_faulty(place, log):
        node = make_node(place, log)
        for faulty_role, plant in requested:
            if role == faulty_role:
                plant(node)
        return node

    return make_faulty


def planted_makers():
    """Return the soak's node factories with the requested faults planted."""
    return {
        role: with_planted_faults(role, make_node) for role, make_node in filtered_makers().items()
    }


if __name__ == "__main__":
    sys.exit(program.main(planted_makers))
