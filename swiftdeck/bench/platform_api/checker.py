"""Checks a run against the platform's rules, by the records of the stand-ins alone: one check for each rule."""

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
    """Return up to 20 breaches of each rule by its name; a rule without breaches is left out."""
    records, bounds = Records(items), bounds or Bounds()
    breaches_by_rule = {name: list(rule(records, bounds)) for name, rule in RULES.items()}
    return {name: breaches[:20] for name, breaches in breaches_by_rule.items() if breaches}
