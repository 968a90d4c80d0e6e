"""Tests of the token bucket that is replicated over the fleet."""

import unittest

from sapphirepaddle.directory import account
from sapphirepaddle.limits import fleet_bucket


def make_account(rate: float, burst: float) -> account.Account:
    """Return an account with the given limits."""
    return account.Account(
        name='first',
        keys=frozenset(),
        priority=None,
        rate=rate,
        burst=burst,
    )


class TestFleetBucket(unittest.TestCase):
    """Tests of one daemon's copy of a bucket.

    Admissions of other daemons are reported late or, during a partition, not
    at all; without debt and reserved shares the fleet exceeds the quota.
    """

    def setUp(self) -> None:
        """Create a bucket of ten tokens that refills at five per second."""
        self.bucket = fleet_bucket.FleetBucket()
        self.bucket.configure(make_account(5, 10), 100)

    def admit(
        self, fleet_time: float, count: int, reachable_share: float = 1
    ) -> int:
        """Send `count` requests; return how many are admitted."""
        return sum(
            self.bucket.admit(fleet_time, reachable_share) for _ in range(count)
        )

    def test_starts_full(self) -> None:
        bucket = fleet_bucket.FleetBucket()
        bucket.configure(make_account(5, 10), 0, starts_full=True)
        admitted = sum(bucket.admit(0, 1) for _ in range(20))
        self.assertEqual(admitted, 10)

    def test_burst_is_not_granted_again_by_a_new_daemon(self) -> None:
        # All daemons may have been killed just after the burst was used.
        bucket = fleet_bucket.FleetBucket()
        bucket.configure(make_account(5, 10), 0.1)
        admitted = sum(bucket.admit(0.1, 1) for _ in range(20))
        accrued = (fleet_bucket.START_SECONDS + 0.1) * 5
        self.assertEqual(admitted, int(accrued))
        self.assertEqual(sum(bucket.admit(1.1, 1) for _ in range(20)), 5)

    def test_low_rate_needs_no_wait_after_a_start(self) -> None:
        bucket = fleet_bucket.FleetBucket()
        bucket.configure(make_account(0.1, 10), 0)
        self.assertEqual(sum(bucket.admit(0, 1) for _ in range(20)), 1)

    def test_refusal_after_a_start_is_no_sign_of_a_flood(self) -> None:
        # Less urgent requests were refused until the burst was refilled.
        bucket = fleet_bucket.FleetBucket()
        bucket.configure(make_account(5, 10), 0)
        self.assertTrue(all(bucket.admit(0, 1) for _ in range(2)))
        self.assertFalse(bucket.admit(0, 1))
        self.assertTrue(bucket.admit(0.5, 1, kept_tokens=6))
        self.assertFalse(all(bucket.admit(9, 1) for _ in range(20)))
        self.assertFalse(bucket.admit(10, 1, kept_tokens=6))

    def test_account_that_is_new_in_a_running_fleet_starts_full(self) -> None:
        self.assertEqual(self.admit(100, 20), 10)

    def test_refills_at_its_rate(self) -> None:
        self.admit(100, 20)
        self.assertEqual(self.admit(101, 20), 5)

    def test_burst_share_of_unreachable_daemons_is_reserved(self) -> None:
        self.assertEqual(self.admit(100, 20, reachable_share=0.5), 5)
        self.assertEqual(self.admit(101, 20, reachable_share=0.5), 5)
        self.assertEqual(self.admit(101, 20), 5)

    def test_peer_admissions_use_tokens(self) -> None:
        self.bucket.record_peer_admissions(8, 100)
        self.assertEqual(self.admit(100, 20), 2)

    def test_debt_from_late_reports_is_repaid_first(self) -> None:
        self.admit(100, 10)
        self.bucket.record_peer_admissions(5, 100)
        self.assertEqual(self.admit(101, 20), 0)
        self.assertEqual(self.admit(102, 20), 5)

    def test_lower_burst_removes_tokens(self) -> None:
        self.bucket.configure(make_account(1, 2), 100)
        self.assertEqual(self.admit(100, 20), 2)

    def test_higher_burst_adds_no_tokens_at_once(self) -> None:
        self.admit(100, 10)
        self.bucket.configure(make_account(50, 100), 100)
        self.assertEqual(self.admit(100, 20), 0)

    def test_no_rate_is_no_limit(self) -> None:
        self.bucket.configure(make_account(0, 0), 100)
        self.assertEqual(self.admit(100, 1000), 1000)

    def test_wait_until_the_next_token(self) -> None:
        self.admit(100, 10)
        self.assertAlmostEqual(self.bucket.wait_seconds(), 0.2)
