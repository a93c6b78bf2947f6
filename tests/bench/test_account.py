"""Tests of the account of a day's worth."""

import unittest
from datetime import UTC, datetime

import msgspec

from swiftdeck.bench.account import (
    Lateness,
    LongCall,
    Reading,
    Report,
    lateness_of,
    losses,
    read_calls,
    readings,
    tell,
)
from swiftdeck.gateway.call_trace import CallTrace

REPORT = {
    "G": 0.65,
    "parts": [["whole day", 0.4, 0.95], ["worst class", 0.6, 0.6]],
    "prices": [
        ["loads of weights", 36.0, 0.06],
        ["exits of its own", 0.0, 0.0],
        ["orders", 1, 0.03],
    ],
    "classes": [
        {"name": "check", "n": 9, "in_aim": 7, "late": 1, "refused": 0, "failed": 1, "worth": 0.8}
    ],
    "unknown": 1,
}
DAY_S = 1_800_000_000


def line(end_s, **fields):
    """A line as a router writes it."""
    told = CallTrace(salt="1", part="book", shared_tokens=1000, attempts=1).fields() | fields
    stamp = datetime.fromtimestamp(DAY_S + end_s, UTC).isoformat()
    more = {"event": "long call", "request": "r", "timestamp": stamp}
    return "  1.2 edge-1 " + msgspec.json.encode(told | more).decode()


def answered(end_s, ms=100, **fields):
    """A line of a call that was sent at once and answered after some milliseconds."""
    times = {"placed_ms": 0, "sent_ms": 0, "first_event_ms": ms, "whole_ms": ms, "ended_ms": ms}
    return line(end_s, **(times | fields))


class AccountTest(unittest.TestCase):
    def test_the_losses_sum_to_the_whole_and_the_largest_stands_first(self):
        report = msgspec.convert(REPORT, Report)
        found = losses(report)
        self.assertAlmostEqual(sum(each.share for each in found), 1 - report.worth)
        self.assertEqual(found[0].what, "worst class")
        self.assertNotIn("price: exits of its own", [each.what for each in found])

    def test_other_and_torn_lines_are_passed_over(self):
        torn = answered(1)[:-9]
        self.assertEqual(len(read_calls(["built in 1 s", torn, answered(1), '{"event": "x"}'])), 1)

    def test_each_reading_of_a_shared_part_has_one_cause(self):
        calls = read_calls(
            [
                answered(10.0),
                answered(9.95, ms=30),
                answered(11.0, kept_here=990),
                answered(12.0, source="10.1.0.1:80", kept_elsewhere=1000),
                answered(13.0, kept_elsewhere=1000),
                answered(14.0),
                answered(15.0, salt="2"),
            ]
        )
        found = readings(calls)
        for reading in Reading:
            count = 2 if reading is Reading.FIRST else 1
            self.assertEqual(found[(reading, "calls")], count, reading)
        self.assertEqual(found[(Reading.FIRST, "tokens")], 2000)

    def test_each_call_has_one_fate(self):
        def fate(*args, **fields):
            return lateness_of(read_calls([answered(1, *args, **fields)])[0], 600)

        self.assertEqual(fate(600), Lateness.IN_TIME)
        self.assertEqual(fate(-1), Lateness.UNANSWERED)
        self.assertEqual(fate(700, attempts=2), Lateness.SECOND_WORKER)
        self.assertEqual(fate(700, placed_ms=200), Lateness.PLACED_LATE)
        self.assertEqual(fate(700, placed_ms=20), Lateness.READ_COLD)
        self.assertEqual(fate(700, placed_ms=20, kept_here=950), Lateness.OTHER)

    def test_what_a_router_writes_is_what_the_account_reads(self):
        names = set(CallTrace().fields()) | {"timestamp", "request", "event"}
        read = {field.name for field in msgspec.structs.fields(LongCall)}
        self.assertEqual(read - names, set())

    def test_the_table_tells_all(self):
        told = "\n".join(tell(msgspec.convert(REPORT, Report), read_calls([answered(1)]), 600))
        for text in ("lost 0.350", "price: loads of weights", "in time", "first use", "check"):
            self.assertIn(text, told)
