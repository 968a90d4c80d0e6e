"""Tests of the retry budget of a service."""

import unittest

from sapphirepaddle.limits import fleet_retry_budget
from sapphirepaddle.settings import edge

BOUNDS = edge.Bounds(repeat_ratio=0.2, repeat_slack=50, repeat_window=10)

STARTED_AT = 50


class TestFleetRetryBudget(unittest.TestCase):
    """Tests with daemons that retry as often as the budget allows.

    Daemons that are isolated, were just started or use pooled and local
    slack at the same time could together exceed the bound of the fleet.
    """

    def acquire_all(
        self,
        budget: fleet_retry_budget.FleetRetryBudget,
        daemon_count: int,
        has_recent_reports: bool,
    ) -> int:
        """Return how many of 500 simultaneous retries are allowed."""
        return sum(
            budget.try_acquire(100, daemon_count, has_recent_reports)
            for _ in range(500)
        )

    def test_isolated_daemons_stay_within_the_bound_together(self) -> None:
        total = 0
        for _ in range(36):
            budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED_AT)
            for _ in range(10):
                budget.record_request(100)
            total += self.acquire_all(budget, 36, has_recent_reports=False)
        self.assertLessEqual(total, 0.2 * 360 + 50)

    def test_pooled_slack_is_used_with_recent_reports(self) -> None:
        budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED_AT)
        self.assertGreater(
            self.acquire_all(budget, 36, has_recent_reports=True), 10
        )

    def test_peer_retries_count(self) -> None:
        budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED_AT)
        budget.record_peer_counts(100, requests=100, retries=70)
        self.assertEqual(
            self.acquire_all(budget, 36, has_recent_reports=True), 0
        )

    def test_window_slides(self) -> None:
        budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED_AT)
        retries = self.acquire_all(budget, 1, has_recent_reports=False)
        self.assertGreater(retries, 0)
        self.assertFalse(budget.try_acquire(105, 1, has_recent_reports=False))
        self.assertTrue(budget.try_acquire(112, 1, has_recent_reports=False))

    def test_daemon_in_first_window_uses_startup_slack(self) -> None:
        budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, started_at=95)
        for _ in range(20):
            budget.record_request(100)
        retries = self.acquire_all(budget, 1, has_recent_reports=True)
        startup_ratio = 1 - fleet_retry_budget.LOCAL_CUTOFF_RATIO
        self.assertLessEqual(retries, 0.2 * 20 + 50 * startup_ratio)
        self.assertGreater(retries, 4)

    def test_restart_of_all_daemons_stays_within_the_bound(self) -> None:
        total = 0
        for started_at in (STARTED_AT, 100):
            budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, started_at)
            for _ in range(100):
                budget.record_request(100)
            total += self.acquire_all(budget, 1, has_recent_reports=True)
        self.assertLessEqual(total, 0.2 * 200 + 50)

    def test_local_and_pooled_slack_together_stay_within_the_bound(
        self,
    ) -> None:
        busy, *idle = (
            fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED_AT)
            for _ in range(36)
        )
        budgets = [busy, *idle]
        for budget in budgets:
            for other in budgets:
                if other is budget:
                    budget.record_request(100)
                else:
                    other.record_peer_counts(100, requests=1, retries=0)
        total = 0
        for budget in budgets:
            retries = self.acquire_all(budget, 36, has_recent_reports=True)
            total += retries
            for other in budgets:
                if other is not budget:
                    other.record_peer_counts(100, requests=0, retries=retries)
        self.assertLessEqual(total, 0.2 * 36 + 50)
