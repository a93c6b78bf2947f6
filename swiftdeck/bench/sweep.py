"""Sweeps of simulated runs over scenarios and seeds, each run in a process of its own."""

import json
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from swiftdeck.bench.measure import MEASURES
from swiftdeck.sim.faults.scenarios import EXPECTED_COUNTERS, unexercised
from swiftdeck.sim.storm import Storm

SEEDS_TO_EXERCISE = 8
RUNS_SHOWN = 5
SUMMED = ("faults", "returns", "served", "runs")


def run_measure(work):
    """The rows of one measurement under one seed."""
    name, seed = work
    return list(MEASURES[name](seed))


def run_storm(work):
    """One seed of a scenario: what came of it, and its faults."""
    storm = Storm(*work)
    try:
        return storm.run(), storm.trace
    except Exception:
        breaches = {"crashed": traceback.format_exc()[-1500:]}
        return {"seed": work[1], "breaches": breaches}, storm.trace


class Sweep:
    """Runs scenarios under some seeds and sums what came of them."""

    def __init__(self, names, seeds, seconds):
        self.names, self.seeds = names, seeds
        self.work = [(name, seed, seconds) for name in names for seed in seeds]
        self.broken, self.sums = 0, Counter()
        self.counters = {name: Counter() for name in names}

    def run(self, jobs, trace, show):
        """Run all, some at a time, and show lines of JSON; with `trace` also each fault."""
        with ProcessPoolExecutor(jobs) as pool:
            results = pool.map(run_storm, self.work)
            for (name, _, _), (result, faults) in zip(self.work, results, strict=False):
                self._take(name, result)
                if result["breaches"] or trace or len(self.work) <= RUNS_SHOWN:
                    show(json.dumps({"scenario": name} | result))
                for at_s, text in faults if trace else []:
                    show(f"  {at_s} {text}")
        show(json.dumps({"seeds": len(self.work), "broken": self.broken} | self.sums))
        for name in self._exercised_names():
            acts = {each: self.counters[name][each] for each in EXPECTED_COUNTERS[name]}
            show(json.dumps({"scenario": name, "acts": acts}))

    def is_clean(self):
        """Whether no rule was broken and each scenario exercised what it is there for."""
        return not self.broken and not any(
            unexercised(name, self.counters[name]) for name in self._exercised_names()
        )

    def _take(self, name, result):
        self.broken += bool(result["breaches"])
        self.counters[name].update(result.pop("acts", {}))
        self.sums.update({key: result.get(key, 0) for key in SUMMED})

    def _exercised_names(self):
        """Scenarios that ran under enough seeds to ask what they exercised."""
        return self.names if len(self.seeds) >= SEEDS_TO_EXERCISE else []
