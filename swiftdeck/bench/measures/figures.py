"""Figures that several measurements give."""

import statistics


def spread(values) -> list[float]:
    """Return least, median and most of some values, none for no values."""
    values = sorted(values)
    if not values:
        return []
    return [round(values[0], 3), round(statistics.median(values), 3), round(values[-1], 3)]


def share(flags: list[bool]) -> float:
    """Return which share of some flags is set, 0 for no flags."""
    return round(sum(flags) / max(1, len(flags)), 3)
