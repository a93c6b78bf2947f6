"""Tests of the table of workers."""

import unittest

from swiftdeck.gateway.worker_registry import WorkerRegistry
from tests.gateway.parts import listed


class WorkerRegistryTest(unittest.TestCase):
    def test_a_newer_list_replaces_what_the_list_says_and_keeps_what_was_heard(self):
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

    def test_versions_of_one_life_only_go_up_and_a_new_life_begins_anew(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1", weights={"m": 3})])
        worker_registry.learn(worker_registry.workers["w1"], {"m": 2, "n": 1})
        self.assertEqual(
            [worker_registry.workers["w1"].knows(model) for model in ("m", "n", "x")], [3, 1, 0]
        )
        worker_registry.apply_list([listed("w1-again", weights={"m": 1})])
        self.assertEqual(worker_registry.workers["w1-again"].knows("m"), 1)

    def test_a_version_that_was_wrong_is_forgotten_until_the_list_tells_it_again(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1", weights={"m": 3, "n": 1})])
        worker = worker_registry.workers["w1"]
        worker_registry.forget_version(worker, "m")
        self.assertEqual([worker.knows(model) for model in ("m", "n")], [0, 1])
        worker_registry.apply_list([listed("w1", weights={"m": 4, "n": 1})])
        self.assertEqual(worker.knows("m"), 4)

    def test_a_version_that_was_wrong_gives_way_to_what_the_list_says(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1", weights={"m": 3})])
        worker = worker_registry.workers["w1"]
        worker_registry.learn(worker, {"m": 4})
        worker_registry.forget_version(worker, "m")
        self.assertEqual(worker.knows("m"), 3)

    def test_watchers_hear_of_who_comes_and_goes(self):
        worker_registry, heard = WorkerRegistry(), []
        worker_registry.watchers.append(lambda: heard.append(sorted(worker_registry.workers)))
        for names in (["w1"], ["w1"], ["w2"], []):
            worker_registry.apply_list([listed(name) for name in names])
        self.assertEqual(heard, [["w1"], ["w2"], []])

    def test_a_life_that_is_known_to_have_ended_serves_nothing(self):
        worker_registry = WorkerRegistry()
        worker_registry.apply_list([listed("w1"), listed("w2")])
        worker_registry.drop("w1")
        worker_registry.drop("w1")
        self.assertEqual(
            ([each.name for each in worker_registry.serving("s")], worker_registry.serving("none")),
            (["w2"], []),
        )
