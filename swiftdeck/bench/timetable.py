"""The entries of a day for the users' bench, and when they begin."""

import json

import msgspec

TIME_DIGITS = 3


class Entry(msgspec.Struct, frozen=True):
    """One line of a day: planned work or a trouble."""

    at_s: float
    kind: str
    options: dict[str, str | int | float]

    def toml(self) -> str:
        """An inline table of TOML, whose strings and numbers JSON writes alike."""
        fields = {"at": self.at_s, "kind": self.kind, **self.options}
        return (
            "{ " + ", ".join(f"{key} = {json.dumps(each)}" for key, each in fields.items()) + " }"
        )


class Timetable:
    """Collects the entries of a day; all chance comes from one generator."""

    def __init__(self, chance, length_s: float):
        self.chance, self.length_s = chance, length_s
        self._planned: list[Entry] = []
        self._unplanned: list[Entry] = []

    def plan(self, at_s: float, kind: str, **options) -> None:
        """Add planned work; options without a value are left out."""
        self._planned.append(self._entry(at_s, kind, options))

    def fault(self, at_s: float, kind: str, **options) -> None:
        """Add a trouble; options without a value are left out."""
        self._unplanned.append(self._entry(at_s, kind, options))

    def planned(self) -> list[Entry]:
        """The planned work in the order of time."""
        return sorted(self._planned, key=lambda entry: entry.at_s)

    def unplanned(self) -> list[Entry]:
        """The troubles in the order of time."""
        return sorted(self._unplanned, key=lambda entry: entry.at_s)

    def times(self, start_s: float, end_s: float, least_s: float, most_s: float):
        """Moments from a start to before an end, with gaps that are drawn between two bounds."""
        at_s = start_s
        while at_s < end_s:
            yield at_s
            at_s += self.chance.uniform(least_s, most_s)

    def _entry(self, at_s, kind, options):
        kept = {
            name: round(value, TIME_DIGITS) if isinstance(value, float) else value
            for name, value in options.items()
            if value not in ("", None)
        }
        return Entry(round(at_s, TIME_DIGITS), kind, kept)
