"""Runs the tests found here and judges them, with an account of those that are known to fail."""

import sys
import unittest
from pathlib import Path

TOP = Path(__file__).resolve().parent
KNOWN_RED = TOP.parent / "KNOWN-RED.txt"
ALONE = ("tests.crowds.",)
"""Beginnings of the ids of tests that load the machine, and so run alone, after all shards."""


class Result(unittest.TextTestResult):
    """Remembers what came of each test by its id; a failed subtest is a failure of its test."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.started, self.red, self.skipped_ids = [], set(), set()

    @staticmethod
    def _id(test):
        return getattr(test, "test_case", test).id()

    def startTest(self, test):
        super().startTest(test)
        self.started.append(test.id())

    def addFailure(self, test, err):
        super().addFailure(test, err)
        self.red.add(self._id(test))

    def addError(self, test, err):
        super().addError(test, err)
        self.red.add(self._id(test))

    def addSubTest(self, test, subtest, err):
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.red.add(self._id(test))

    def addUnexpectedSuccess(self, test):
        super().addUnexpectedSuccess(test)
        self.red.add(self._id(test))

    def addSkip(self, test, reason):
        super().addSkip(test, reason)
        self.skipped_ids.add(self._id(test))


def read_known(text: str) -> tuple[dict[str, str], list[str]]:
    """The tests listed as known to fail, with cause and issue, and what is wrong with the list."""
    known, wrong = {}, []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        name = name.strip()
        if not (name and cause.strip() and issue.strip()):
            wrong.append(f"line {number} is not `test id, cause, issue`: {line}")
        elif name in known:
            wrong.append(f"line {number} lists a test again: {name}")
        else:
            known[name] = rest.strip()
    return known, wrong


def ids_of(suite) -> set[str]:
    """The ids of all tests of a suite."""
    return {
        name
        for each in suite
        for name in (ids_of(each) if isinstance(each, unittest.TestSuite) else [each.id()])
    }


def judge(suite, text="", every=None, stream=sys.stdout) -> tuple[int, int]:
    """Run a suite under a list of tests known to fail; returns how many passed and failed.

    `every` are the ids of all tests there are, if the suite is a part of them.
    """
    known, wrong = read_known(text)
    every = ids_of(suite) if every is None else every
    got = unittest.TextTestRunner(stream=stream, verbosity=1, resultclass=Result).run(suite)
    passed = set(got.started) - got.red - got.skipped_ids
    wrong += [f"no such test: {name}" for name in known if name not in every]
    wrong += [f"passes, so its line must go: {name}" for name in known if name in passed]
    for name in sorted(got.red & set(known)):
        print(f"known red, passed over: {name}: {known[name]}", file=stream)
    for each in wrong:
        print(f"KNOWN-RED.txt: {each}", file=stream)
    return len(passed - set(known)), len(got.red - set(known)) + len(wrong)


def leaves(suite) -> list:
    """All tests of a suite, in its order."""
    return [
        test
        for item in suite
        for test in (leaves(item) if isinstance(item, unittest.TestSuite) else [item])
    ]


def shard(suite, number: int, count: int):
    """One of several parts of a suite that are about as long.

    Together they are the suite but for the tests that run alone.
    """
    tests = sorted(
        (test for test in leaves(suite) if not runs_alone(test)), key=lambda test: test.id()
    )
    return unittest.TestSuite(tests[number::count])


def alone(suite):
    """The tests of a suite that run alone, one after another."""
    return unittest.TestSuite(test for test in leaves(suite) if runs_alone(test))


def runs_alone(test) -> bool:
    """Whether a test must not run beside others."""
    return test.id().startswith(ALONE)


def discover(pattern="*.py"):
    """The tests in files of such a name."""
    return unittest.TestLoader().discover(str(TOP), pattern=pattern, top_level_dir=str(TOP.parent))


def main() -> int:
    """Run the test files, or those that match a pattern, or a shard of all as `--shard 2/8`.

    `--alone` runs the tests that no shard has.
    """
    everything = discover()
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    if sys.argv[1:2] == ["--shard"]:
        number, _, count = sys.argv[2].partition("/")
        suite = shard(everything, int(number), int(count))
    elif sys.argv[1:2] == ["--alone"]:
        suite = alone(everything)
    else:
        suite = discover(*sys.argv[1:2])
    passed, failed = judge(suite, text, ids_of(everything))
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed or not suite.countTestCases() else 0


if __name__ == "__main__":
    sys.exit(main())
