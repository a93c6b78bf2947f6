"""Tests of worker health and shunning."""

from swiftdeck.gateway.health import SHUN_MOST_S, Judge
from tests.gateway.parts import SimCase, worker_registry


class JudgeTest(SimCase):
    def setUp(self):
        super().setUp()
        self.worker_registry = worker_registry("w1", "w2", "w3", "w4", "w5")
        self.workers = list(self.worker_registry.workers.values())
        self.reported = []
        self.judge = Judge(self.worker_registry, self.telemetry)
        self.judge.on_trouble = lambda worker, for_ms: self.reported.append((worker.name, for_ms))

    def good(self, workers=None):
        return self.within(lambda: [each.name for each in self.judge.good(workers or self.workers)])

    def test_certain_failures_shun_with_backoff_until_an_answer(self):
        worker, durations_s = self.workers[0], []
        for _ in range(6):
            self.within(lambda: self.judge.note_failure(worker))
            durations_s.append(worker.shunned_until_s - self.within(lambda: self.judge._now()))
        self.assertEqual(
            [round(duration_s, 1) for duration_s in durations_s],
            [0.6, 1.2, 2.4, SHUN_MOST_S, SHUN_MOST_S, SHUN_MOST_S],
        )
        self.assertEqual((self.good(), self.reported[0]), (["w2", "w3", "w4", "w5"], ("w1", 600)))
        self.within(lambda: self.judge.note_answer(worker))
        self.assertEqual((self.good(), worker.failures), (["w1", "w2", "w3", "w4", "w5"], 0))

    def test_shunning_ends_after_its_time(self):
        self.within(lambda: self.judge.note_failure(self.workers[0]))
        self.world.run(0.7)
        self.assertIn("w1", self.good())

    def test_at_most_half_of_the_workers_are_shunned(self):
        for count in range(1, 6):
            workers = self.workers[:count]
            for index, worker in enumerate(workers):
                self.within(lambda: self.judge.shun(worker, 5 - index / 10))
            self.assertEqual(len(self.good(workers)), (count + 1) // 2, count)
        self.assertEqual(self.good(), ["w5", "w4", "w3"])

    def test_slow_answers_shun_no_worker(self):
        for first_event_ms in [5000] * 50:
            self.within(lambda: self.judge.note_answer(self.workers[0], first_event_ms))
        self.assertEqual(self.good(), ["w1", "w2", "w3", "w4", "w5"])
        self.assertGreater(self.workers[0].first_event_ms, 4000)

    def test_three_uncertain_failures_in_a_row_shun_a_worker(self):
        worker = self.workers[0]
        for is_answer, is_shunned in (
            (False, False),
            (False, False),
            (True, False),
            (False, False),
            (False, False),
            (False, True),
        ):
            self.within(
                lambda: (
                    self.judge.note_answer(worker)
                    if is_answer
                    else self.judge.note_failure(worker, False)
                )
            )
            self.assertEqual("w1" not in self.good(), is_shunned)
