"""Tests of `programs/tests.py` and of the runner that it hands over to."""

import io
import subprocess
import sys
import unittest

from tests.runner import TOP, judge, readKnown


def good(self):
    pass


def bad(self):
    self.fail("as planned")


def broken(self):
    raise KeyError("as planned")


def badParts(self):
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

    def testAnUnlistedFailureFails(self):
        self.assertEqual(self.run_(testA=good, testB=bad, testC=broken, testD=skipped)[0], (1, 2))
        self.assertEqual(
            self.run_("tiny.Tiny.testB, slow, #7", testA=good, testB=bad, testC=broken)[0], (1, 1)
        )

    def testAListedFailureIsPrintedAndPassedOver(self):
        counts, told = self.run_(
            "# why\n\n tiny.Tiny.testB, slow, or so, #7\ntiny.Tiny.testC, lost, #8\n",
            testA=good,
            testB=bad,
            testC=broken,
        )
        self.assertEqual(counts, (1, 0))
        self.assertIn("known red, passed over: tiny.Tiny.testB: slow, or so, #7", told)
        self.assertIn("as planned", told)

    def testAListedTestThatPassesFailsUntilItsLineIsGone(self):
        counts, told = self.run_("tiny.Tiny.testA, slow, #7", testA=good, testB=good)
        self.assertEqual(counts, (1, 1))
        self.assertIn("passes, so its line must go: tiny.Tiny.testA", told)

    def testAListedNameThatIsNoTestFails(self):
        counts, told = self.run_("tiny.Tiny.testZ, slow, #7", testA=good)
        self.assertEqual(counts, (1, 1))
        self.assertIn("no such test: tiny.Tiny.testZ", told)

    def testAListedTestOutsideThePartThatRunsIsLeftAlone(self):
        self.assertEqual(
            self.run_(
                "tiny.Tiny.testZ, slow, #7", {"tiny.Tiny.testA", "tiny.Tiny.testZ"}, testA=good
            )[0],
            (1, 0),
        )

    def testAListedTestThatIsSkippedIsLeftAlone(self):
        self.assertEqual(
            self.run_("tiny.Tiny.testD, slow, #7", testA=good, testD=skipped)[0], (1, 0)
        )

    def testFailedPartsOfATestAreOneFailureOfIt(self):
        self.assertEqual(self.run_(testA=good, testB=badParts)[0], (1, 1))
        self.assertEqual(
            self.run_("tiny.Tiny.testB, slow, #7", testA=good, testB=badParts)[0], (1, 0)
        )

    def testATestThatShouldFailAndPassesFails(self):
        self.assertEqual(
            self.run_(testA=good, testB=unittest.expectedFailure(lambda self: None))[0], (1, 1)
        )

    def testAClassThatCannotBeginFails(self):
        def setUpClass(cls):
            raise KeyError("as planned")

        self.assertEqual(self.run_(testA=good, setUpClass=classmethod(setUpClass))[0], (0, 1))

    def testALineThatDoesNotReadFails(self):
        known, wrong = readKnown(
            "a.B.c, slow, #7\na.B.d\na.B.e, slow\n, slow, #7\na.B.f, , #7\na.B.c, again, #8\n"
        )
        self.assertEqual((known, len(wrong)), ({"a.B.c": "slow, #7"}, 5))
        self.assertEqual(self.run_("tiny.Tiny.testB", testA=good, testB=bad)[0], (1, 2))

    def testTheProgramRunsTheTestsOfACheckoutAndEndsWithTheVerdict(self):
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
