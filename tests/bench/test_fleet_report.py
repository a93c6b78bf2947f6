"""Tests of `bench/fleet_report.py`."""

import unittest

from swiftdeck.bench.fleet_report import gaps, router_cpu_ms, steady, sums


def sample(name, pid, cpu_ms, resident):
    return {
        "kind": "sample",
        "name": name,
        "pid": pid,
        "cpuMs": cpu_ms,
        "residentKiB": resident,
        "files": 10,
        "tasks": 3,
        "logBytes": 0,
    }


def returned(at_ms, whole=True, code=0):
    return {"kind": "return", "atMs": at_ms, "whole": whole, "code": code}


class FleetReportTest(unittest.TestCase):
    def test_the_longest_gap_after_a_fault_begins_within_twelve_seconds_of_it(self):
        fault = {"kind": "kill", "atMs": 1000, "asWhat": "killed core2"}
        served = [500, 1500, 4500, 5000, 12_900, 30_000, 60_000]
        self.assertEqual(gaps([fault], served), [{"fault": "killed core2", "longestGapMs": 17_100}])
        self.assertEqual(gaps([fault], [500]), [{"fault": "killed core2", "longestGapMs": -1}])

    def test_processor_time_counts_routers_only_and_not_across_a_restart(self):
        records = [
            sample("router1", 7, 100, 1),
            sample("router1", 7, 350, 1),
            sample("router1", 8, 40, 1),
            sample("router1", 8, 90, 1),
            sample("core1", 9, 0, 1),
            sample("core1", 9, 5000, 1),
        ]
        self.assertEqual(router_cpu_ms(records), 300)

    def test_steady_figures_are_of_the_last_start_after_its_warm_up(self):
        records = [sample("core1", 1, 0, 900)]
        records += [sample("core1", 2, 0, resident) for resident in (10, 20, 30, 40, 50)]
        records += [sample("core2", 3, 0, resident) for resident in (10, 20, 30)]
        self.assertEqual(set(steady(records)), {"core1"})
        self.assertEqual(steady(records)["core1"]["residentKiB"], [30, 50])

    def test_sums_count_returns_by_code(self):
        records = [returned(10), returned(20, whole=False, code=111), {"kind": "agent"}]
        got = sums([*records, {"kind": "versions", "seen": [4, 4]}])
        self.assertEqual((got["returns"], got["served"], got["agents"]), (2, 1, 1))
        self.assertEqual(got["codes"], {"0": 1, "111": 1})
        self.assertEqual(got["versions"], [4, 4])
