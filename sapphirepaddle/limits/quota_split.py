"""Which partitions carry a client account's quota."""

import dataclasses

from sapphirepaddle.objects import client_account
from sapphirepaddle.routing import rendezvous
from sapphirepaddle.settings import entry


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSplit:
    """The part of an account that each of its partitions carries.

    Attributes:
        partitions: Numbers of the partitions.
        rate: Requests a second of one part.
        burst: Requests at once of one part.
    """

    partitions: tuple[int, ...]
    shard_rate: float
    shard_burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class CachedSplit:
    """The share of an account, kept while the account stays the same.

    Attributes:
        account: The account.
        share: Its share.
    """

    account: client_account.ClientAccount
    split: QuotaSplit


def split_quota(
    account: client_account.ClientAccount,
    settings: entry.LimitSettings,
) -> QuotaSplit:
    """Return how an account is spread.

    A small burst is not split: a part must hold whole requests.
    """
    wanted = int(account.burst / settings.part_burst)
    count = max(1, min(wanted, settings.parts, settings.partitions))
    numbers = map(str, range(settings.partitions))
    ranked = rendezvous.rank(account.name, numbers, count)
    return QuotaSplit(
        tuple(map(int, ranked)),
        account.rate / count,
        account.burst / count,
    )
