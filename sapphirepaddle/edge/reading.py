"""Who of a zone reads the source for the others, and who is behind them."""

import typing

from sapphirepaddle import clock
from sapphirepaddle.directory import follower
from sapphirepaddle.peers import digest, count_exchange
from sapphirepaddle.telemetry import logs

BEHIND_SECONDS: typing.Final = 0.7
"""Time for which a reader may know other registrations than this daemon: a
little more than the pause in which changes are gathered."""


class Reading:
    """Decides whether a daemon reads the source at the full price.

    A few daemons of a zone wait for changes with fresh calls. Each tells
    the others a fingerprint of the registrations that it knows. The others
    wait with calls that may be answered late, and read by a fresh call
    when a reader has known something else for a while.

    Attributes:
        followers: What is followed.
        pooling: What the other daemons tell.
        was_reader: Whether this daemon was a reader at the last review.
        differs: Since when a reader's fingerprint differs, by reader.
        settled: The last pair of own and other fingerprint, by reader,
            after which a fresh call was made.
        logger: Log of the role and of gaps.
    """

    def __init__(
        self,
        targets: follower.Follower,
        configurations: follower.Follower,
        pooled: count_exchange.CountExchange,
    ) -> None:
        """Start as a reader, as nobody else is known."""
        self.followers = (targets, configurations)
        self.pooling = pooled
        self.key = digest.hash_name(pooled.fleet.local_member.name)
        self.was_reader = True
        self.differs: dict[int, float] = {}
        self.settled: dict[int, tuple[int, int]] = {}
        self.logger = logs.get('reading')
        for held in self.followers:
            held.is_reader = self.is_reader

    def is_reader(self) -> bool:
        """Tell whether this daemon reads for its zone."""
        return self.key in self.pooling.fleet.reader_hashes()

    def review(self) -> None:
        """Take up the role of a reader, or close a gap."""
        is_reader = self.is_reader()
        if is_reader != self.was_reader:
            self.was_reader = is_reader
            self.logger.info('reader role', is_reader=is_reader)
            if is_reader:
                self.refresh()
        late = self.late_behind()
        if late:
            self.logger.info('behind a reader', readers=len(late))
            self.followers[0].refresh()

    def refresh(self) -> None:
        """Read everything by fresh calls."""
        for held in self.followers:
            held.refresh()

    def late_behind(self) -> list[int]:
        """Return the readers that have known something else for long."""
        now = clock.monotonic()
        own = self.pooling.read_targets_fingerprint()
        pairs = {
            key: (own, held.targets_fingerprint)
            for key in self.pooling.fleet.reader_hashes()
            if (held := self.pooling.fleet.peers.get(key)) is not None
        }
        self.differs = {
            key: self.differs.get(key, now)
            for key, (mine, theirs) in pairs.items()
            if theirs
            and mine != theirs
            and self.settled.get(key) != (mine, theirs)
        }
        late = [
            key
            for key, since in self.differs.items()
            if now - since > BEHIND_SECONDS
        ]
        for key in late:
            self.settled[key] = pairs[key]
        return late
