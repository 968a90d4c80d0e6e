"""Rate and burst of an account over the fleet."""

import unittest

from sapphirepaddle.directory import account
from sapphirepaddle.limits import fleet_bucket


def configured(rate: float, burst: float) -> account.Account:
    """Return an account."""
    return account.Account(
        name='first',
        keys=frozenset(),
        priority=None,
        rate=rate,
        burst=burst,
    )


class TestFleetBucket(unittest.TestCase):
    """One bucket."""

    def setUp(self) -> None:
        """Start with ten tokens and five a second."""
        self.bucket = fleet_bucket.FleetBucket()
        self.bucket.configure(configured(5, 10), 100)

    def admit(self, elapsed: float, count: int, share: float = 1) -> int:
        """Return how many of some requests are admitted."""
        return sum(self.bucket.admit(elapsed, share) for _ in range(count))

    def test_starts_full(self) -> None:
        self.assertEqual(self.admit(100, 20), 10)

    def test_refills_at_its_rate(self) -> None:
        self.admit(100, 20)
        self.assertEqual(self.admit(101, 20), 5)

    def test_the_burst_of_silent_daemons_is_left_to_them(self) -> None:
        self.assertEqual(self.admit(100, 20, share=0.5), 5)
        self.assertEqual(self.admit(101, 20, share=0.5), 5)
        self.assertEqual(self.admit(101, 20), 5)

    def test_others_drain_it(self) -> None:
        self.bucket.record_peer_admissions(8)
        self.assertEqual(self.admit(100, 20), 2)

    def test_what_was_admitted_unheard_is_paid_back(self) -> None:
        self.admit(100, 10)
        self.bucket.record_peer_admissions(5)
        self.assertEqual(self.admit(101, 20), 0)
        self.assertEqual(self.admit(102, 20), 5)

    def test_lower_limit_takes_tokens_away(self) -> None:
        self.bucket.configure(configured(1, 2), 100)
        self.assertEqual(self.admit(100, 20), 2)

    def test_higher_limit_gives_none_at_once(self) -> None:
        self.admit(100, 10)
        self.bucket.configure(configured(50, 100), 100)
        self.assertEqual(self.admit(100, 20), 0)

    def test_no_rate_is_no_limit(self) -> None:
        self.bucket.configure(configured(0, 0), 100)
        self.assertEqual(self.admit(100, 1000), 1000)

    def test_wait_until_the_next_token(self) -> None:
        self.admit(100, 10)
        self.assertAlmostEqual(self.bucket.wait_seconds(), 0.2)
