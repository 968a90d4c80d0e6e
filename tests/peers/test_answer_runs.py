"""Tests of the times at which the source is known to have answered."""

import itertools
import unittest

from sapphirepaddle.peers import answer_runs

GAP = answer_runs.MAX_ANSWER_GAP_SECONDS


class TestAnswerRuns(unittest.TestCase):
    """Reports arrive late and in any order; the runs must be the same.

    A missed gap removes targets whose entries only lapsed; one that is
    seen where there was none keeps targets that have left.
    """

    def record(self, *runs: tuple[float, float]) -> list[tuple[float, float]]:
        """Record runs and return the resulting ones."""
        recorder = answer_runs.AnswerRuns()
        for run in runs:
            recorder.record(*run)
        return [(run.start, run.end) for run in recorder.runs]

    def test_no_answer(self) -> None:
        self.assertIsNone(answer_runs.AnswerRuns().newest)

    def test_answers_within_the_gap_are_one_run(self) -> None:
        self.assertEqual(self.record((0, 0), (GAP, GAP)), [(0, GAP)])

    def test_longer_gap_starts_a_run(self) -> None:
        self.assertEqual(
            self.record((0, 1), (1.1 + GAP, 9)), [(0, 1), (1.1 + GAP, 9)]
        )

    def test_late_report_closes_a_gap(self) -> None:
        self.assertEqual(self.record((0, 10), (20, 21), (5, 19)), [(0, 21)])

    def test_late_report_leaves_a_gap(self) -> None:
        self.assertEqual(
            self.record((0, 10), (30, 31), (18, 20)),
            [(0, 10), (18, 20), (30, 31)],
        )

    def test_old_report_changes_nothing(self) -> None:
        self.assertEqual(
            self.record((0, 10), (20, 30), (2, 3)), [(0, 10), (20, 30)]
        )

    def test_order_of_reports_does_not_matter(self) -> None:
        reports = [(0, 2), (4, 6), (12, 12), (14, 15), (40, 41)]
        for order in itertools.permutations(reports):
            self.assertEqual(self.record(*order), [(0, 6), (12, 15), (40, 41)])

    def test_number_of_runs_is_bounded(self) -> None:
        runs = [(10.0 * number, 10.0 * number) for number in range(100)]
        self.assertEqual(self.record(*runs), runs[-answer_runs.MAX_RUNS :])
