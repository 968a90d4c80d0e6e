"""Tests of the quota owner and of the assignment of partitions."""

import unittest

from sapphirepaddle.limits import (
    owner,
    ownership,
    quota_shard,
    quota_split,
)
from sapphirepaddle.objects import client_account
from sapphirepaddle.settings import entry

REQUEST = quota_shard.LeaseRequest('vm2', 1)
ACCOUNT = client_account.ClientAccount(name='a', rate=10, burst=100)


class QuotaOwnerTestCase(unittest.TestCase):
    """Base of tests with a VM that owns all partitions."""

    def setUp(self) -> None:
        """Assign all partitions to the VM at 100 s."""
        self.settings = entry.LimitSettings()
        self.quota_owner = owner.QuotaOwner(
            'vm1', self.settings, self.find_account
        )
        self.quota_owner.resume(100)
        owners = dict.fromkeys(range(64), 'vm1')
        self.quota_owner.apply_ownership(ownership.Ownership(owners), 5, 100)
        split = quota_split.split_quota(ACCOUNT, self.settings)
        self.key = owner.ShardKey('a', split.partitions[0])

    def find_account(self, name: str) -> client_account.ClientAccount | None:
        """Return the test account, the only configured one."""
        return ACCOUNT if name == 'a' else None

    def lease(self, now: float) -> float | None:
        """Request one token for another VM; return the amount granted."""
        grant = self.quota_owner.lease(REQUEST, self.key, now)
        return None if grant is None else grant.amount

    def run_until(self, start: float, end: float) -> None:
        """Tick every 0.1 s, as a process that is never paused."""
        now = start
        while now < end:
            self.quota_owner.tick(now)
            now += 0.1


class TestApplyOwnership(QuotaOwnerTestCase):
    """Tests of gaining and losing partitions.

    Two VMs that lease from one partition at the same time exceed the quota.
    """

    def test_won_partition_starts_empty_and_late(self) -> None:
        """A gained partition leases only after earlier leases expired.

        Otherwise the previous owner's leases and the new ones together
        exceed the burst.
        """
        self.assertIsNone(self.lease(100.1))
        self.run_until(100, 101.2)
        self.assertEqual(self.lease(101.2), 1)

    def test_older_ownership_is_ignored(self) -> None:
        """An older ownership that arrives late changes nothing."""
        self.assertFalse(
            self.quota_owner.apply_ownership(ownership.Ownership(), 4, 100)
        )
        self.run_until(100, 102)
        self.assertEqual(self.lease(102), 1)

    def test_lost_partition_stops_at_once(self) -> None:
        """No tokens are leased from a partition that another VM now owns.

        Two VMs that lease from one partition exceed the quota.
        """
        self.run_until(100, 102)
        new_owners = dict.fromkeys(range(64), 'vm9')
        self.quota_owner.apply_ownership(
            ownership.Ownership(new_owners), 6, 102
        )
        self.assertIsNone(self.lease(102))

    def test_unknown_account(self) -> None:
        """An account that is not configured gets no tokens."""
        self.run_until(100, 102)
        key = owner.ShardKey('other', self.key.partition)
        self.assertIsNone(self.quota_owner.lease(REQUEST, key, 102))


class TestPause(QuotaOwnerTestCase):
    """Tests of a process that was paused.

    It may not know that another VM took over its partitions meanwhile.
    """

    def test_nothing_is_leased_after_a_pause(self) -> None:
        """Leasing stays suspended until the ownership was read again.

        During the pause another VM may have become the owner.
        """
        self.run_until(100, 102)
        self.assertEqual(self.lease(102), 1)
        self.assertIsNone(self.lease(102 + self.settings.pause_seconds + 0.2))
        self.quota_owner.tick(110)
        self.assertIsNone(self.lease(110))
        self.quota_owner.resume(110)
        self.assertEqual(self.lease(110), 1)


class TestAssignment(unittest.TestCase):
    """Tests of planned moves of partitions.

    A wrong plan overloads one VM, or takes partitions from a live owner.
    """

    def test_even_spread(self) -> None:
        """Free partitions are assigned to the VMs that own the fewest."""
        live_vms = ['a', 'b', 'c']
        moves = ownership.assign(ownership.Ownership(), range(64), live_vms)
        assigned = ownership.Ownership(moves)
        self.assertLessEqual(
            max(assigned.partition_counts(live_vms).values()), 22
        )

    def test_surplus_goes_to_new_vms(self) -> None:
        """A VM hands over its surplus to VMs that own too few, not more."""
        current = ownership.Ownership(dict.fromkeys(range(64), 'a'))
        moves = ownership.plan_surplus_moves(current, 'a', 64, ['a', 'b'])
        self.assertEqual(set(moves.values()), {'b'})
        self.assertLess(len(moves), 64)

    def test_orphans(self) -> None:
        """Only partitions without an owner or of missing VMs are orphans."""
        current = ownership.Ownership({0: 'a', 1: 'b'})
        orphans = ownership.find_orphans(current, 3, {'a'})
        self.assertEqual(orphans, [0, 2])


if __name__ == '__main__':
    unittest.main()
