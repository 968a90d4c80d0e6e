"""Tests of the headers that are forwarded."""

import unittest

from sapphirepaddle.gateway import headers


class TestAnswerHeaders(unittest.TestCase):
    """A target must not speak for the daemon.

    Callers read from these headers whether their request ran; a faulty target
    could promise that it did not.
    """

    def test_statements_of_the_daemon_are_not_taken_from_targets(self) -> None:
        forwarded = headers.filter_answer_headers(
            [
                ('X-Run', 'not run'),
                ('X-Result-Code', '3012'),
                ('X-Replayed', '1'),
                ('X-Not-Run', '1'),
                ('X-Other', 'kept'),
            ]
        )
        names = {name for name, _ in forwarded}
        self.assertEqual(names, {b'x-other', b'via'})
