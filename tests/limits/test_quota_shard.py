"""Tests that a quota shard neither creates nor loses tokens."""

import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle.limits import leased_tokens, quota_shard
from sapphirepaddle.replay import checks

LEASE_SECONDS = 0.2
LEASE_MARGIN_FACTOR = 1.2

operation_lists = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 0.4),
        strategies.integers(0, 3),
        strategies.integers(1, 8),
        strategies.booleans(),
        strategies.integers(0, 8),
    ),
    max_size=80,
)


class TestQuotaShard(unittest.TestCase):
    """Tests of a shard together with the daemons that lease from it.

    Leases that are lost, or reported late or never, could be counted twice
    or not at all; accounts then exceed their quota or do not get it.
    """

    @hypothesis.example(
        [
            (0.0, 1, 1, True, 0),
            (0.0, 0, 1, False, 0),
            (0.0, 0, 1, False, 0),
            (0.25, 1, 1, True, 0),
            (0.1875, 0, 1, True, 1),
        ],
        6.0,
        1,
    )
    @hypothesis.given(
        operation_lists,
        strategies.floats(0.5, 20),
        strategies.integers(1, 30),
    )
    @hypothesis.settings(deadline=None, max_examples=300)
    def test_admissions_in_any_window_are_bounded(
        self,
        operations: list[tuple[float, int, int, bool, int]],
        rate: float,
        burst: int,
    ) -> None:
        """Admissions never exceed the rate times the window plus the burst.

        Random operations lose, keep, spend late and report leases or not.
        """
        shard = quota_shard.QuotaShard(rate, burst, 0)
        tokens_by_daemon = [leased_tokens.LeasedTokens() for _ in range(4)]
        now = 100.0
        admitted = []
        for (
            pause,
            daemon_index,
            requested,
            is_delivered,
            attempts,
        ) in operations:
            now += pause
            borrower_tokens = tokens_by_daemon[daemon_index]
            spent = borrower_tokens.pop_spent(0) if is_delivered else 0
            grant = shard.lease(
                quota_shard.LeaseRequest(f'vm{daemon_index}', requested, spent),
                LEASE_SECONDS * LEASE_MARGIN_FACTOR,
                now,
            )
            if is_delivered:
                borrower_tokens.add(0, grant.amount, now + LEASE_SECONDS)
            for number in range(4):
                for _ in range(attempts if number == daemon_index else 1):
                    if tokens_by_daemon[number].try_acquire(now):
                        admitted.append(now)
        max_excess = checks.max_excess(sorted(admitted), rate, burst)
        self.assertLessEqual(max_excess, 1e-6)

    def test_leased_tokens_are_not_accrued_again(self) -> None:
        """Tokens do not accrue beyond the burst while some are leased.

        Otherwise a daemon that does not spend its lease at once gets a
        second burst.
        """
        shard = quota_shard.QuotaShard(20, 4, 0)
        now = 100.0
        tokens = leased_tokens.LeasedTokens()
        tokens.add(
            0,
            shard.lease(
                quota_shard.LeaseRequest('vm', 4),
                LEASE_SECONDS * LEASE_MARGIN_FACTOR,
                now,
            ).amount,
            now + LEASE_SECONDS,
        )
        now += 0.19
        tokens.add(
            0,
            shard.lease(
                quota_shard.LeaseRequest('vm', 4),
                LEASE_SECONDS * LEASE_MARGIN_FACTOR,
                now,
            ).amount,
            now + LEASE_SECONDS,
        )
        admitted = 0
        while tokens.try_acquire(now):
            admitted += 1
        self.assertLessEqual(admitted, 4)

    def test_spent_tokens_make_room_only_from_their_report(self) -> None:
        """A token spent just before its report must not be replaced at once."""
        shard = quota_shard.QuotaShard(6, 1, 0)
        shard.lease(quota_shard.LeaseRequest('vm', 1), 0.24, 100)
        request = quota_shard.LeaseRequest('vm', 1, spent=1)
        self.assertEqual(shard.lease(request, 0.24, 100.19).amount, 0)
        later_request = quota_shard.LeaseRequest('vm', 1)
        self.assertEqual(shard.lease(later_request, 0.24, 100.36).amount, 1)

    def test_late_report_does_not_free_a_newer_lease(self) -> None:
        """A lease must stay counted if an expired one is reported late."""
        shard = quota_shard.QuotaShard(6, 2, 0)
        shard.lease(quota_shard.LeaseRequest('vm', 1), 0.24, 100)
        shard.lease(quota_shard.LeaseRequest('vm', 1), 0.24, 100.2)
        shard.accrue(100.25)
        shard.lease(quota_shard.LeaseRequest('vm', 0, spent=1), 0.24, 100.25)
        self.assertEqual(shard.leased(), 1)

    def test_lease_counts_until_its_expiry(self) -> None:
        """A token that expired unspent must not be replaced for the past."""
        shard = quota_shard.QuotaShard(6, 1, 0)
        shard.lease(quota_shard.LeaseRequest('vm', 1), 0.24, 100)
        request = quota_shard.LeaseRequest('other', 1)
        self.assertEqual(shard.lease(request, 0.24, 100.25).amount, 0)

    def test_full_rate_is_served(self) -> None:
        """A daemon that requests tokens continuously gets the full rate."""
        shard = quota_shard.QuotaShard(10, 5, 0)
        now = 100.0
        total_granted = 0.0
        spent = 0.0
        for _ in range(1000):
            now += 0.01
            grant = shard.lease(
                quota_shard.LeaseRequest('vm', 1, spent),
                LEASE_SECONDS * LEASE_MARGIN_FACTOR,
                now,
            )
            spent = grant.amount
            total_granted += grant.amount
        self.assertGreaterEqual(total_granted, 10 * 10 - 1)


if __name__ == '__main__':
    unittest.main()
