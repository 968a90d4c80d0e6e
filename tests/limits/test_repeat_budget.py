"""Budget of repeats of a service."""

import unittest

from sapphirepaddle.limits import fleet_retry_budget
from sapphirepaddle.settings import edge

BOUNDS = edge.Bounds(repeat_ratio=0.2, repeat_slack=50, repeat_window=10)

STARTED = 50


class TestRepeatBudget(unittest.TestCase):
    """Daemons that repeat as often as they may."""

    def take(
        self,
        budget: fleet_retry_budget.FleetRetryBudget,
        daemons: int,
        is_in_touch: bool,
    ) -> int:
        """Return how many of many repeats are allowed at one moment."""
        return sum(
            budget.try_acquire(100, daemons, is_in_touch) for _ in range(500)
        )

    def test_daemons_out_of_touch_keep_the_bound_together(self) -> None:
        total = 0
        for _ in range(36):
            budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED)
            for _ in range(10):
                budget.record_request(100)
            total += self.take(budget, 36, is_in_touch=False)
        self.assertLessEqual(total, 0.2 * 360 + 50)

    def test_pooled_part_is_used_in_touch(self) -> None:
        budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED)
        self.assertGreater(self.take(budget, 36, is_in_touch=True), 10)

    def test_repeats_of_others_count(self) -> None:
        budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED)
        budget.record_peer_counts(100, requests=100, repeats=70)
        self.assertEqual(self.take(budget, 36, is_in_touch=True), 0)

    def test_window_slides(self) -> None:
        budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED)
        taken = self.take(budget, 1, is_in_touch=False)
        self.assertGreater(taken, 0)
        self.assertFalse(budget.try_acquire(105, 1, has_recent_reports=False))
        self.assertTrue(budget.try_acquire(112, 1, has_recent_reports=False))

    def test_new_daemon_takes_what_was_left_before(self) -> None:
        budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, started=95)
        for _ in range(20):
            budget.record_request(100)
        taken = self.take(budget, 1, is_in_touch=True)
        left = 1 - fleet_retry_budget.LOCAL_CUTOFF_RATIO
        self.assertLessEqual(taken, 0.2 * 20 + 50 * left)
        self.assertGreater(taken, 4)

    def test_restart_of_all_keeps_the_bound(self) -> None:
        total = 0
        for started in (STARTED, 100):
            budget = fleet_retry_budget.FleetRetryBudget(BOUNDS, started)
            for _ in range(100):
                budget.record_request(100)
            total += self.take(budget, 1, is_in_touch=True)
        self.assertLessEqual(total, 0.2 * 200 + 50)

    def test_own_parts_beside_a_pool_in_use_keep_the_bound(self) -> None:
        heavy, *light = (
            fleet_retry_budget.FleetRetryBudget(BOUNDS, STARTED)
            for _ in range(36)
        )
        budgets = [heavy, *light]
        for budget in budgets:
            for other in budgets:
                if other is budget:
                    budget.record_request(100)
                else:
                    other.record_peer_counts(100, requests=1, repeats=0)
        total = 0
        for budget in budgets:
            taken = self.take(budget, 36, is_in_touch=True)
            total += taken
            for other in budgets:
                if other is not budget:
                    other.record_peer_counts(100, requests=0, repeats=taken)
        self.assertLessEqual(total, 0.2 * 36 + 50)
