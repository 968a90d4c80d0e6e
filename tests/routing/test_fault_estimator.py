"""Estimation of the probability that a target is faulty."""

import unittest

from sapphirepaddle.routing import fault_estimator


class TestFaultEstimator(unittest.TestCase):
    """Results of one target update its fault probability.

    A probability that changes too slowly, or does not decay to the prior,
    keeps faulty targets in use or recovered ones out of use.
    """

    def test_starts_at_prior(self) -> None:
        self.assertEqual(
            fault_estimator.FaultEstimator().fault_probability(5),
            fault_estimator.PRIOR_FAULTY_RATIO,
        )

    def test_one_failure_outweighs_success(self) -> None:
        estimator = fault_estimator.FaultEstimator()
        estimator.record_result(is_good=True, now=10)
        estimator.record_result(is_good=False, now=10.1)
        self.assertGreater(estimator.fault_probability(10.1), 0.5)

    def test_successes_lower_probability(self) -> None:
        estimator = fault_estimator.FaultEstimator()
        estimator.record_result(is_good=False, now=10)
        for _ in range(4):
            estimator.record_result(is_good=True, now=10)
        self.assertLess(estimator.fault_probability(10), 0.1)

    def test_evidence_decays(self) -> None:
        estimator = fault_estimator.FaultEstimator()
        for _ in range(3):
            estimator.record_result(is_good=False, now=10)
        self.assertGreater(
            estimator.fault_probability(11), estimator.fault_probability(15)
        )
        self.assertAlmostEqual(
            estimator.fault_probability(100),
            fault_estimator.PRIOR_FAULTY_RATIO,
            3,
        )

    def test_time_before_last_update(self) -> None:
        estimator = fault_estimator.FaultEstimator()
        estimator.record_result(is_good=False, now=10)
        self.assertEqual(
            estimator.fault_probability(9), estimator.fault_probability(10)
        )
