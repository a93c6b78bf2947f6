"""Tests of `traffic/workers.py`."""

import unittest

from swiftdeck.traffic.workers import WorkerList


class WorkerListTest(unittest.TestCase):
    def test_malformed_lists_are_refused(self):
        from swiftdeck.runtime.telemetry import Telemetry
        from swiftdeck.wire.mesh import Mesh

        worker_list = WorkerList("", Mesh("10.0.0.1:1"), None, Telemetry())
        worker_list._apply_list(b'{"workers":[{"name":"a","addr":"10.0.0.9:80","model":"m"}]}', 1.0)
        worker_list._apply_list(b'{"workers":[{"name":"a"}]}', 2.0)
        worker_list._apply_list(b"[]", 3.0)
        self.assertEqual(
            (
                list(worker_list.workers),
                worker_list.read_s,
                worker_list.telemetry.count["listsMalformed"],
            ),
            (["a"], 1.0, 2),
        )
