"""Tests of `programs/tests.py` and of the runner that it starts."""

import io
import subprocess
import sys
import unittest

from tests.runner import ALONE, TOP, alone, discover, judge, leaves, read_known, shard


def good(self):
    pass


def bad(self):
    self.fail("as planned")


def broken(self):
    raise KeyError("as planned")


def bad_parts(self):
    for number in range(3):
        with self.subTest(number):
            self.fail("as planned")


def skipped(self):
    self.skipTest("as planned")


class RunnerTest(unittest.TestCase):
    def run_tests(self, text="", every=None, **tests):
        """Judge small tests under a list of known failures; return the counts and the output."""
        stream = io.StringIO()
        case = type("Tiny", (unittest.TestCase,), tests | {"__module__": "tiny"})
        suite = unittest.defaultTestLoader.loadTestsFromTestCase(case)
        return judge(suite, text, every, stream), stream.getvalue()

    def test_an_unlisted_failure_fails(self):
        self.assertEqual(
            self.run_tests(test_a=good, test_b=bad, test_c=broken, test_d=skipped)[0], (1, 2)
        )
        self.assertEqual(
            self.run_tests("tiny.Tiny.test_b, slow, #7", test_a=good, test_b=bad, test_c=broken)[0],
            (1, 1),
        )

    def test_a_listed_failure_is_printed_and_ignored(self):
        counts, output = self.run_tests(
            "# why\n\n tiny.Tiny.test_b, slow, or so, #7\ntiny.Tiny.test_c, lost, #8\n",
            test_a=good,
            test_b=bad,
            test_c=broken,
        )
        self.assertEqual(counts, (1, 0))
        self.assertIn("known red, passed over: tiny.Tiny.test_b: slow, or so, #7", output)
        self.assertIn("as planned", output)

    def test_a_listed_test_that_passes_fails_until_its_line_is_removed(self):
        counts, output = self.run_tests("tiny.Tiny.test_a, slow, #7", test_a=good, test_b=good)
        self.assertEqual(counts, (1, 1))
        self.assertIn("passes, so its line must go: tiny.Tiny.test_a", output)

    def test_a_listed_name_without_a_test_fails(self):
        counts, output = self.run_tests("tiny.Tiny.test_z, slow, #7", test_a=good)
        self.assertEqual(counts, (1, 1))
        self.assertIn("no such test: tiny.Tiny.test_z", output)

    def test_a_listed_test_that_was_not_selected_is_ignored(self):
        self.assertEqual(
            self.run_tests(
                "tiny.Tiny.test_z, slow, #7", {"tiny.Tiny.test_a", "tiny.Tiny.test_z"}, test_a=good
            )[0],
            (1, 0),
        )

    def test_a_listed_test_that_is_skipped_is_ignored(self):
        self.assertEqual(
            self.run_tests("tiny.Tiny.test_d, slow, #7", test_a=good, test_d=skipped)[0], (1, 0)
        )

    def test_failed_subtests_count_as_one_failure(self):
        self.assertEqual(self.run_tests(test_a=good, test_b=bad_parts)[0], (1, 1))
        self.assertEqual(
            self.run_tests("tiny.Tiny.test_b, slow, #7", test_a=good, test_b=bad_parts)[0], (1, 0)
        )

    def test_an_unexpected_success_fails(self):
        self.assertEqual(
            self.run_tests(test_a=good, test_b=unittest.expectedFailure(lambda self: None))[0],
            (1, 1),
        )

    def test_an_error_in_class_setup_fails(self):
        def setUpClass(cls):
            raise KeyError("as planned")

        self.assertEqual(self.run_tests(test_a=good, setUpClass=classmethod(setUpClass))[0], (0, 1))

    def test_a_malformed_line_fails(self):
        known, malformed = read_known(
            "a.B.c, slow, #7\na.B.d\na.B.e, slow\n, slow, #7\na.B.f, , #7\na.B.c, again, #8\n"
        )
        self.assertEqual((known, len(malformed)), ({"a.B.c": "slow, #7"}, 5))
        self.assertEqual(self.run_tests("tiny.Tiny.test_b", test_a=good, test_b=bad)[0], (1, 2))

    def test_each_test_is_in_one_shard_or_runs_alone(self):
        everything = discover()
        parts = [shard(everything, number, 3) for number in range(3)]
        in_shards = [test.id() for part in parts for test in leaves(part)]
        by_themselves = [test.id() for test in leaves(alone(everything))]
        self.assertEqual(
            sorted(in_shards + by_themselves), sorted(test.id() for test in leaves(everything))
        )
        self.assertTrue(by_themselves)
        self.assertTrue(all(name.startswith(ALONE) for name in by_themselves))
        self.assertFalse(any(name.startswith(ALONE) for name in in_shards))

    def test_the_program_runs_the_tests_of_a_checkout_and_prints_the_verdict_last(self):
        result = subprocess.run(
            [sys.executable, "-m", "swiftdeck.programs.tests", "test_prefix.py"],
            cwd=TOP.parent,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertTrue(
            result.stdout.splitlines()[-1].startswith("1 passed, "), result.stdout + result.stderr
        )
