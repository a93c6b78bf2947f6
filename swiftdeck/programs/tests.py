"""Runs the test runner, which is next to the package in a checkout."""

import os
import sys
from pathlib import Path


def main() -> int:
    """Replace this process with the test runner; return only if the tests are not installed.

    PYTHONHASHSEED is fixed so that sets have the same order in all runs.
    """
    root = Path(__file__).resolve().parent.parent.parent
    if not (root / "tests" / "runner.py").exists():
        print("the tests are not installed with the package: run them from the root of a checkout")
        print("0 passed, 1 failed")
        return 1
    os.chdir(root)
    os.environ["PYTHONHASHSEED"] = "0"
    os.execv(sys.executable, [sys.executable, "-m", "tests.runner", *sys.argv[1:]])


if __name__ == "__main__":
    sys.exit(main())
