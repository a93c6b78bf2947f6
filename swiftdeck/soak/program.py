"""The platform's programs with a link filter, as the soak starts them."""

import sys

from swiftdeck.platform import program
from swiftdeck.soak.addresses import FILTER_PORT
from swiftdeck.soak.link_filter import filter_links


def filtered(make):
    """A maker of nodes whose links can be cut."""
    return lambda place, log: filter_links(make(place, log), FILTER_PORT)


MAKERS = {role: filtered(make) for role, make in program.MAKERS.items()}


if __name__ == "__main__":
    sys.exit(program.main(MAKERS))
