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
    def test_a_hang_up_during_the_start_is_passed_over_before_anything_large_is_imported(self):
        ran = subprocess.run(
            [sys.executable, "-c", PRINT_HANDLING], capture_output=True, text=True, timeout=30
        )
        self.assertEqual((ran.stdout.split(), ran.returncode), (["True", "False"], 2))

    def test_a_role_that_there_is_not_is_refused(self):
        ran = subprocess.run(
            [sys.executable, "-m", "swiftdeck.platform.program", "none"],
            capture_output=True,
            text=True,
            timeout=30,
        )
        self.assertEqual(ran.returncode, 2)
        self.assertIn("say router or core", ran.stderr)
