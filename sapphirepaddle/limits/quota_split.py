"""Splitting a client account's quota over partitions."""

import dataclasses

from sapphirepaddle.objects import client_account
from sapphirepaddle.routing import rendezvous
from sapphirepaddle.settings import entry


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSplit:
    """Partitions of an account's quota and the limits of each shard.

    Attributes:
        partitions: Numbers of the partitions that carry a shard.
        shard_rate: Requests per second of one shard.
        shard_burst: Burst of one shard in requests.
    """

    partitions: tuple[int, ...]
    shard_rate: float
    shard_burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class CachedSplit:
    """A quota split, valid while the account is unchanged.

    Attributes:
        account: The account that was split.
        split: Its quota split.
    """

    account: client_account.ClientAccount
    split: QuotaSplit


def split_quota(
    account: client_account.ClientAccount,
    settings: entry.LimitSettings,
) -> QuotaSplit:
    """Split an account's rate and burst evenly over some partitions.

    A small burst is not split, as each shard must hold whole requests.
    """
    full_shards = int(account.burst / settings.part_burst)
    count = max(1, min(full_shards, settings.parts, settings.partitions))
    partition_names = map(str, range(settings.partitions))
    ranked_names = rendezvous.rank(account.name, partition_names, count)
    return QuotaSplit(
        tuple(map(int, ranked_names)),
        account.rate / count,
        account.burst / count,
    )
