"""Tests of matching executions with spent tokens."""

import pathlib
import tempfile
import unittest

from sapphirepaddle.replay import records
from tests.support import token_log


def execution(
    sending_id: str, at: float, account: str = 'guild'
) -> records.Execution:
    """Return the execution of a request at a time."""
    return records.Execution(
        identifier=sending_id,
        sending_id=sending_id,
        account=account,
        at=at,
        saw_key=False,
    )


class TestCountUnmatchedRuns(unittest.TestCase):
    """An execution without its own token must be reported.

    It shows that a daemon did not enforce the limits of the account.
    """

    def unmatched(
        self,
        executions: list[records.Execution],
        tokens: list[float],
        max_wait_seconds: float = 5,
    ) -> int:
        """Return the number of executions of one account without a token."""
        return token_log.count_unmatched_executions(
            executions, 'guild', tokens, max_wait_seconds
        )

    def test_each_run_after_its_token(self) -> None:
        executions = [execution('a', 1.0), execution('b', 3.5)]
        self.assertEqual(self.unmatched(executions, [0.9, 1.1]), 0)

    def test_token_after_the_run(self) -> None:
        executions = [execution('a', 1.0), execution('b', 1.1)]
        self.assertEqual(self.unmatched(executions, [0.9, 1.2]), 1)

    def test_delayed_requests_sent_together(self) -> None:
        executions = [
            execution('a', 9.0),
            execution('b', 9.1),
            execution('c', 9.2),
        ]
        tokens = [1.0, 3.0, 8.0]
        self.assertEqual(self.unmatched(executions, tokens), 2)

    def test_expired_token_is_skipped(self) -> None:
        executions = [execution('a', 6.0)]
        self.assertEqual(self.unmatched(executions, [0.5, 5.9]), 0)

    def test_no_tokens(self) -> None:
        executions = [execution('a', 1.0), execution('b', 1.1)]
        self.assertEqual(self.unmatched(executions, []), 2)

    def test_retried_request_counts_once(self) -> None:
        executions = [execution('a', 2.0), execution('a', 1.0)]
        self.assertEqual(self.unmatched(executions, [0.9]), 0)

    def test_other_accounts_are_ignored(self) -> None:
        executions = [execution('a', 1.0, 'weavers')]
        self.assertEqual(self.unmatched(executions, []), 0)


class TestRead(unittest.TestCase):
    """Tokens of an earlier trace in the same file must not count.

    All traces of a test share the file to which daemons write.
    """

    def test_earlier_lines_are_skipped(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'tokens'
            path.write_text('12.5 guild\n9.0 guild\n11.0 guild\n')
            times = token_log.read(path, 10)
        self.assertEqual(times, {'guild': [1.0, 2.5]})

    def test_no_file(self) -> None:
        path = pathlib.Path('absent')
        self.assertEqual(token_log.read(path, 0), {})
