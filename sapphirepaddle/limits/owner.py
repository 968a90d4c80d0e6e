"""The owner's side: leasing tokens of the partitions that this VM owns."""

import typing
from collections import abc

from sapphirepaddle.limits import ownership, quota_shard, quota_split
from sapphirepaddle.objects import client_account
from sapphirepaddle.settings import entry

LEASE_MARGIN_FACTOR: typing.Final = 1.2
"""Leases live longer at the owner than at the daemon by this factor."""

MAX_SHARDS: typing.Final = 100000
FindAccount = abc.Callable[[str], client_account.ClientAccount | None]


class ShardKey(typing.NamedTuple):
    """Identifies a part.

    Attributes:
        account: Name of the client account.
        partition: The partition.
    """

    account: str
    partition: int


class QuotaOwner:
    """Owns partitions; pure, the time is passed in.

    Attributes:
        vm: Name of this VM.
        settings: Times and sizes.
        find: Finds a client account in the configuration in force.
        held: The ownership known now.
        version: Its version in the platform.
        since: From when the parts of a partition accrue, by partition.
        parts: The parts in use.
        shares: How accounts are spread, by name.
        verified_at: When this process last ran without a pause.
        is_suspended: Whether a pause was met and ownership is in doubt.
    """

    def __init__(
        self, vm: str, settings: entry.LimitSettings, find: FindAccount
    ) -> None:
        """Start without partitions."""
        self.vm = vm
        self.settings = settings
        self.find_account = find
        self.ownership = ownership.Ownership()
        self.version = 0
        self.leasable_from: dict[int, float] = {}
        self.shards: dict[ShardKey, quota_shard.QuotaShard] = {}
        self.splits: dict[str, quota_split.CachedSplit] = {}
        self.last_tick_at: float = 0
        self.is_suspended = True

    def apply_ownership(
        self,
        held: ownership.Ownership,
        version: int,
        now: float,
    ) -> bool:
        """Take up a newer ownership.

        Partitions that are lost stop at once. Partitions that are won
        start empty, after the leases of their last owner have lapsed.

        Returns:
            Whether it was newer.
        """
        if version <= self.version:
            return False
        self.ownership = held
        self.version = version
        mine = held.partitions_of(self.vm)
        for lost in self.leasable_from.keys() - mine:
            self.leasable_from.pop(lost)
        self.start_leasing(mine - self.leasable_from.keys(), now)
        self.shards = {
            key: kept
            for key, kept in self.shards.items()
            if key.partition in mine
        }
        return True

    def stopped_partitions(self) -> frozenset[int]:
        """Return the partitions that this VM owns but does not lease."""
        return self.ownership.partitions_of(self.vm) - self.leasable_from.keys()

    def start_leasing(self, own: abc.Iterable[int], now: float) -> None:
        """Lease owned partitions once earlier leases have lapsed."""
        grace = self.settings.lease_seconds * LEASE_MARGIN_FACTOR * 2
        self.leasable_from |= dict.fromkeys(own, now + grace)

    def tick(self, now: float) -> None:
        """Note that the process runs; suspend ownership after a pause."""
        self.check_pause(now)
        self.last_tick_at = now

    def check_pause(self, now: float) -> None:
        """Suspend ownership if the process was paused."""
        if now - self.last_tick_at > self.settings.pause_seconds:
            self.is_suspended = True

    def resume(self, now: float) -> None:
        """Use ownership again after it was read anew."""
        self.last_tick_at = now
        self.is_suspended = False

    def may_lease(self, partition: int, now: float) -> bool:
        """Tell whether this VM may lease tokens of a partition now."""
        self.check_pause(now)
        since = self.leasable_from.get(partition)
        return since is not None and now >= since and not self.is_suspended

    def lease(
        self,
        borrower: str,
        key: ShardKey,
        wanted: float,
        spent: float,
        now: float,
    ) -> quota_shard.Grant | None:
        """Lease tokens of a part.

        Args:
            borrower: Name of the VM that asks.
            key: The part.
            wanted: Tokens wanted.
            spent: Tokens of earlier leases that it spent.
            now: Seconds on the monotonic clock.

        Returns:
            The grant; None if this VM does not own the partition or does
            not know the account.
        """
        account = self.find_account(key.account)
        if account is None or not self.may_lease(key.partition, now):
            return None
        share = self.get_split(account)
        if key.partition not in share.partitions:
            return None
        held = self.get_shard(key, share, now)
        held.record_spent(borrower, spent)
        seconds = self.settings.lease_seconds * LEASE_MARGIN_FACTOR
        return held.lease(borrower, wanted, seconds, now)

    def get_split(
        self,
        account: client_account.ClientAccount,
    ) -> quota_split.QuotaSplit:
        """Return how an account is spread, worked out once."""
        held = self.splits.get(account.name)
        if held is None or held.account is not account:
            if len(self.splits) >= MAX_SHARDS:
                self.splits.clear()
            share = quota_split.split_quota(account, self.settings)
            held = quota_split.CachedSplit(account, share)
            self.splits[account.name] = held
        return held.split

    def get_shard(
        self,
        key: ShardKey,
        share: quota_split.QuotaSplit,
        now: float,
    ) -> quota_shard.QuotaShard:
        """Return a part, with the rate and burst in force."""
        held = self.shards.get(key)
        if held is None:
            since = self.leasable_from[key.partition]
            held = quota_shard.QuotaShard(
                share.shard_rate, share.shard_burst, since
            )
            self.evict_idle_shards(now)
            self.shards[key] = held
        held.configure(share.shard_rate, share.shard_burst, now)
        return held

    def evict_idle_shards(self, now: float) -> None:
        """Forget idle parts when there are many."""
        if len(self.shards) >= MAX_SHARDS:
            self.shards = {
                key: held
                for key, held in self.shards.items()
                if not held.is_idle(now)
            }
