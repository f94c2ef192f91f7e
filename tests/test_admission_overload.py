"""The heaviest loads, replayed on the virtual clock with and without a mechanism."""

import statistics
import tempfile
import unittest
from pathlib import Path

from attrs import evolve
from returns.result import Failure

from benchmarks.overload import Score, score
from benchmarks.overload_load import LOADS, named_load, read_load
from benchmarks.overload_world import Mechanisms, build_world
from catkinslip.admission.waiting import AdmissionSettings
from catkinslip.routing.sample import SAMPLE_SIZE

SEEDS = (1, 2, 3)
#: Sample size above the number of servers in any load.
ALL_SERVERS = 100_000
#: Seeds for mechanisms that make less of a difference.
MORE_SEEDS = (1, 2, 3, 4, 5, 6)
USUAL = AdmissionSettings()


def play(
    name: str, settings: AdmissionSettings = USUAL, seeds: tuple[int, ...] = SEEDS
) -> Score:
    """Return the means of a load over the seeds."""
    load = named_load(name)
    scores = [score(build_world(load, seed, settings).run()) for seed in seeds]
    return Score(
        *(
            statistics.mean(getattr(each, figure) for each in scores)
            for figure in ('total', 'all', 'windows', 'worst_kind', 'served')
        )
    )


class ReturningCrowdTest(unittest.TestCase):
    """More calls than the servers can answer, and callers that return."""

    def test_fresh_calls_are_in_time_though_late_ones_come_back(self):
        with_spent, without = (
            play('rush'),
            play('rush', evolve(USUAL, counts_spent=False)),
        )
        self.assertGreater(with_spent.all, without.all + 0.03)
        self.assertGreater(with_spent.windows, without.windows + 0.02)
        self.assertGreater(with_spent.worst_kind, without.worst_kind + 0.03)

    def test_callers_come_back_when_the_rush_may_be_over(self):
        usual = play('returning', seeds=MORE_SEEDS)
        at_once = play('returning', evolve(USUAL, late_retry_share=0.0), MORE_SEEDS)
        self.assertGreater(usual.windows, at_once.windows + 0.01)


class ManyServersTest(unittest.TestCase):
    """Hundreds of servers, most of which have room."""

    def test_a_sample_is_as_good_as_all_and_a_small_one_is_not(self):
        def total(sample_size: int) -> float:
            mechanisms = Mechanisms(sample_size=sample_size)
            world = build_world(named_load('many'), 1, USUAL, mechanisms=mechanisms)
            return score(world.run()).total

        usual = total(SAMPLE_SIZE)
        self.assertGreater(usual, total(ALL_SERVERS) - 0.01)
        self.assertGreater(usual, total(SAMPLE_SIZE // 2) + 0.01)


class SeedTest(unittest.TestCase):
    """The dependence of a run on its seed."""

    def test_same_seed_gives_the_same_run(self):
        load = named_load('returning')
        first, again = (
            [(each.asked_at, each.ended_at, each.outcome) for each in requests]
            for requests in (build_world(load, 1, USUAL).run() for _ in range(2))
        )
        self.assertEqual(first, again)


class LoadFileTest(unittest.TestCase):
    """The error messages for a load that cannot be played."""

    def read(self, text: str) -> str:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'wrong.toml'
            path.write_text(text)
            outcome = read_load(path)
        self.assertIsInstance(outcome, Failure)
        return '\n'.join(outcome.failure())

    def test_every_mistake_is_reported_with_its_location(self):
        text = (LOADS / 'rush.toml').read_text()
        text = text.replace('kind = "dark"', 'kind = "darkness"')
        text = text.replace('service = "till"', 'service = "tills"')
        mistakes = self.read(text)
        self.assertIn("no kind 'darkness'", mistakes)
        self.assertIn("no service 'tills' @ $.kinds[2].service", mistakes)
        self.assertIn("no service 'tills' @ $.kinds[3].service", mistakes)

    def test_wrong_types_are_reported_with_their_locations(self):
        text = (LOADS / 'rush.toml').read_text()
        mistakes = self.read(text.replace('seconds = 23.0', 'seconds = "long"', 1))
        self.assertIn('$.seconds', mistakes)

    def test_invalid_toml_is_reported(self):
        self.assertIn('wrong.toml', self.read('name ='))


if __name__ == '__main__':
    unittest.main()
