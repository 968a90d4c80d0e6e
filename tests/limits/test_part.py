"""Tokens of a part are conserved."""

import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle.limits import quota_shard, leased_tokens
from sapphirepaddle.replay import checks

LEASE = 0.2
MARGIN = 1.2

steps = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 0.4),
        strategies.integers(0, 3),
        strategies.integers(1, 8),
        strategies.booleans(),
        strategies.integers(0, 8),
    ),
    max_size=80,
)


class TestWindows(unittest.TestCase):
    """What daemons admit in any window is bounded."""

    @hypothesis.given(
        steps,
        strategies.floats(0.5, 20),
        strategies.integers(1, 30),
    )
    @hypothesis.settings(deadline=None, max_examples=300)
    def test_bounded(
        self,
        given: list[tuple[float, int, int, bool, int]],
        rate: float,
        burst: int,
    ) -> None:
        """Leases are lost, kept, spent late and reported or not."""
        held = quota_shard.QuotaShard(rate, burst, 0)
        stashes = [leased_tokens.LeasedTokens() for _ in range(4)]
        now = 100.0
        admitted = []
        for pause, daemon, wanted, arrives, spends in given:
            now += pause
            own = stashes[daemon]
            spent = own.pop_spent(0) if arrives else 0
            grant = held.lease(
                f'vm{daemon}',
                wanted,
                LEASE * MARGIN,
                now,
            )
            held.record_spent(f'vm{daemon}', spent)
            if arrives:
                own.add(0, grant.amount, now + LEASE)
            for number in range(4):
                for _ in range(spends if number == daemon else 1):
                    if stashes[number].try_acquire(now):
                        admitted.append(now)
        most = checks.max_excess(sorted(admitted), rate, burst)
        self.assertLessEqual(most, 1e-6)

    def test_refill_while_leased(self) -> None:
        """What is leased out is not accrued a second time."""
        held = quota_shard.QuotaShard(20, 4, 0)
        now = 100.0
        own = leased_tokens.LeasedTokens()
        own.add(0, held.lease('vm', 4, LEASE * MARGIN, now).amount, now + LEASE)
        now += 0.19
        own.add(0, held.lease('vm', 4, LEASE * MARGIN, now).amount, now + LEASE)
        admitted = 0
        while own.try_acquire(now):
            admitted += 1
        self.assertLessEqual(admitted, 4)

    def test_full_rate_is_served(self) -> None:
        """A daemon that asks all the time gets the whole rate."""
        held = quota_shard.QuotaShard(10, 5, 0)
        now = 100.0
        total = 0.0
        spent = 0.0
        for _ in range(1000):
            now += 0.01
            grant = held.lease('vm', 1, LEASE * MARGIN, now)
            held.record_spent('vm', spent)
            spent = grant.amount
            total += grant.amount
        self.assertGreaterEqual(total, 10 * 10 - 1)


if __name__ == '__main__':
    unittest.main()
