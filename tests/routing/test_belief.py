"""How likely a target is faulty."""

import unittest

from sapphirepaddle.routing import fault_estimator


class TestBelief(unittest.TestCase):
    """Results of one target."""

    def test_starts_at_the_usual_share(self) -> None:
        self.assertEqual(
            fault_estimator.FaultEstimator().fault_probability(5),
            fault_estimator.PRIOR_FAULTY_RATIO,
        )

    def test_one_failure_weighs_much(self) -> None:
        held = fault_estimator.FaultEstimator()
        held.record_result(is_good=True, now=10)
        held.record_result(is_good=False, now=10.1)
        self.assertGreater(held.fault_probability(10.1), 0.5)

    def test_successes_clear(self) -> None:
        held = fault_estimator.FaultEstimator()
        held.record_result(is_good=False, now=10)
        for _ in range(4):
            held.record_result(is_good=True, now=10)
        self.assertLess(held.fault_probability(10), 0.1)

    def test_evidence_loses_weight(self) -> None:
        held = fault_estimator.FaultEstimator()
        for _ in range(3):
            held.record_result(is_good=False, now=10)
        self.assertGreater(
            held.fault_probability(11), held.fault_probability(15)
        )
        self.assertAlmostEqual(
            held.fault_probability(100), fault_estimator.PRIOR_FAULTY_RATIO, 3
        )

    def test_clock_that_stands_still(self) -> None:
        held = fault_estimator.FaultEstimator()
        held.record_result(is_good=False, now=10)
        self.assertEqual(held.fault_probability(9), held.fault_probability(10))
