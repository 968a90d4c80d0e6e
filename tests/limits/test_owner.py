"""Ownership of partitions."""

import unittest

from sapphirepaddle.limits import owner, ownership, quota_split
from sapphirepaddle.objects import client_account
from sapphirepaddle.settings import entry

ACCOUNT = client_account.ClientAccount(name='a', rate=10, burst=100)


class OwnerCase(unittest.TestCase):
    """A VM that owns everything."""

    def setUp(self) -> None:
        """Take up all partitions at 100 s."""
        self.settings = entry.LimitSettings()
        self.own = owner.QuotaOwner('vm1', self.settings, self.find)
        self.own.resume(100)
        everything = dict.fromkeys(range(64), 'vm1')
        self.own.apply_ownership(ownership.Ownership(everything), 5, 100)
        share = quota_split.split_quota(ACCOUNT, self.settings)
        self.key = owner.ShardKey('a', share.partitions[0])

    def find(self, name: str) -> client_account.ClientAccount | None:
        """Return the account."""
        return ACCOUNT if name == 'a' else None

    def lease(self, now: float) -> float | None:
        """Lease one token."""
        grant = self.own.lease('vm2', self.key, 1, 0, now)
        return None if grant is None else grant.amount

    def run_until(self, start: float, end: float) -> None:
        """Let the process run without a pause."""
        now = start
        while now < end:
            self.own.tick(now)
            now += 0.1


class TestTakeUp(OwnerCase):
    """Partitions that are won and lost."""

    def test_won_partition_starts_empty_and_late(self) -> None:
        """Earlier leases lapse before the first token is leased."""
        self.assertIsNone(self.lease(100.1))
        self.run_until(100, 101.2)
        self.assertEqual(self.lease(101.2), 1)

    def test_older_ownership_is_ignored(self) -> None:
        """A late older version changes nothing."""
        self.assertFalse(
            self.own.apply_ownership(ownership.Ownership(), 4, 100)
        )
        self.run_until(100, 102)
        self.assertEqual(self.lease(102), 1)

    def test_lost_partition_stops_at_once(self) -> None:
        """A partition that another VM owns leases nothing."""
        self.run_until(100, 102)
        others = dict.fromkeys(range(64), 'vm9')
        self.own.apply_ownership(ownership.Ownership(others), 6, 102)
        self.assertIsNone(self.lease(102))

    def test_unknown_account(self) -> None:
        """An account that is not in force gets nothing."""
        self.run_until(100, 102)
        key = owner.ShardKey('other', self.key.partition)
        self.assertIsNone(self.own.lease('vm2', key, 1, 0, 102))


class TestPause(OwnerCase):
    """A process that was paused."""

    def test_nothing_is_leased_after_a_pause(self) -> None:
        """Ownership is in doubt until it was read anew."""
        self.run_until(100, 102)
        self.assertEqual(self.lease(102), 1)
        self.assertIsNone(self.lease(102 + self.settings.pause_seconds + 0.2))
        self.own.tick(110)
        self.assertIsNone(self.lease(110))
        self.own.resume(110)
        self.assertEqual(self.lease(110), 1)


class TestAssignment(unittest.TestCase):
    """Giving partitions away."""

    def test_even_spread(self) -> None:
        """Free partitions go to the VMs that own the fewest."""
        live = ['a', 'b', 'c']
        moves = ownership.assign(ownership.Ownership(), range(64), live)
        held = ownership.Ownership(moves)
        self.assertLessEqual(max(held.partition_counts(live).values()), 22)

    def test_surplus_goes_to_new_vms(self) -> None:
        """A VM gives what it has too much to VMs that have too little."""
        held = ownership.Ownership(dict.fromkeys(range(64), 'a'))
        moves = ownership.plan_surplus_moves(held, 'a', 64, ['a', 'b'])
        self.assertEqual(set(moves.values()), {'b'})
        self.assertLess(len(moves), 64)

    def test_orphans(self) -> None:
        """Only partitions of VMs that are gone are free."""
        held = ownership.Ownership({0: 'a', 1: 'b'})
        free = ownership.orphans(held, 3, {'a'})
        self.assertEqual(free, [0, 2])


if __name__ == '__main__':
    unittest.main()
