"""Watching of the objects of one kind in the source."""

import asyncio
import contextlib
import dataclasses
import random
import typing
from collections import abc

from sapphirepaddle import clock, errors
from sapphirepaddle.directory import revisions, source
from sapphirepaddle.telemetry import logs

WATCH_SECONDS: typing.Final = 20.0
"""Maximum wait of one watch call; every call is billed."""
READER_WATCH_SECONDS: typing.Final = 1.5
"""Maximum wait of a watch call by which a reader detects that the source has
stopped answering. A call that was received in an outage may never be answered,
so it must time out soon."""
CONFIGURATION_WATCH_SECONDS: typing.Final = 1.0
"""Maximum wait of a watch call for the configuration on the first reader of a
zone. An unanswered call must time out, and the answer to the next one reach all
daemons, within the time in which the source counts as stable again."""
SECOND_READER_WATCH_SECONDS: typing.Final = 6.0
"""Maximum wait of a watch call on a reader whose zone has a first reader, which
detects outages for both."""
PROBE_SECONDS: typing.Final = 0.05
"""Maximum wait of a watch call that finds out whether the source answers."""
SHORT_WATCH_SECONDS: typing.Final = 0.5
"""Maximum wait of a watch call while the source is unavailable or when a newer
state is known to exist."""
BATCH_PAUSE_SECONDS: typing.Final = 0.6
"""Pause after a change, so that the next call returns further changes in one
batch; well below the time in which changes must be applied."""
RELAYED_BATCH_PAUSE_SECONDS: typing.Final = 1.0
"""Pause after a change on a daemon to which readers relay changes. It stays
below the bounds for draining, as all readers of a zone may be partitioned."""
READER_BATCH_PAUSE_SECONDS: typing.Final = 0.4
"""Pause after a change on a reader; shorter because other daemons depend on the
version and fingerprint that readers publish."""
RETRY_STEP_SECONDS: typing.Final = 0.5
"""Increase of the pause with each consecutive failed call, before jitter."""
MAX_RETRY_SECONDS: typing.Final = 1.0
"""Maximum pause between calls while the source is unavailable: changes made
during an outage must be read soon after the recovery."""
ROLE_CHECK_SECONDS: typing.Final = 0.25
"""Interval at which a daemon that makes no calls checks whether it has become a
reader."""
RELAY_WAIT_SECONDS: typing.Final = (1.2, 2.0)
"""Range of the time for which a daemon that is no reader waits for what readers
relay from a new era of the source. Each daemon draws from it, so that those to
which nothing was relayed do not list at the same time."""
OUTDATED_PAUSE_SECONDS: typing.Final = 0.5
"""Pause after an answer of an older era of the source."""
MAX_PROBER_WAIT_SECONDS: typing.Final = 5.0
"""Maximum wait for the watcher that probes the source for both."""


def always_reader() -> bool:
    """Return True: by default a watcher makes fresh calls only."""
    return True


def ignore_contact_change() -> None:
    """Do nothing: by default nothing depends on the contact."""


@dataclasses.dataclass(slots=True)
class NextCall:
    """What the next call of a watcher must do.

    Attributes:
        must_list: Read a full list, although the revision is known.
        must_probe: Wait for PROBE_SECONDS only, if it is a watch call.
        is_refreshing: Whether the pending call is a fresh one that was made
            on request.
        must_refresh: Make another fresh call after the pending one, during
            which it was requested.
    """

    must_list: bool = False
    must_probe: bool = False
    is_refreshing: bool = False
    must_refresh: bool = False


@dataclasses.dataclass(slots=True)
class Reliance:
    """What a daemon that is no reader leaves to the readers.

    Attributes:
        is_led_by_readers: Whether it makes no calls after its first list,
            which may be stale, because the readers tell it all that they know.
        relay_wait_seconds: Time for which it waits for what they relay from a
            new era of the source before it lists.
        is_stale_list_sound: Whether its list of a new era may be stale, as
            what such a list lacks or reverts is known to be older.
    """

    is_led_by_readers: bool = False
    relay_wait_seconds: float = 0
    is_stale_list_sound: bool = False


