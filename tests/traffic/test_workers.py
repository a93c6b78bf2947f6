"""Tests of `traffic/workers.py`."""

import unittest

from swiftdeck.traffic.workers import WorkerList


class WorkerListTest(unittest.TestCase):
    def test_lists_that_do_not_read_are_refused(self):
        from swiftdeck.runtime.telemetry import Telemetry
        from swiftdeck.wire.mesh import Mesh

        table = WorkerList("", Mesh("10.0.0.1:1"), None, Telemetry())
        table._take(b'{"workers":[{"name":"a","addr":"10.0.0.9:80","model":"m"}]}', 1.0)
        table._take(b'{"workers":[{"name":"a"}]}', 2.0)
        table._take(b"[]", 3.0)
        self.assertEqual(
            (list(table.workers), table.read_s, table.telemetry.count["listsMalformed"]),
            (["a"], 1.0, 2),
        )
