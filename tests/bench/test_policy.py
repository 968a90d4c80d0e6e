"""Goals of the policy, on virtual time with fixed seeds."""

import dataclasses
import unittest

from bench import policy

MOST_DETECTION_SECONDS = 3
LEAST_WORST = 0.99
DAEMONS = 12


class TestGoals(unittest.TestCase):
    """The goals hold at a dozen daemons."""

    def run_scenario(self, deployment: str, scenario: str) -> policy.Row:
        """Run one scenario."""
        return policy.measure(deployment, scenario, 'ours', DAEMONS)

    def test_fair_without_false_ejections(self) -> None:
        """In calm and flood nobody is crowded out and nothing ejected."""
        for deployment in ('brimweave', 'hejaz'):
            for scenario in ('calm', 'flood'):
                with self.subTest(deployment=deployment, scenario=scenario):
                    row = self.run_scenario(deployment, scenario)
                    self.assertGreaterEqual(row.worst_ratio, LEAST_WORST)
                    self.assertEqual(
                        (row.false_ejections, row.orders_run_twice), (0, 0)
                    )

    def test_detection(self) -> None:
        """Gray targets are excluded in time."""
        for deployment in ('brimweave', 'hejaz'):
            for scenario in ('erring', 'stalling', 'slow'):
                with self.subTest(deployment=deployment, scenario=scenario):
                    row = self.run_scenario(deployment, scenario)
                    self.assertLessEqual(
                        row.detection_seconds, MOST_DETECTION_SECONDS
                    )
                    self.assertEqual(
                        (row.false_ejections, row.orders_run_twice), (0, 0)
                    )

    def test_same_every_time(self) -> None:
        """A run with the same seed is the same."""
        rows = [self.run_scenario('hejaz', 'stalling') for _ in range(2)]
        self.assertEqual(*map(dataclasses.astuple, rows))


if __name__ == '__main__':
    unittest.main()
