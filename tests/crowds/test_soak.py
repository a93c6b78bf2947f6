"""A short soak with crowds beside its other troubles."""

import asyncio
import tempfile
import unittest

from swiftdeck.programs.loop import BootLoop
from swiftdeck.soak.run import Soak, SoakSize
from swiftdeck.soak.traffic import TrafficSize

SEED = 48
SIZE = SoakSize(seconds=20.0, traffic=TrafficSize(4.0, 4, 2), slack=3.0, crowds=True)


class CrowdSoakTest(unittest.TestCase):
    def test_a_site_under_troubles_and_crowds_breaks_no_rule(self):
        lines, folder = [], self.enterContext(tempfile.TemporaryDirectory())
        soak = Soak(SEED, folder, SIZE, say=lines.append)
        with asyncio.Runner(loop_factory=BootLoop) as runner:
            verdict = runner.run(soak.run())
        self.assertTrue(verdict.is_clean(), "\n".join([verdict.line(), str(verdict), *lines]))


if __name__ == "__main__":
    unittest.main()