class ObjectWatcher:
    """Keeps the objects of one kind up to date.

    Readers, a few daemons of each zone, watch with fresh calls, which return
    the newest state. Other daemons allow stale answers, which cost less, and
    make a fresh call when refresh() tells them that they are behind.

    Attributes:
        source: Source of the objects.
        kind: Kind of the objects.
        on_full_list: Called with all objects after a full list was read.
        on_changes: Called with the changed objects.
        revision: Last revision read completely; NOTHING_READ if a full list
            must be read.
        seen_revision: Newest revision of which some part was read.
        consecutive_failures: Number of failed calls since the last success.
        unavailable_since: Monotonic time of the first failed call of an
            outage; None while the source answers.
        contact_since: Monotonic time of the first answer since the last
            outage; None before the first answer.
        available: Event that is set while the source answers.
        outage_prober: Another watcher of the same source that alone probes it
            during an outage; None to probe it here.
        on_answer: Called at each answer, before its content is applied.
        on_failed: Called at each call that failed.
        on_lost: Called when the source stops answering.
        on_recovered: Called when the source answers again after an outage.
        is_reader: Returns whether this daemon is a reader.
        batch_seconds: Pause after a change on a daemon that is no reader.
        reader_watch_seconds: Maximum wait of one watch call on a reader.
        reliance: What a daemon that is no reader leaves to readers.
        call_started_at: Monotonic time at which the last watch call was made.
        refresh_requested: Event that is set until a fresh call was answered.
        next_call: What the next call must do.
        watch_timeout: Timeout of the pending watch call; None if there is
            none.
        logger: Logger for outages and recoveries of the source.
    """

    def __init__(
        self,
        object_source: source.Source,
        kind: str,
        on_full_list: abc.Callable[[list[source.Entry]], None],
        on_changes: abc.Callable[[list[source.Entry]], None],
    ) -> None:
        """Initialize; nothing is read before run()."""
        self.source = object_source
        self.kind = kind
        self.on_full_list = on_full_list
        self.on_changes = on_changes
        object_source.era.on_return.append(self.replace_call)
        self.revision = revisions.NOTHING_READ
        self.seen_revision = revisions.NOTHING_READ
        self.consecutive_failures = 0
        self.unavailable_since: float | None = None
        self.contact_since: float | None = None
        self.available = asyncio.Event()
        self.outage_prober: ObjectWatcher | None = None
        self.is_reader: abc.Callable[[], bool] = always_reader
        self.on_answer: abc.Callable[[], None] = ignore_contact_change
        self.on_failed: abc.Callable[[], None] = ignore_contact_change
        self.on_lost: abc.Callable[[], None] = ignore_contact_change
        self.on_recovered: abc.Callable[[], None] = ignore_contact_change
        self.batch_seconds = BATCH_PAUSE_SECONDS
        self.reader_watch_seconds = WATCH_SECONDS
        self.reliance = Reliance()
        self.call_started_at: float = 0
        self.refresh_requested = asyncio.Event()
        self.next_call = NextCall()
        self.watch_timeout: asyncio.Timeout | None = None
        self.logger = logs.get_logger('follower').bind(kind=kind)

    async def run(self) -> None:
        """Watch the source until cancelled."""
        while True:
            if self.is_resting():
                await asyncio.sleep(ROLE_CHECK_SECONDS)
                continue
            try:
                await self.poll_once()
            except errors.HistoryLostError:
                self.handle_lost_history()
            except errors.OutdatedAnswerError:
                await asyncio.sleep(OUTDATED_PAUSE_SECONDS)
            except errors.SourceError as error:
                await self.handle_failure(error)

    def is_resting(self) -> bool:
        """Return whether this daemon leaves all calls to readers for now."""
        if (
            not self.revision
            or self.refresh_requested.is_set()
            or self.is_reader()
        ):
            return False
        if self.reliance.is_led_by_readers:
            return True
        relay_ends_at = (
            self.source.era.returned_at + self.reliance.relay_wait_seconds
        )
        return self.is_of_older_era() and clock.monotonic() < relay_ends_at

    def is_of_older_era(self) -> bool:
        """Return whether the source has returned from an older copy since.

        What it has changed is not known then: the numbers that follow the
        revision may have been given out again.
        """
        return self.source.era.has_passed(self.revision)

    def handle_lost_history(self) -> None:
        """Read a full list next.

        The revision of an older era is kept, as it orders what peers relay.
        """
        self.logger.info(
            'history lost',
            era=self.revision.era,
            revision=self.revision.number,
            newest_era=self.source.era.number,
        )
        if not self.is_of_older_era():
            self.skip_to(revisions.NOTHING_READ)

    async def poll_once(self) -> None:
        """Make one list or watch call and apply its result.

        A watch that ended in less than half of its time is followed by a
        pause even without changes, so that early answers cause no busy loop.
        """
        must_list = self.next_call.must_list or not self.revision
        if must_list or self.is_of_older_era():
            await self.read_all()
            return
        self.call_started_at = clock.monotonic()
        wait_seconds = self.watch_seconds()
        self.next_call.must_probe = False
        read_result = await self.wait_for_changes(wait_seconds)
        if read_result is None:
            return
        self.handle_success()
        if read_result.revision >= self.seen_revision:
            self.skip_to(read_result.revision)
            if read_result.entries:
                self.on_changes(last_by_name(read_result.entries))
        has_ended_early = (
            clock.monotonic() - self.call_started_at < wait_seconds / 2
        )
        if read_result.entries or has_ended_early:
            await self.pause_for_batch()

    async def pause_for_batch(self) -> None:
        """Wait for further changes, unless a refresh is requested."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.batch_pause_seconds()):
                await self.refresh_requested.wait()

    def watch_seconds(self) -> float:
        """Return the maximum wait of the next watch call, in seconds."""
        if self.next_call.must_probe:
            return PROBE_SECONDS
        is_unavailable = self.unavailable_since is not None
        if is_unavailable or self.refresh_requested.is_set():
            return SHORT_WATCH_SECONDS
        return self.reader_watch_seconds if self.is_reader() else WATCH_SECONDS

    def batch_pause_seconds(self) -> float:
        """Return the pause before the next call, in seconds."""
        if self.is_reader():
            return READER_BATCH_PAUSE_SECONDS
        return self.batch_seconds

    async def wait_for_changes(
        self, wait_seconds: float
    ) -> source.ReadResult | None:
        """Wait for changes.

        Args:
            wait_seconds: Maximum wait of the call.

        Returns:
            The changes, or None if refresh() interrupted the call.
        """
        self.next_call.is_refreshing = self.refresh_requested.is_set()
        self.next_call.must_refresh = False
        is_fresh = self.next_call.is_refreshing or self.is_reader()
        watch_timeout = asyncio.timeout(None)
        self.watch_timeout = watch_timeout
        try:
            async with watch_timeout:
                read_result = await self.source.watch(
                    self.kind,
                    self.revision,
                    wait_seconds,
                    is_stale_allowed=not is_fresh,
                )
        except TimeoutError:
            return None
        finally:
            self.watch_timeout = None
            self.next_call.is_refreshing = False
        if is_fresh:
            if not self.next_call.must_refresh:
                self.refresh_requested.clear()
            self.seen_revision = self.revision
        return read_result

    def refresh(self) -> None:
        """Request a fresh call.

        It replaces a pending watch call, or ends the pause after a change. A
        fresh call that was requested before is not replaced, but followed by
        another one: requests in quick succession would otherwise keep each
        call from being answered, and a partition from being noticed.
        """
        self.refresh_requested.set()
        if self.next_call.is_refreshing:
            self.next_call.must_refresh = True
        else:
            self.replace_call()

    def probe(self) -> None:
        """Replace a pending watch call by one that waits for no change."""
        self.next_call.must_probe = True
        self.replace_call()

    def replace_call(self) -> None:
        """Replace a pending watch call, which may never be answered."""
        if self.watch_timeout is not None and not self.watch_timeout.expired():
            self.watch_timeout.reschedule(asyncio.get_running_loop().time())

    async def read_all(self) -> None:
        """Read all objects.

        A stale list would contain targets that have left and keys that were
        withdrawn, which this daemon may have known before a restart, and
        would revert changes that were already applied. Changes between the
        pages of a list are read at once by a fresh call.
        """
        is_stale_allowed = not self.is_reader() and (
            self.reliance.is_led_by_readers
            or (self.reliance.is_stale_list_sound and bool(self.revision))
        )
        read_result = await self.source.list_all(self.kind, is_stale_allowed)
        self.handle_success()
        self.next_call.must_list = False
        if read_result.revision < self.revision:
            return
        self.skip_to(read_result.revision)
        self.on_full_list(read_result.entries)
        if read_result.newest_revision > read_result.revision:
            self.seen_revision = read_result.newest_revision
            self.refresh()
            self.probe()

    def request_list(self) -> None:
        """Request a full list, for a state that no watch will correct.

        A fresh call that was requested before ends first, as it may show that
        the source does not answer.
        """
        self.next_call.must_list = True
        if not self.next_call.is_refreshing:
            self.replace_call()

    def skip_to(self, revision: revisions.Revision) -> None:
        """Continue from a revision whose objects were obtained elsewhere.

        The answer to a pending call is ignored if it reflects an older one. A
        call from a revision of an older era is replaced.
        """
        if revision and self.is_of_older_era():
            self.replace_call()
        self.revision = revision
        self.seen_revision = revision

    def has_waited_since(self, moment: float) -> bool:
        """Return whether a call was pending at a moment and still is.

        Args:
            moment: Seconds on the monotonic clock.
        """
        return self.watch_timeout is not None and self.call_started_at <= moment

    def handle_success(self) -> None:
        """Record that the source answered."""
        now = clock.monotonic()
        self.on_answer()
        if self.contact_since is None or self.unavailable_since is not None:
            self.contact_since = now
        if self.unavailable_since is not None:
            self.logger.info(
                'source recovered',
                away=round(now - self.unavailable_since, 2),
            )
            self.on_recovered()
        self.unavailable_since = None
        self.consecutive_failures = 0
        self.available.set()

    async def handle_failure(self, error: errors.SourceError) -> None:
        """Record a failed call and wait before the next one.

        Waits until the outage prober reaches the source again, if there is
        one and it is in an outage too, else for a random pause that grows
        with the number of consecutive failures.
        """
        self.on_failed()
        if self.unavailable_since is None:
            self.unavailable_since = clock.monotonic()
            self.available.clear()
            self.logger.warning(
                'source unavailable',
                reason=error.detail,
                revision=self.revision.number,
            )
            self.on_lost()
        self.consecutive_failures += 1
        if self.outage_prober is None or self.outage_prober.available.is_set():
            await asyncio.sleep(
                retry_pause(
                    self.consecutive_failures,
                    clock.monotonic() - self.call_started_at,
                )
                * random.uniform(MIN_JITTER_RATIO, 1)
            )
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_PROBER_WAIT_SECONDS):
                await self.outage_prober.available.wait()


def last_by_name(entries: list[source.Entry]) -> list[source.Entry]:
    """Return the last of the changes of each object.

    A watch from a revision older than some part of the state repeats changes
    that this part contains; only the last one is never older than the state.
    """
    return list({entry.name: entry for entry in entries}.values())


MIN_JITTER_RATIO: typing.Final = 0.5
"""Least part of a retry pause that remains after jitter: pauses are drawn
between half and all of their length."""


def retry_pause(consecutive_failures: int, call_seconds: float) -> float:
    """Return the pause before the next call, in seconds, without jitter.

    The pause after the first failure counts from the start of the failed call:
    a call that timed out has waited long enough, and may be the only one that
    was lost.

    Args:
        consecutive_failures: Number of failed calls since the last success.
        call_seconds: Time since the failed call was made, in seconds.
    """
    pause_seconds = min(
        MAX_RETRY_SECONDS, RETRY_STEP_SECONDS * consecutive_failures
    )
    if consecutive_failures == 1:
        return max(0, pause_seconds - call_seconds)
    return pause_seconds
