"""Tests of what excuses a planned stop that took longer than its grace."""

import unittest
from types import SimpleNamespace

from swiftdeck.soak.troubles import EVERY_MACHINE, Troubles

ROUTER, OTHER, BEGIN_MS, END_MS = "router1", "router2", 10000, 18000


class LateStopTest(unittest.TestCase):
    def stuck(self, *noted):
        parts = SimpleNamespace(cores=[], routers=[])
        made = Troubles(parts, parts, parts, parts, lambda who: None, lambda: 0)
        made.late_stops.append((ROUTER, BEGIN_MS, END_MS))
        made.noted += [[*each, "process"] for each in noted]
        return made.stuck()

    def test_a_late_stop_is_found(self):
        self.assertEqual(self.stuck(), [f"{ROUTER} did not end within its grace"])
        self.assertTrue(self.stuck((OTHER, BEGIN_MS, END_MS)))
        self.assertTrue(self.stuck((ROUTER, BEGIN_MS - 2000, BEGIN_MS - 1000)))
        self.assertTrue(self.stuck((EVERY_MACHINE, END_MS + 1, END_MS + 2000)))

    def test_trouble_there_or_of_all_machines_meanwhile_explains_it(self):
        self.assertEqual(self.stuck((ROUTER, BEGIN_MS + 100, BEGIN_MS + 200)), [])
        self.assertEqual(self.stuck((ROUTER, BEGIN_MS - 2000, BEGIN_MS + 1)), [])
        self.assertEqual(self.stuck((EVERY_MACHINE, END_MS - 500, END_MS + 500)), [])


if __name__ == "__main__":
    unittest.main()
