"""Goals of the load balancing policy, on virtual time with fixed seeds."""

import dataclasses
import unittest

from bench import policy

MAX_DETECTION_SECONDS = 3
MIN_WORST_RATIO = 0.99
DAEMONS = 12


class TestPolicyGoals(unittest.TestCase):
    """The policy must meet its goals with twelve daemons."""

    def run_scenario(self, deployment: str, scenario: str) -> policy.Row:
        """Run one scenario and return its results."""
        return policy.measure(deployment, scenario, 'ours', DAEMONS)

    def test_fair_without_false_ejections(self) -> None:
        """No account is starved and no target ejected if all are healthy."""
        for deployment in ('brimweave', 'hejaz'):
            for scenario in ('calm', 'flood'):
                with self.subTest(deployment=deployment, scenario=scenario):
                    row = self.run_scenario(deployment, scenario)
                    self.assertGreaterEqual(row.worst_ratio, MIN_WORST_RATIO)
                    self.assertEqual(
                        (row.false_ejections, row.orders_run_twice), (0, 0)
                    )

    def test_gray_targets_are_excluded_in_time(self) -> None:
        """A gray target is excluded in 3 s and no healthy one is ejected."""
        for deployment in ('brimweave', 'hejaz'):
            for scenario in ('erring', 'stalling', 'slow'):
                with self.subTest(deployment=deployment, scenario=scenario):
                    row = self.run_scenario(deployment, scenario)
                    self.assertLessEqual(
                        row.detection_seconds, MAX_DETECTION_SECONDS
                    )
                    self.assertEqual(
                        (row.false_ejections, row.orders_run_twice), (0, 0)
                    )

    def test_same_seed_gives_same_row(self) -> None:
        """Two runs with the same seed have equal results."""
        rows = [self.run_scenario('hejaz', 'stalling') for _ in range(2)]
        self.assertEqual(*map(dataclasses.astuple, rows))


if __name__ == '__main__':
    unittest.main()
