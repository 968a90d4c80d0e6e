"""Tests of the estimated request rate."""

import unittest

from sapphirepaddle.routing import request_rate


class TestRequestRate(unittest.TestCase):
    """The estimate must follow counts that arrive in batches.

    A rate that is estimated too low makes other zones send too often.
    """

    def test_steady_reports_give_their_rate(self) -> None:
        rate = request_rate.RequestRate(0)
        for report in range(1, 31):
            rate.record(20, report * 2)
        self.assertAlmostEqual(rate.read(61), 10, delta=1)

    def test_rate_falls_without_requests(self) -> None:
        rate = request_rate.RequestRate(0)
        rate.record(60, 0)
        self.assertEqual(rate.read(0), 10)
        self.assertLess(rate.read(request_rate.AVERAGING_SECONDS), 4)
