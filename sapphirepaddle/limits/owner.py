"""Leasing tokens from the quota partitions that this VM owns."""

import typing
from collections import abc

from sapphirepaddle.limits import ownership, quota_shard, quota_split
from sapphirepaddle.objects import client_account
from sapphirepaddle.settings import entry

LEASE_MARGIN_FACTOR: typing.Final = 1.2
"""Factor by which the owner keeps a lease longer than its borrower.

Tokens expire at the borrower before the owner stops counting them.
"""

MAX_SHARDS: typing.Final = 100000
"""Number of shards at which idle ones are dropped, and number of cached quota
splits at which all are dropped."""
FindAccount = abc.Callable[[str], client_account.ClientAccount | None]


class ShardKey(typing.NamedTuple):
    """Identifies a quota shard.

    Attributes:
        account: Name of the client account.
        partition: Number of the partition that carries the shard.
    """

    account: str
    partition: int


class QuotaOwner:
    """Leases tokens from owned partitions; the time is passed in.

    Attributes:
        vm: Name of this VM.
        settings: Times and sizes.
        find_account: Finds a client account in the active configuration.
        ownership: The newest ownership received.
        version: Version of the ownership object in the platform.
        leasable_from: Time from which a partition's shards accrue and lease
            tokens, by partition. Partitions that are missing do not lease.
        shards: The shards in use.
        splits: Cached quota splits by account name.
        last_tick_at: Time of the last tick or resumption.
        is_suspended: Whether leasing is suspended, because the process was
            paused and another VM may have become the owner meanwhile.
    """

    def __init__(
        self, vm: str, settings: entry.LimitSettings, find_account: FindAccount
    ) -> None:
        """Initialize without partitions and suspended."""
        self.vm = vm
        self.settings = settings
        self.find_account = find_account
        self.ownership = ownership.Ownership()
        self.version = 0
        self.leasable_from: dict[int, float] = {}
        self.shards: dict[ShardKey, quota_shard.QuotaShard] = {}
        self.splits: dict[str, quota_split.CachedSplit] = {}
        self.last_tick_at: float = 0
        self.is_suspended = True

    def apply_ownership(
        self,
        new_ownership: ownership.Ownership,
        version: int,
        now: float,
    ) -> bool:
        """Apply an ownership, if it is newer than the current one.

        Partitions that this VM lost stop leasing at once. The shards of
        partitions that it gained start empty, after the leases granted by
        the previous owner have expired.

        Returns:
            Whether the ownership was newer.
        """
        if version <= self.version:
            return False
        self.ownership = new_ownership
        self.version = version
        owned_partitions = new_ownership.partitions_of(self.vm)
        for partition in self.leasable_from.keys() - owned_partitions:
            self.leasable_from.pop(partition)
        self.start_leasing(owned_partitions - self.leasable_from.keys(), now)
        self.shards = {
            key: shard
            for key, shard in self.shards.items()
            if key.partition in owned_partitions
        }
        return True

    def stopped_partitions(self) -> frozenset[int]:
        """Return the partitions that this VM owns but does not lease from."""
        return self.ownership.partitions_of(self.vm) - self.leasable_from.keys()

    def start_leasing(self, partitions: abc.Iterable[int], now: float) -> None:
        """Lease from owned partitions after all earlier leases expired.

        Leasing starts after twice the time for which owners keep leases.
        """
        grace_seconds = self.settings.lease_seconds * LEASE_MARGIN_FACTOR * 2
        self.leasable_from |= dict.fromkeys(partitions, now + grace_seconds)

    def tick(self, now: float) -> None:
        """Record that the process runs; suspend leasing after a pause."""
        self.check_pause(now)
        self.last_tick_at = now

    def check_pause(self, now: float) -> None:
        """Suspend leasing if the last tick is too long ago."""
        if now - self.last_tick_at > self.settings.pause_seconds:
            self.is_suspended = True

    def resume(self, now: float) -> None:
        """Resume leasing after the ownership was read again."""
        self.last_tick_at = now
        self.is_suspended = False

    def may_lease(self, partition: int, now: float) -> bool:
        """Return whether this VM may lease tokens of a partition now."""
        self.check_pause(now)
        leasable_from = self.leasable_from.get(partition)
        return (
            leasable_from is not None
            and now >= leasable_from
            and not self.is_suspended
        )

    def lease(
        self,
        request: quota_shard.LeaseRequest,
        key: ShardKey,
        now: float,
    ) -> quota_shard.Grant | None:
        """Lease tokens of a shard.

        Args:
            request: The request of the borrowing VM.
            key: The shard.
            now: Seconds on the monotonic clock.

        Returns:
            The grant; None if this VM may not lease from the partition, the
            account is not configured or has no shard in the partition.
        """
        account = self.find_account(key.account)
        if account is None or not self.may_lease(key.partition, now):
            return None
        split = self.get_split(account)
        if key.partition not in split.partitions:
            return None
        shard = self.get_shard(key, split, now)
        lease_seconds = self.settings.lease_seconds * LEASE_MARGIN_FACTOR
        return shard.lease(request, lease_seconds, now)

    def get_split(
        self,
        account: client_account.ClientAccount,
    ) -> quota_split.QuotaSplit:
        """Return the quota split of an account, cached until it changes."""
        cached = self.splits.get(account.name)
        if cached is None or cached.account is not account:
            if len(self.splits) >= MAX_SHARDS:
                self.splits.clear()
            split = quota_split.split_quota(account, self.settings)
            cached = quota_split.CachedSplit(account, split)
            self.splits[account.name] = cached
        return cached.split

    def get_shard(
        self,
        key: ShardKey,
        split: quota_split.QuotaSplit,
        now: float,
    ) -> quota_shard.QuotaShard:
        """Return a shard, updated to the current rate and burst."""
        shard = self.shards.get(key)
        if shard is None:
            accrues_from = self.leasable_from[key.partition]
            shard = quota_shard.QuotaShard(
                split.shard_rate, split.shard_burst, accrues_from
            )
            self.evict_idle_shards(now)
            self.shards[key] = shard
        shard.configure(split.shard_rate, split.shard_burst, now)
        return shard

    def evict_idle_shards(self, now: float) -> None:
        """Drop idle shards when the limit is reached.

        An idle shard is full and has no leases.
        """
        if len(self.shards) >= MAX_SHARDS:
            self.shards = {
                key: shard
                for key, shard in self.shards.items()
                if not shard.is_idle(now)
            }
