"""Tokens of client accounts that daemons pass on to one that starts."""

import itertools
import math
import typing
from collections import abc

from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import digest, digest_receiver, notices

MAX_LEVELS: typing.Final = 120
"""Maximum number of accounts in a message, so that it fits into one packet."""
SETTLED_SECONDS: typing.Final = 10.0
"""Fleet time after its start from which a daemon passes tokens on that it has
not taken over itself; admissions that it does not know are refilled then."""
ADOPTION_SECONDS: typing.Final = 3.0
"""Fleet time after its start in which a daemon takes tokens over."""

Transmit = abc.Callable[[digest.Body, abc.Sequence[str]], None]


class QuotaExchange:
    """Passes the tokens of accounts on to daemons that start.

    A daemon that starts does not know what was admitted before, and begins
    with empty buckets. The daemons that it asks for an introduction tell it
    the tokens that are left, so that only the death of all of them loses them.

    Attributes:
        quotas: Quotas of the client accounts.
        digest_receiver: Resolves hashes of names.
        transmit: Sends a datagram to hosts.
        received: Tokens that no configured account matches yet, by hash of its
            name.
        has_adopted: Whether tokens were taken over.
    """

    def __init__(
        self,
        quotas: account_quotas.AccountQuotas,
        receiver: digest_receiver.DigestReceiver,
        transmit: Transmit,
    ) -> None:
        """Initialize with the function that sends datagrams."""
        self.quotas = quotas
        self.digest_receiver = receiver
        self.transmit = transmit
        self.received: dict[int, float] = {}
        self.has_adopted = False

    def send_levels(self, host: str) -> None:
        """Tell a daemon the tokens that are left, if they are known here."""
        if not self.knows_levels():
            return
        used = self.quotas.read_used_accounts()
        others = (name for name in self.quotas.buckets if name not in used)
        levels = tuple(
            notices.AccountLevel(
                digest.hash_name(name), self.quotas.read_tokens(name)
            )
            for name in itertools.islice(
                itertools.chain(sorted(used), others), MAX_LEVELS
            )
        )
        if levels:
            self.transmit(notices.QuotaLevels(levels), (host,))

    def knows_levels(self) -> bool:
        """Return whether this daemon knows what was admitted lately."""
        return (
            self.quotas.starts_full
            or self.has_adopted
            or self.quotas.read_fleet_time() > SETTLED_SECONDS
        )

    def handle_levels(self, message: notices.QuotaLevels) -> None:
        """Take over the tokens of another daemon soon after the start."""
        fleet_time = self.quotas.read_fleet_time()
        if self.quotas.starts_full or fleet_time > ADOPTION_SECONDS:
            return
        for level in message.levels:
            self.received[level.account] = min(
                level.tokens, self.received.get(level.account, math.inf)
            )
        self.apply_received()

    def apply_received(self) -> None:
        """Apply the tokens of the accounts that are configured."""
        for account_hash in tuple(self.received):
            name = self.digest_receiver.names_by_hash.get(account_hash, '')
            if name in self.quotas.buckets:
                self.quotas.adopt(name, self.received.pop(account_hash))
                self.has_adopted = True
