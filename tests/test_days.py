"""Tests of the days of our own in tests/days, which the users' bench plays."""

import re
import tomllib
import unittest
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PLAIN = "plain"
# Every trouble that the bench lists, each with its variants: words of `how`, or the class core.
TROUBLES = {
    "after_ack_kill": "plain kill timed taken",
    "after_ack_wipe": "plain",
    "ack_lost": "plain",
    "answer_lost": "plain reset",
    "bad_config": "plain cut_short unknown_service same_place no_weight no_timeout old_version"
    " same_version stale_match shared_key",
    "big_config": "plain",
    "burst": "plain",
    "clock_step": "plain back ahead leader",
    "config_change": "route weights timeout tenant quota idle",
    "config_race": "plain",
    "config_storm": "plain",
    "core_cut": (
        "plain one_way seeds both leader race hard meet drain reset refuse behind split relieve"
    ),
    "disk_full": "plain leader",
    "disk_slow": "plain leader",
    "disk_stall": "plain leader",
    "events_gap": "plain",
    "garble": "plain extra late",
    "herd_kill": "plain power core taken meet drain",
    "give_up": "plain",
    "hot_key": "plain",
    "hup": "plain",
    "idle_race": "plain",
    "kv_slow": "plain",
    "node_cut": "plain servers reset refuse",
    "node_freeze": "plain core leader",
    "node_kill": "plain power core leader reader seed race hard meet drain",
    "node_slow": "plain",
    "release": "plain",
    "replace_core": "plain planned",
    "replace_with_reuse": "plain drain dark",
    "reset_conns": "plain",
    "retry_abuse": "plain",
    "revoke": "plain",
    "roll_term": "plain core busy remove",
    "scale_in": "plain spot",
    "scale_out": "plain",
    "seed_turnover": "plain",
    "srv_crash": "plain dark gone across all",
    "srv_cut": "plain fronts some lossy one_way reset",
    "srv_flap": "plain",
    "srv_grey": "errors shed busy hang reset mute slow one_zone",
    "srv_lying_health": "errors hang reset bad",
    "srv_slow": "plain",
    "version_bump": "plain",
    "closing power_off_all": "plain timed taken",
    "closing wipe_after_ack": "plain aimed timed taken oldest",
    "closing kill_all": "plain timed taken",
}
# What an entry may say: never a service, a zone or a class of requests, which the day's seed picks.
FIELDS = {"at", "kind", "for_s", "gap_s", "share", "count", "x", "how", "on"}
MACHINE_CLASSES = {"core", "front"}


def read_days() -> dict[str, dict]:
    """The days by their names."""
    days = {}
    for path in sorted((ROOT / "tests/days").glob("*.toml")):
        (day,) = tomllib.loads(path.read_text())["day"]
        days[path.stem] = day
    return days


def entries_of(day) -> list[dict]:
    """All troubles of a day, planned or not."""
    return day["plan"] + day["faults"]


def variants_of(entry) -> set[str]:
    """The words by which an entry differs from a plain one of its kind."""
    words = set(entry.get("how", "").split())
    if entry.get("on") == "core":
        words.add("core")
    return words or {PLAIN}


def played_variants() -> dict[tuple[str, str], set[str]]:
    """The names of the days that hold each kind and variant."""
    played = defaultdict(set)
    for name, day in read_days().items():
        for entry in entries_of(day):
            for variant in variants_of(entry):
                played[entry["kind"], variant].add(name)
        for variant in variants_of(day["closing"]):
            played[f"closing {day['closing']['kind']}", variant].add(name)
    return played


def described_variants() -> dict[tuple[str, str], set[str]]:
    """The table of docs/days.md."""
    rows = re.findall(
        r"^\| `([^`]+)` \| (\w+) \| (.+) \|$", (ROOT / "docs/days.md").read_text(), re.MULTILINE
    )
    return {(kind, variant): set(days.split(", ")) for kind, variant, days in rows}


class DaysTest(unittest.TestCase):
    """What the days hold, against the bench's list of troubles and the table of the docs."""

    def test_every_kind_and_variant_stands_in_a_day(self):
        """No trouble of the bench's list is left out."""
        wanted = {(kind, each) for kind, words in TROUBLES.items() for each in words.split()}
        self.assertEqual(wanted - set(played_variants()), set())

    def test_docs_list_the_days_of_every_variant(self):
        """The table of docs/days.md and the days are equal."""
        self.assertEqual(described_variants(), dict(played_variants()))

    def test_days_name_nothing_of_a_site(self):
        """Services, zones and classes of requests are left to the day's seed."""
        for name, day in read_days().items():
            with self.subTest(name):
                self.assertEqual(set(day), {"name", "seed", "closing", "plan", "faults"})
                for entry in entries_of(day):
                    self.assertLessEqual(set(entry), FIELDS)
                    self.assertIn(entry.get("on", "front"), MACHINE_CLASSES)

    def test_days_carry_the_names_of_their_files(self):
        """A report is found by the name of its day."""
        for name, day in read_days().items():
            self.assertEqual(day["name"], name)
