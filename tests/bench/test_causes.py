"""Tests of the table of causes."""

import unittest

import orjson

from bench import causes


def line(at: float, event: str, **fields: object) -> str:
    """Return a line of a log."""
    text = orjson.dumps({'event': event, 'request': 'r'} | fields).decode()
    return f'{at:9.4f} vm-1 {text}\n'


class TestCauses(unittest.TestCase):
    """Each request must be counted once, by what ended it."""

    def cause(self, *rows: str) -> str:
        """Return the cause of one request."""
        lines = [parsed for row in rows if (parsed := causes.parse_line(row))]
        counts = causes.count_causes(lines, 2)
        self.assertEqual(len(counts), 1)
        (counter,) = counts.values()
        self.assertEqual(counter.total(), 1)
        return next(iter(counter))

    def test_served(self) -> None:
        self.assertEqual(
            self.cause(
                line(1, 'attempt', reason='200'),
                line(1.1, 'answer', status=200),
            ),
            'served',
        )

    def test_turned_away(self) -> None:
        self.assertEqual(
            self.cause(
                line(1, 'attempt', reason='refused 503'),
                line(1.1, 'attempt', reason='refused 503'),
                line(1.2, 'refusal', code='no-target'),
                line(1.2, 'answer', status=503),
            ),
            'no-target, turned away 2 times',
        )

    def test_lost_answer(self) -> None:
        self.assertEqual(
            self.cause(
                line(1, 'attempt', reason='ConnectionResetError: [Errno 104]'),
                line(1.2, 'refusal', code='answer-broken'),
                line(1.2, 'answer', status=502),
            ),
            'answer-broken, ConnectionResetError',
        )

    def test_failure_of_a_target_and_quota(self) -> None:
        self.assertEqual(
            self.cause(line(1.2, 'answer', status=500)),
            'status 500 of a target',
        )
        self.assertEqual(
            self.cause(
                line(1.2, 'refusal', code='over-rate'),
                line(1.2, 'answer', status=429),
            ),
            'over-rate',
        )

    def test_disconnected(self) -> None:
        self.assertEqual(
            self.cause(line(1, 'cut', seconds=0.2)),
            'caller disconnected or no answer logged',
        )

    def test_other_lines_are_skipped(self) -> None:
        for row in ('', 'worth 0.550 = whole day', '1.0 vm-1 {', 'x vm-1 {}'):
            self.assertIsNone(causes.parse_line(row))
