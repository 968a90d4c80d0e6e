"""Who of a zone reads the source for the others, and who is behind them."""

import typing

from sapphirepaddle import clock
from sapphirepaddle.directory import object_watcher
from sapphirepaddle.peers import digest, count_exchange
from sapphirepaddle.telemetry import logs

MAX_MISMATCH_SECONDS: typing.Final = 0.7
"""Time for which a reader may know other registrations than this daemon: a
little more than the pause in which changes are gathered."""


class ReaderRole:
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
        targets: object_watcher.ObjectWatcher,
        configurations: object_watcher.ObjectWatcher,
        pooled: count_exchange.CountExchange,
    ) -> None:
        """Start as a reader, as nobody else is known."""
        self.watchers = (targets, configurations)
        self.count_exchange = pooled
        self.local_key = digest.hash_name(pooled.fleet.local_member.name)
        self.was_reader = True
        self.mismatch_since: dict[int, float] = {}
        self.handled_mismatches: dict[int, tuple[int, int]] = {}
        self.logger = logs.get_logger('reading')
        for held in self.watchers:
            held.is_reader = self.is_reader

    def is_reader(self) -> bool:
        """Tell whether this daemon reads for its zone."""
        return self.local_key in self.count_exchange.fleet.reader_hashes()

    def reconcile(self) -> None:
        """Take up the role of a reader, or close a gap."""
        is_reader = self.is_reader()
        if is_reader != self.was_reader:
            self.was_reader = is_reader
            self.logger.info('reader role', is_reader=is_reader)
            if is_reader:
                self.refresh_all()
        late = self.readers_ahead()
        if late:
            self.logger.info('behind a reader', readers=len(late))
            self.watchers[0].refresh()

    def refresh_all(self) -> None:
        """Read everything by fresh calls."""
        for held in self.watchers:
            held.refresh()

    def readers_ahead(self) -> list[int]:
        """Return the readers that have known something else for long."""
        now = clock.monotonic()
        own = self.count_exchange.read_targets_fingerprint()
        pairs = {
            key: (own, held.targets_fingerprint)
            for key in self.count_exchange.fleet.reader_hashes()
            if (held := self.count_exchange.fleet.peers.get(key)) is not None
        }
        self.mismatch_since = {
            key: self.mismatch_since.get(key, now)
            for key, (mine, theirs) in pairs.items()
            if theirs
            and mine != theirs
            and self.handled_mismatches.get(key) != (mine, theirs)
        }
        late = [
            key
            for key, since in self.mismatch_since.items()
            if now - since > MAX_MISMATCH_SECONDS
        ]
        for key in late:
            self.handled_mismatches[key] = pairs[key]
        return late
