"""Tests of the cost of late answers in the selection of targets."""

import unittest

from sapphirepaddle.proxy import forwarder
from sapphirepaddle.routing import lateness
from tests.support import load_replay

SEEDS = range(1, 9)


class TestLateProbability(unittest.TestCase):
    """The probability rises from 0 to 1 around the objective."""

    def test_bounds(self) -> None:
        self.assertEqual(lateness.late_probability(0, 0.6), 0)
        self.assertEqual(lateness.late_probability(0.3, 0.6), 0)
        self.assertEqual(lateness.late_probability(6, 0.6), 1)

    def test_rises_with_the_expected_time(self) -> None:
        probabilities = [
            lateness.late_probability(tenths / 10, 0.6) for tenths in range(12)
        ]
        self.assertEqual(probabilities, sorted(probabilities))


class TestBurst(unittest.TestCase):
    """Orders arrive at two and a half times their rate while targets fail.

    If a wait costs little beside a possible failure, orders queue at the few
    targets with recent good results until they are late, beside free targets
    about which little is known.
    """

    def replay(self, late_ratio: float) -> load_replay.Outcome:
        """Return the sum of the outcomes of all seeds."""
        outcomes = [
            load_replay.replay(load_replay.Load(), late_ratio, seed)
            for seed in SEEDS
        ]
        return load_replay.Outcome(
            in_time=sum(outcome.in_time for outcome in outcomes),
            late=sum(outcome.late for outcome in outcomes),
            failed=sum(outcome.failed for outcome in outcomes),
        )

    def test_more_answers_are_in_time(self) -> None:
        before = self.replay(late_ratio=0)
        after = self.replay(forwarder.LATE_COST_RATIO)
        self.assertGreater(after.in_time_share, before.in_time_share)
        self.assertLess(after.late, before.late)
