"""Runs all tests of the project and prints the verdict last."""
import os
import sys
import unittest
from pathlib import Path


def main() -> int:
    """Run every test file of the package; gives the exit status."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "swiftdeck.programs.tests", *sys.argv[1:]])
    top = Path(__file__).resolve().parent.parent
    pattern = sys.argv[1] if len(sys.argv) > 1 else "*.py"
    suite = unittest.TestLoader().discover(str(top), pattern=pattern, top_level_dir=str(top.parent))
    got = unittest.TextTestRunner(stream=sys.stdout, verbosity=1, durations=None).run(suite) if sys.version_info >= (3, 12) \
        else unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(suite)
    failed = len(got.failures) + len(got.errors) + len(got.unexpectedSuccesses)
    print(f"{got.testsRun - failed - len(got.skipped)} passed, {failed} failed", flush=True)
    return 1 if failed or not got.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
