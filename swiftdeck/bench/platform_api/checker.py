"""Judges a run of the platform's stand-ins by their records alone: one check for each rule of the platform's page."""

from swiftdeck.bench.platform_api.rules.answers import mixed, order, refused, twice, unasked
from swiftdeck.bench.platform_api.rules.configuration import config, denied, recover
from swiftdeck.bench.platform_api.rules.endings import gone, lost
from swiftdeck.bench.platform_api.rules.records import Bounds, Records
from swiftdeck.bench.platform_api.rules.weights import one, version
from swiftdeck.bench.platform_api.rules.workers import budget, drain, route, stale, wall

RULES = {
    "MIXED": mixed,
    "UNASKED": unasked,
    "TWICE": twice,
    "REFUSED": refused,
    "ROUTE": route,
    "STALE": stale,
    "WALL": wall,
    "ORDER": order,
    "BUDGET": budget,
    "ONE": one,
    "VERSION": version,
    "DRAIN": drain,
    "CONFIG": config,
    "DENIED": denied,
    "LOST": lost,
    "GONE": gone,
    "RECOVER": recover,
}


def check(items, bounds=None) -> dict:
    """Breaches by rule; a rule without breaches is not there."""
    records, bounds = Records(items), bounds or Bounds()
    found = {name: list(rule(records, bounds)) for name, rule in RULES.items()}
    return {name: breaches[:20] for name, breaches in found.items() if breaches}
