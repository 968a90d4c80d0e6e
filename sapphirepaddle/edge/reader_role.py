"""Decides whether a daemon reads the source for its zone, and detects lag."""

import dataclasses
import math
import typing

from sapphirepaddle import clock
from sapphirepaddle.directory import object_watcher
from sapphirepaddle.edge import target_freshness
from sapphirepaddle.peers import count_exchange, digest, fleet
from sapphirepaddle.telemetry import logs

MAX_MISMATCH_SECONDS: typing.Final = 0.7
"""Time for which the targets fingerprint of a reader may differ from the local
one: slightly longer than the interval in which watches batch changes."""
MAX_MISSING_SECONDS: typing.Final = 1.2
"""Time for which no reader may report known targets whatever is read; then a
full list is read. The fresh call after a mismatch is normally answered by
then."""
MAX_DIFFERENCE_SECONDS: typing.Final = 3.0
"""The same for one reader, while another one reports known targets."""
LIST_INTERVAL_SECONDS: typing.Final = (10.0, 320.0)
"""First and longest interval between lists that do not help; it doubles."""
SETTLING_SECONDS: typing.Final = 1.5
"""Time after the start in which a daemon is no reader, as it does not know the
others of its zone. Its first lists are fresh."""
MAX_LOGGED_SECONDS: typing.Final = 999.0
"""Maximum age that is logged; it stands for targets that no reader knew."""
CONTACT_TOLERANCE_SECONDS: typing.Final = 0.3
"""Tolerance of the time at which a reader reports to have regained contact: its
resolution and the delay of the report."""
FIRST_READER_SECONDS: typing.Final = (
    object_watcher.READER_WATCH_SECONDS,
    object_watcher.CONFIGURATION_WATCH_SECONDS,
)
"""Maximum wait of a call on the first reader, for targets and configuration."""
SECOND_READER_SECONDS: typing.Final = (
    object_watcher.SECOND_READER_WATCH_SECONDS,
    object_watcher.WATCH_SECONDS,
)
"""Maximum wait of a call on the second reader, which learns of a newer
configuration from the first readers of all zones."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandledMismatch:
    """A difference for which a fresh call was made.

    Attributes:
        pair: Local and remote fingerprint.
        at: Monotonic time of the request.
    """

    pair: tuple[int, int]
    at: float


@dataclasses.dataclass(slots=True)
class ListSchedule:
    """When the next full list may be read.

    Attributes:
        next_at: Monotonic time from which it may be.
        interval_seconds: Interval after the next list.
    """

    next_at: float = -math.inf
    interval_seconds: float = LIST_INTERVAL_SECONDS[0]

    def record(self, now: float) -> None:
        """Record that a list is read, and double the interval."""
        self.next_at = now + self.interval_seconds
        self.interval_seconds = min(
            2 * self.interval_seconds, LIST_INTERVAL_SECONDS[1]
        )


class ReaderRole:
    """Decides whether a daemon reads the source with fresh calls.

    A fresh call is answered with the current state, and costs more than one
    whose answer may be stale. A few daemons of a zone, the readers, watch the
    source with fresh calls. Each sends the others a fingerprint of the
    registrations that it has loaded. The other daemons watch with calls whose
    answer may be stale, and make a fresh call when the fingerprint of a
    reader has differed for MAX_MISMATCH_SECONDS, or when a reader has regained
    contact since their call. A daemon whose targets differ for longer, although
    it has read all changes, has missed one and reads the full list.

    Attributes:
        watchers: Watchers of the source, first that of the targets, which
            detects outages for the others.
        watch_seconds: Maximum wait of a call on the first reader, and on the
            second one, by watcher.
        count_exchange: Provides the fleet and the fingerprints.
        local_hash: Hash of this daemon's name.
        settled_at: Monotonic time from which it may be a reader.
        was_reader: Whether this daemon was a reader at the last check.
        was_first: Whether it was the first reader at the last check.
        handled_mismatches: The last pair of local and remote fingerprint for
            which a fresh call was made, and when, by reader.
        missing_schedule: When the full list may be read if no reader reports
            known targets.
        difference_schedule: The same if one reader reports others.
        freshness: Compares the targets with those of the readers.
        logger: Log of role changes and mismatches.
    """

    def __init__(
        self,
        target_watcher: object_watcher.ObjectWatcher,
        configuration_watcher: object_watcher.ObjectWatcher,
        exchange: count_exchange.CountExchange,
    ) -> None:
        """Initialize as no reader, as no other daemon is known yet."""
        self.watchers: list[object_watcher.ObjectWatcher] = []
        self.watch_seconds: list[tuple[float, float]] = []
        self.count_exchange = exchange
        self.local_hash = digest.hash_name(exchange.fleet.local_member.name)
        self.settled_at = clock.monotonic() + SETTLING_SECONDS
        self.was_reader = False
        self.was_first = True
        self.handled_mismatches: dict[int, HandledMismatch] = {}
        self.missing_schedule = ListSchedule()
        self.difference_schedule = ListSchedule()
        self.freshness = target_freshness.TargetFreshness()
        self.logger = logs.get_logger('reading')
        for watcher, *seconds in zip(
            (target_watcher, configuration_watcher),
            FIRST_READER_SECONDS,
            SECOND_READER_SECONDS,
            strict=True,
        ):
            self.add_watcher(watcher, (seconds[0], seconds[1]))

    def add_watcher(
        self,
        watcher: object_watcher.ObjectWatcher,
        watch_seconds: tuple[float, float],
    ) -> None:
        """Let a watcher read the source by the role of this daemon.

        Args:
            watcher: The watcher.
            watch_seconds: Maximum wait of a call on the first reader, and on
                the second one.
        """
        watcher.is_reader = self.is_reader
        self.watchers.append(watcher)
        self.watch_seconds.append(watch_seconds)

    def is_reader(self) -> bool:
        """Return whether this daemon is a reader of its zone."""
        if clock.monotonic() < self.settled_at:
            return False
        return self.local_hash in self.count_exchange.fleet.reader_hashes()

    def reconcile(self) -> list[int]:
        """Update the role, and refresh the targets after a mismatch.

        Returns:
            The readers whose targets have differed for too long.
        """
        is_reader = self.is_reader()
        if is_reader != self.was_reader:
            self.was_reader = is_reader
            self.logger.info('reader role', is_reader=is_reader)
            if is_reader:
                self.refresh_all()
        self.update_rank()
        self.freshness.compare(
            {
                key: reader.targets_fingerprint
                for key, reader in self.peer_readers().items()
            }
        )
        readers = self.readers_ahead()
        if readers:
            self.log_difference(readers)
            self.watchers[0].refresh()
        self.list_if_different()
        self.replace_unanswered_calls()
        return readers

    def log_difference(self, readers: list[int]) -> None:
        """Log that readers know other targets, and what is done about it.

        Args:
            readers: Hashes of the names of the readers.
        """
        target_watcher = self.watchers[0]
        self.logger.info(
            'targets differ from those of readers',
            readers=len(readers),
            missing=round(self.freshness.missing_seconds(), 2),
            age=round(min(self.freshness.age_seconds(), MAX_LOGGED_SECONDS), 2),
            revision=target_watcher.revision.number,
            is_available=target_watcher.unavailable_since is None,
            was_requested=target_watcher.refresh_requested.is_set(),
        )

    def list_if_different(self) -> None:
        """Read the full list if the targets have differed for too long.

        Watches bring only what changes, so they repair no change that was
        missed. Readers compare themselves with each other, and list as well.
        """
        freshness = self.freshness
        if not freshness.missing_seconds():
            self.missing_schedule = ListSchedule()
        if not freshness.has_unmatched():
            self.difference_schedule = ListSchedule()
        if self.watchers[0].unavailable_since is not None:
            return
        schedule = self.difference_schedule
        seconds = max(
            map(freshness.unmatched_seconds, freshness.comparisons), default=0
        )
        limit_seconds = MAX_DIFFERENCE_SECONDS
        if freshness.missing_seconds():
            schedule = self.missing_schedule
            limit_seconds = MAX_MISSING_SECONDS
        now = clock.monotonic()
        if seconds > limit_seconds and now >= schedule.next_at:
            self.logger.warning('targets differ for long, list requested')
            schedule.record(now)
            self.watchers[0].request_list()

    def update_rank(self) -> None:
        """Set how long a call may wait, by the rank among the readers.

        The first reader detects that the source has stopped answering, also
        for calls that only it left unanswered. A second reader that becomes
        the first one replaces its calls, which may wait for longer, and finds
        out at once whether the source answers.
        """
        is_first = self.count_exchange.fleet.reader_hashes()[-1] == (
            self.local_hash
        )
        if is_first == self.was_first:
            return
        self.was_first = is_first
        for watcher, (first_seconds, second_seconds) in zip(
            self.watchers, self.watch_seconds, strict=True
        ):
            watcher.reader_watch_seconds = (
                first_seconds if is_first else second_seconds
            )
            if is_first:
                watcher.replace_call()
        if is_first:
            self.watchers[0].probe()

    def replace_unanswered_calls(self) -> None:
        """Replace calls made before a reader regained contact.

        The source may have received them in an outage; then it never answers
        them. The new calls may be stale: what the reader has read since is
        relayed, or shows in its fingerprint and version.
        """
        recovered_at = max(
            (
                reader.contact.since
                for reader in self.peer_readers().values()
                if reader.contact.since is not None
            ),
            default=-math.inf,
        )
        for watcher in self.watchers:
            if recovered_at > watcher.call_started_at + (
                CONTACT_TOLERANCE_SECONDS
            ):
                watcher.replace_call()

    def peer_readers(self) -> dict[int, fleet.Peer]:
        """Return the other readers of the zone by the hash of the name.

        A daemon without contact to the source that hears from none compares
        itself with readers of other zones.
        """
        peer_fleet = self.count_exchange.fleet
        readers = {
            key: peer_fleet.peers[key]
            for key in peer_fleet.reader_hashes()
            if key in peer_fleet.peers
        }
        if readers or self.watchers[0].unavailable_since is None:
            return readers
        return {
            key: peer_fleet.peers[key]
            for key in peer_fleet.other_zone_readers()
        }

    def replace_other_calls(self) -> None:
        """Replace the pending calls of all watchers but that of the targets."""
        for watcher in self.watchers[1:]:
            watcher.replace_call()

    def handle_loss(self) -> None:
        """Pass on that calls fail, so that another daemon takes over."""
        self.retry_mismatches()
        if self.is_reader():
            self.count_exchange.request_immediate_send()

    def retry_mismatches(self) -> None:
        """Report mismatches again that were not resolved."""
        self.handled_mismatches.clear()

    def refresh_all(self) -> None:
        """Refresh all watchers with fresh calls."""
        for watcher in self.watchers:
            watcher.refresh()

    def readers_ahead(self) -> list[int]:
        """Return the readers whose fingerprint has differed for too long.

        Each pair of fingerprints is reported once, and each reader at most
        once in MAX_MISMATCH_SECONDS.
        """
        now = clock.monotonic()
        local_fingerprint = self.count_exchange.read_targets_fingerprint()
        readers = []
        for key, reader in self.peer_readers().items():
            pair = (local_fingerprint, reader.targets_fingerprint)
            handled = self.handled_mismatches.get(key)
            is_handled = handled is not None and (
                handled.pair == pair or now - handled.at < MAX_MISMATCH_SECONDS
            )
            unmatched_seconds = self.freshness.unmatched_seconds(key)
            if unmatched_seconds > MAX_MISMATCH_SECONDS and not is_handled:
                self.handled_mismatches[key] = HandledMismatch(pair, now)
                readers.append(key)
        return readers
