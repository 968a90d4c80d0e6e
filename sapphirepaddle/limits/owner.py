"""The owner's side: leasing tokens of the partitions that this VM owns."""

import typing
from collections import abc

from sapphirepaddle.limits import ownership, part, partitions
from sapphirepaddle.objects import client_account
from sapphirepaddle.settings import entry

MARGIN: typing.Final = 1.2
"""Leases live longer at the owner than at the daemon by this factor."""

MOST_PARTS: typing.Final = 100000
Find = abc.Callable[[str], client_account.ClientAccount | None]


class PartKey(typing.NamedTuple):
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

    def __init__(self, vm: str, settings: entry.Limits, find: Find) -> None:
        """Start without partitions."""
        self.vm = vm
        self.settings = settings
        self.find = find
        self.held = ownership.Ownership()
        self.version = 0
        self.since: dict[int, float] = {}
        self.parts: dict[PartKey, part.QuotaPart] = {}
        self.shares: dict[str, partitions.Spread] = {}
        self.verified_at: float = 0
        self.is_suspended = True

    def take_up(
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
        self.held = held
        self.version = version
        mine = held.of(self.vm)
        for lost in self.since.keys() - mine:
            self.since.pop(lost)
        self.restart(mine - self.since.keys(), now)
        self.parts = {
            key: kept
            for key, kept in self.parts.items()
            if key.partition in mine
        }
        return True

    def stopped(self) -> frozenset[int]:
        """Return the partitions that this VM owns but does not lease."""
        return self.held.of(self.vm) - self.since.keys()

    def restart(self, own: abc.Iterable[int], now: float) -> None:
        """Lease owned partitions once earlier leases have lapsed."""
        grace = self.settings.lease_seconds * MARGIN * 2
        self.since |= dict.fromkeys(own, now + grace)

    def tick(self, now: float) -> None:
        """Note that the process runs; suspend ownership after a pause."""
        self.check_pause(now)
        self.verified_at = now

    def check_pause(self, now: float) -> None:
        """Suspend ownership if the process was paused."""
        if now - self.verified_at > self.settings.pause_seconds:
            self.is_suspended = True

    def resume(self, now: float) -> None:
        """Use ownership again after it was read anew."""
        self.verified_at = now
        self.is_suspended = False

    def owns(self, partition: int, now: float) -> bool:
        """Tell whether this VM may lease tokens of a partition now."""
        self.check_pause(now)
        since = self.since.get(partition)
        return since is not None and now >= since and not self.is_suspended

    def lease(
        self,
        borrower: str,
        key: PartKey,
        wanted: float,
        spent: float,
        now: float,
    ) -> part.Grant | None:
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
        account = self.find(key.account)
        if account is None or not self.owns(key.partition, now):
            return None
        share = self.share(account)
        if key.partition not in share.partitions:
            return None
        held = self.part(key, share, now)
        held.settle(borrower, spent)
        seconds = self.settings.lease_seconds * MARGIN
        return held.lease(borrower, wanted, seconds, now)

    def share(
        self,
        account: client_account.ClientAccount,
    ) -> partitions.Share:
        """Return how an account is spread, worked out once."""
        held = self.shares.get(account.name)
        if held is None or held.account is not account:
            if len(self.shares) >= MOST_PARTS:
                self.shares.clear()
            share = partitions.share_of(account, self.settings)
            held = partitions.Spread(account, share)
            self.shares[account.name] = held
        return held.share

    def part(
        self,
        key: PartKey,
        share: partitions.Share,
        now: float,
    ) -> part.QuotaPart:
        """Return a part, with the rate and burst in force."""
        held = self.parts.get(key)
        if held is None:
            since = self.since[key.partition]
            held = part.QuotaPart(share.rate, share.burst, since)
            self.make_room(now)
            self.parts[key] = held
        held.configure(share.rate, share.burst, now)
        return held

    def make_room(self, now: float) -> None:
        """Forget idle parts when there are many."""
        if len(self.parts) >= MOST_PARTS:
            self.parts = {
                key: held
                for key, held in self.parts.items()
                if not held.is_idle(now)
            }
