"""Tests of `programs/tests.py` and of the runner that it hands over to."""

import io
import subprocess
import sys
import unittest

from tests.runner import TOP, judge, read_known


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
    def run_(self, text="", every=None, **tests):
        """What becomes of tiny tests under such a list, and what is printed."""
        stream = io.StringIO()
        case = type("Tiny", (unittest.TestCase,), tests | {"__module__": "tiny"})
        suite = unittest.defaultTestLoader.loadTestsFromTestCase(case)
        return judge(suite, text, every, stream), stream.getvalue()

    def test_an_unlisted_failure_fails(self):
        self.assertEqual(
            self.run_(test_a=good, test_b=bad, test_c=broken, test_d=skipped)[0], (1, 2)
        )
        self.assertEqual(
            self.run_("tiny.Tiny.test_b, slow, #7", test_a=good, test_b=bad, test_c=broken)[0],
            (1, 1),
        )

    def test_a_listed_failure_is_printed_and_passed_over(self):
        counts, told = self.run_(
            "# why\n\n tiny.Tiny.test_b, slow, or so, #7\ntiny.Tiny.test_c, lost, #8\n",
            test_a=good,
            test_b=bad,
            test_c=broken,
        )
        self.assertEqual(counts, (1, 0))
        self.assertIn("known red, passed over: tiny.Tiny.test_b: slow, or so, #7", told)
        self.assertIn("as planned", told)

    def test_a_listed_test_that_passes_fails_until_its_line_is_gone(self):
        counts, told = self.run_("tiny.Tiny.test_a, slow, #7", test_a=good, test_b=good)
        self.assertEqual(counts, (1, 1))
        self.assertIn("passes, so its line must go: tiny.Tiny.test_a", told)

    def test_a_listed_name_that_is_no_test_fails(self):
        counts, told = self.run_("tiny.Tiny.test_z, slow, #7", test_a=good)
        self.assertEqual(counts, (1, 1))
        self.assertIn("no such test: tiny.Tiny.test_z", told)

    def test_a_listed_test_outside_the_part_that_runs_is_left_alone(self):
        self.assertEqual(
            self.run_(
                "tiny.Tiny.test_z, slow, #7", {"tiny.Tiny.test_a", "tiny.Tiny.test_z"}, test_a=good
            )[0],
            (1, 0),
        )

    def test_a_listed_test_that_is_skipped_is_left_alone(self):
        self.assertEqual(
            self.run_("tiny.Tiny.test_d, slow, #7", test_a=good, test_d=skipped)[0], (1, 0)
        )

    def test_failed_parts_of_a_test_are_one_failure_of_it(self):
        self.assertEqual(self.run_(test_a=good, test_b=bad_parts)[0], (1, 1))
        self.assertEqual(
            self.run_("tiny.Tiny.test_b, slow, #7", test_a=good, test_b=bad_parts)[0], (1, 0)
        )

    def test_a_test_that_should_fail_and_passes_fails(self):
        self.assertEqual(
            self.run_(test_a=good, test_b=unittest.expectedFailure(lambda self: None))[0], (1, 1)
        )

    def test_a_class_that_cannot_begin_fails(self):
        def setUpClass(cls):
            raise KeyError("as planned")

        self.assertEqual(self.run_(test_a=good, setUpClass=classmethod(setUpClass))[0], (0, 1))

    def test_a_line_that_does_not_read_fails(self):
        known, wrong = read_known(
            "a.B.c, slow, #7\na.B.d\na.B.e, slow\n, slow, #7\na.B.f, , #7\na.B.c, again, #8\n"
        )
        self.assertEqual((known, len(wrong)), ({"a.B.c": "slow, #7"}, 5))
        self.assertEqual(self.run_("tiny.Tiny.test_b", test_a=good, test_b=bad)[0], (1, 2))

    def test_the_program_runs_the_tests_of_a_checkout_and_ends_with_the_verdict(self):
        got = subprocess.run(
            [sys.executable, "-m", "swiftdeck.programs.tests", "test_prefix.py"],
            cwd=TOP.parent,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertTrue(
            got.stdout.splitlines()[-1].startswith("1 passed, "), got.stdout + got.stderr
        )
