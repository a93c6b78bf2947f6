"""Tests of which troubles excuse a planned stop that exceeded its grace."""

import unittest
from types import SimpleNamespace

from swiftdeck.soak.troubles import EVERY_MACHINE, Troubles

ROUTER, OTHER, BEGIN_MS, END_MS = "router1", "router2", 10000, 18000


class LateStopTest(unittest.TestCase):
    def unexplained_late_stops(self, *noted):
        empty_part = SimpleNamespace(cores=[], routers=[])
        troubles = Troubles(
            empty_part, empty_part, empty_part, empty_part, lambda who: None, lambda: 0
        )
        troubles.late_stops.append((ROUTER, BEGIN_MS, END_MS))
        troubles.noted += [[*period, "process"] for period in noted]
        return troubles.unexplained_late_stops()

    def test_an_unexplained_late_stop_is_reported(self):
        self.assertEqual(self.unexplained_late_stops(), [f"{ROUTER} did not end within its grace"])
        self.assertTrue(self.unexplained_late_stops((OTHER, BEGIN_MS, END_MS)))
        self.assertTrue(self.unexplained_late_stops((ROUTER, BEGIN_MS - 2000, BEGIN_MS - 1000)))
        self.assertTrue(self.unexplained_late_stops((EVERY_MACHINE, END_MS + 1, END_MS + 2000)))

    def test_trouble_of_the_machine_or_of_all_machines_excuses_a_late_stop(self):
        self.assertEqual(self.unexplained_late_stops((ROUTER, BEGIN_MS + 100, BEGIN_MS + 200)), [])
        self.assertEqual(self.unexplained_late_stops((ROUTER, BEGIN_MS - 2000, BEGIN_MS + 1)), [])
        self.assertEqual(
            self.unexplained_late_stops((EVERY_MACHINE, END_MS - 500, END_MS + 500)), []
        )


if __name__ == "__main__":
    unittest.main()
