"""Tests of the table of workers."""

import unittest

from swiftdeck.gateway.worker_registry import WorkerRegistry
from tests.gateway.parts import listed


class WorkerRegistryTest(unittest.TestCase):
    def test_a_newer_list_replaces_listed_values_and_keeps_observed_ones(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1"), listed("w2")])
        worker = worker_registry.workers["w1"]
        worker.running, worker.failures = 3, 2
        worker_registry.learn(worker, {"m": 4})
        worker_registry.apply_list([listed("w1", draining=True, weights={"m": 2}), listed("w3")])
        self.assertIs(worker_registry.workers["w1"], worker)
        self.assertEqual(
            (worker.running, worker.failures, worker.knows("m"), worker.listed.draining),
            (3, 2, 4, True),
        )
        self.assertEqual(
            (sorted(worker_registry.workers), [each.name for each in worker_registry.serving("s")]),
            (["w1", "w3"], ["w3"]),
        )

    def test_versions_never_decrease_except_with_a_new_incarnation(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1", weights={"m": 3})])
        worker_registry.learn(worker_registry.workers["w1"], {"m": 2, "n": 1})
        self.assertEqual(
            [worker_registry.workers["w1"].knows(model) for model in ("m", "n", "x")], [3, 1, 0]
        )
        worker_registry.apply_list([listed("w1-again", weights={"m": 1})])
        self.assertEqual(worker_registry.workers["w1-again"].knows("m"), 1)

    def test_a_wrong_version_is_unknown_until_a_newer_list(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1", weights={"m": 3, "n": 1})])
        worker = worker_registry.workers["w1"]
        worker_registry.forget_version(worker, "m")
        self.assertEqual([worker.knows(model) for model in ("m", "n")], [0, 1])
        worker_registry.apply_list([listed("w1", weights={"m": 4, "n": 1})])
        self.assertEqual(worker.knows("m"), 4)

    def test_a_wrong_version_gives_way_to_the_listed_one(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1", weights={"m": 3})])
        worker = worker_registry.workers["w1"]
        worker_registry.learn(worker, {"m": 4})
        worker_registry.forget_version(worker, "m")
        self.assertEqual(worker.knows("m"), 3)

    def test_watchers_are_notified_of_added_and_removed_workers(self):
        worker_registry, notified = WorkerRegistry(), []
        worker_registry.watchers.append(lambda: notified.append(sorted(worker_registry.workers)))
        for names in (["w1"], ["w1"], ["w2"], []):
            worker_registry.apply_list([listed(name) for name in names])
        self.assertEqual(notified, [["w1"], ["w2"], []])

    def test_a_dropped_worker_serves_nothing(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1"), listed("w2")])
        worker_registry.drop("w1")
        worker_registry.drop("w1")
        self.assertEqual(
            ([each.name for each in worker_registry.serving("s")], worker_registry.serving("none")),
            (["w2"], []),
        )
