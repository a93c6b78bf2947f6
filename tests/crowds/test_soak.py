"""A short soak with crowds beside its other troubles."""

import asyncio
import tempfile
import unittest

from swiftdeck.programs.loop import BootLoop
from swiftdeck.soak.run import Soak, SoakSize
from swiftdeck.soak.traffic import TrafficSize

SEED, SEED_OF_REQUESTS_TO_CORES = 48, 115
SIZE = SoakSize(seconds=20.0, traffic=TrafficSize(4.0, 4, 2), slack=3.0, crowds=True)


class CrowdSoakTest(unittest.TestCase):
    def run_soak(self, seed):
        """Run a soak; check that nothing was found."""
        lines, folder = [], self.enterContext(tempfile.TemporaryDirectory())
        soak = Soak(seed, folder, SIZE, say=lines.append)
        with asyncio.Runner(loop_factory=BootLoop) as runner:
            verdict = runner.run(soak.run())
        self.assertTrue(verdict.is_clean(), "\n".join([verdict.line(), str(verdict), *lines]))

    def test_a_site_under_troubles_and_crowds_breaks_no_rule(self):
        self.run_soak(SEED)

    def test_cores_agree_while_crowds_ask_them_without_end(self):
        self.run_soak(SEED_OF_REQUESTS_TO_CORES)


if __name__ == "__main__":
    unittest.main()
