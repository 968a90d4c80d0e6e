"""Tests of the measures and stated outcomes of replays."""

import pathlib
import tempfile
import unittest

from sapphirepaddle import errors
from sapphirepaddle.replay import accounts, checks, outcomes, runner, trace

SAMPLES = pathlib.Path(__file__).parent.parent.parent / 'samples'


class TestExcess(unittest.TestCase):
    """The excess over rate and burst must be that of the worst time window.

    It is computed in a single pass, which could miss a window.
    """

    def test_agrees_with_every_window(self) -> None:
        """The single pass finds the same excess as a scan of all windows."""
        times = [0.0, 0.1, 0.1, 0.5, 0.9, 1.0, 1.0, 1.0, 3.0]
        largest = max(
            end - start + 1 - 2 * (times[end] - times[start]) - 3
            for start in range(len(times))
            for end in range(start, len(times))
        )
        self.assertAlmostEqual(checks.max_excess(times, 2, 3), largest)

    def test_exact_bucket(self) -> None:
        """Requests that an exact token bucket admits have no excess."""
        self.assertEqual(accounts.count_within_rate([0] * 10, 1, 4), 4)
        self.assertLessEqual(checks.max_excess([0.0] * 4, 1, 4), 0)
        self.assertGreater(checks.max_excess([0.0] * 5, 1, 4), 0)


class TestTrace(unittest.TestCase):
    """Malformed lines and unknown outcomes of a trace must be errors.

    If they were skipped, a replay would pass without sending or checking them.
    """

    def test_samples(self) -> None:
        """The sample traces are readable and state only known outcomes."""
        for name in ('brimweave', 'hejaz'):
            recorded_trace = trace.read(SAMPLES / name / 'trace.jsonl')
            outcomes.check_all(
                runner.EMPTY_MEASURES, recorded_trace.head.outcomes
            )
            self.assertGreater(len(recorded_trace.requests), 500)

    def test_malformed(self) -> None:
        """The error for a malformed line names its line number."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 't.jsonl'
            path.write_text('{"trace": "t", "seconds": 1}\n{"at": "x"}\n')
            with self.assertRaises(errors.TraceError) as caught:
                trace.read(path)
        self.assertIn(':2:', caught.exception.detail)

    def test_unknown_outcome(self) -> None:
        """An outcome without a check is refused, not ignored."""
        with self.assertRaises(errors.TraceError):
            outcomes.check_all(runner.EMPTY_MEASURES, {'most_magic': 1})


if __name__ == '__main__':
    unittest.main()
