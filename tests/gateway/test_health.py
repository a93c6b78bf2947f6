"""Tests of the judgement on workers."""

from swiftdeck.gateway.health import SHUN_MOST_S, Judge
from tests.gateway.parts import SimCase, worker_registry


class JudgeTest(SimCase):
    def setUp(self):
        super().setUp()
        self.worker_registry = worker_registry("w1", "w2", "w3", "w4", "w5")
        self.workers = list(self.worker_registry.workers.values())
        self.told = []
        self.judge = Judge(self.worker_registry, self.telemetry)
        self.judge.on_trouble = lambda worker, for_ms: self.told.append((worker.name, for_ms))

    def good(self, workers=None):
        return self.within(lambda: [each.name for each in self.judge.good(workers or self.workers)])

    def test_a_sure_failure_shuns_for_longer_each_time_and_an_answer_ends_it(self):
        first, lengths = self.workers[0], []
        for _ in range(6):
            self.within(lambda: self.judge.note_failure(first))
            lengths.append(first.shunned_until_s - self.within(lambda: self.judge._now()))
        self.assertEqual(
            [round(each, 1) for each in lengths],
            [0.6, 1.2, 2.4, SHUN_MOST_S, SHUN_MOST_S, SHUN_MOST_S],
        )
        self.assertEqual((self.good(), self.told[0]), (["w2", "w3", "w4", "w5"], ("w1", 600)))
        self.within(lambda: self.judge.note_answer(first))
        self.assertEqual((self.good(), first.failures), (["w1", "w2", "w3", "w4", "w5"], 0))

    def test_time_ends_it_too(self):
        self.within(lambda: self.judge.note_failure(self.workers[0]))
        self.world.run(0.7)
        self.assertIn("w1", self.good())

    def test_never_more_than_half_are_shunned(self):
        for count in range(1, 6):
            workers = self.workers[:count]
            for at, worker in enumerate(workers):
                self.within(lambda: self.judge.shun(worker, 5 - at / 10))
            self.assertEqual(len(self.good(workers)), (count + 1) // 2, count)
        self.assertEqual(self.good(), ["w5", "w4", "w3"])

    def test_slowness_alone_shuns_nobody(self):
        for first_event_ms in [5000] * 50:
            self.within(lambda: self.judge.note_answer(self.workers[0], first_event_ms))
        self.assertEqual(self.good(), ["w1", "w2", "w3", "w4", "w5"])
        self.assertGreater(self.workers[0].first_event_ms, 4000)

    def test_doubtful_failures_count_when_three_come_in_a_row(self):
        first = self.workers[0]
        for answers, shunned in (
            (False, False),
            (False, False),
            (True, False),
            (False, False),
            (False, False),
            (False, True),
        ):
            self.within(
                lambda: (
                    self.judge.note_answer(first)
                    if answers
                    else self.judge.note_failure(first, False)
                )
            )
            self.assertEqual("w1" not in self.good(), shunned)
