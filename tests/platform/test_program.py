"""Tests of the programs that the platform starts."""

import subprocess
import sys
import unittest

PRINT_HANDLING = """
import signal, sys
from swiftdeck.platform import program

def makers():
    print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN, "h11" in sys.modules, flush=True)
    return {}

sys.argv = ["program", "router"]
sys.exit(program.main(makers))
"""


class ProgramTest(unittest.TestCase):
    def test_sighup_is_ignored_before_slow_imports(self):
        result = subprocess.run(
            [sys.executable, "-c", PRINT_HANDLING], capture_output=True, text=True, timeout=30
        )
        self.assertEqual((result.stdout.split(), result.returncode), (["True", "False"], 2))

    def test_an_unknown_role_is_refused(self):
        result = subprocess.run(
            [sys.executable, "-m", "swiftdeck.platform.program", "none"],
            capture_output=True,
            text=True,
            timeout=30,
        )
        self.assertEqual(result.returncode, 2)
        self.assertIn("say router or core", result.stderr)
