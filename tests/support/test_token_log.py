"""Runs are matched with spent tokens."""

import pathlib
import tempfile
import unittest

from sapphirepaddle.replay import records
from tests.support import token_log


def run(sending: str, at: float, account: str = 'guild') -> records.Execution:
    """Return a run of a sending."""
    return records.Execution(
        identifier=sending,
        sending_id=sending,
        account=account,
        at=at,
        saw_key=False,
    )


class TestUnmatched(unittest.TestCase):
    """Runs without a token of their own."""

    def unmatched(
        self,
        runs: list[records.Execution],
        tokens: list[float],
        patience: float = 5,
    ) -> int:
        """Return the runs of one account without a token."""
        return token_log.count_unmatched_runs(runs, 'guild', tokens, patience)

    def test_each_after_its_token(self) -> None:
        runs = [run('a', 1.0), run('b', 3.5)]
        self.assertEqual(self.unmatched(runs, [0.9, 1.1]), 0)

    def test_a_token_that_comes_too_late(self) -> None:
        runs = [run('a', 1.0), run('b', 1.1)]
        self.assertEqual(self.unmatched(runs, [0.9, 1.2]), 1)

    def test_requests_held_back_and_sent_together(self) -> None:
        runs = [run('a', 9.0), run('b', 9.1), run('c', 9.2)]
        tokens = [1.0, 3.0, 8.0]
        self.assertEqual(self.unmatched(runs, tokens), 2)

    def test_an_unused_token_is_passed_over(self) -> None:
        runs = [run('a', 6.0)]
        self.assertEqual(self.unmatched(runs, [0.5, 5.9]), 0)

    def test_no_tokens(self) -> None:
        runs = [run('a', 1.0), run('b', 1.1)]
        self.assertEqual(self.unmatched(runs, []), 2)

    def test_sent_again(self) -> None:
        runs = [run('a', 2.0), run('a', 1.0)]
        self.assertEqual(self.unmatched(runs, [0.9]), 0)

    def test_another_account(self) -> None:
        runs = [run('a', 1.0, 'weavers')]
        self.assertEqual(self.unmatched(runs, []), 0)


class TestRead(unittest.TestCase):
    """The file of tokens."""

    def test_lines_from_a_time(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'tokens'
            path.write_text('12.5 guild\n9.0 guild\n11.0 guild\n')
            times = token_log.read(path, 10)
        self.assertEqual(times, {'guild': [1.0, 2.5]})

    def test_no_file(self) -> None:
        path = pathlib.Path('absent')
        self.assertEqual(token_log.read(path, 0), {})
