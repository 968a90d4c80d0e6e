"""Following the objects of one kind in the source."""

import asyncio
import contextlib
import random
import typing
from collections import abc

from sapphirepaddle import clock, errors
from sapphirepaddle.directory import source
from sapphirepaddle.telemetry import logs

WATCH_SECONDS: typing.Final = 20.0
"""Longest wait of one watch; each is a call that is paid for."""
OUTAGE_WATCH_SECONDS: typing.Final = 0.5
"""The same while the source is away. A call that it swallowed is not answered
after its return either, so that it must end soon."""
BATCH_PAUSE_SECONDS: typing.Final = 0.6
"""Pause after a change, so that further ones come with the next call; well
below the time in which changes must be in force."""
READER_BATCH_PAUSE_SECONDS: typing.Final = 0.4
"""The same for a reader, whose word the others wait for."""
RETRY_SECONDS: typing.Final = 0.5
"""Pause after a failed call, drawn between half and all of it."""
MAX_RETRY_SECONDS: typing.Final = 1.0
"""Longest pause between calls while the source is away: what changed
meanwhile must be known soon after its return."""
MAX_PROBER_WAIT_SECONDS: typing.Final = 5.0
"""Longest wait for the follower that tries for both."""


def always_reader() -> bool:
    """Return that all calls must be fresh."""
    return True


class ObjectWatcher:
    """Keeps the objects of one kind up to date.

    A reader waits for changes with calls that are answered with the newest
    state; the others take answers that may be late, at a lower price, and
    ask again with a fresh call when they are told that they are behind.

    Attributes:
        source: Where the objects are.
        kind: Their kind.
        take_all: Takes up a whole list.
        take_changes: Takes up changes.
        revision: Revision that was read last; 0 for none.
        failures: Failed calls in a row.
        lost_at: When the source stopped to answer.
        back_at: When it answered again.
        back: Set while the source answers.
        leader: Another follower of the same source, which tries for both
            while it is away; None for none.
        has_read: Whether a list was read.
        is_reader: Returns whether this daemon is a reader.
        is_behind: Whether the next call must be fresh.
        patience: Time limit of the call that waits; None for none.
        logger: Log of the contact with the source.
    """

    def __init__(
        self,
        read_from: source.Source,
        kind: str,
        take_all: abc.Callable[[list[source.Entry]], None],
        take_changes: abc.Callable[[list[source.Entry]], None],
    ) -> None:
        """Start without contact."""
        self.source = read_from
        self.kind = kind
        self.on_full_list = take_all
        self.on_changes = take_changes
        self.revision = 0
        self.consecutive_failures = 0
        self.unavailable_since: float | None = None
        self.recovered_at: float | None = None
        self.available = asyncio.Event()
        self.outage_prober: ObjectWatcher | None = None
        self.is_reader: abc.Callable[[], bool] = always_reader
        self.has_listed = False
        self.needs_fresh_call = False
        self.watch_timeout: asyncio.Timeout | None = None
        self.logger = logs.get_logger('follower').bind(kind=kind)

    async def run(self) -> None:
        """Follow the source for good."""
        while True:
            try:
                await self.poll_once()
            except errors.HistoryLostError:
                self.logger.info('history lost', revision=self.revision)
                self.revision = 0
            except errors.SourceError as error:
                await self.handle_failure(error)

    async def poll_once(self) -> None:
        """Make one call and take up what it brings."""
        if not self.revision:
            await self.read_all()
            return
        started = clock.monotonic()
        reading = await self.wait_for_changes()
        if reading is None:
            return
        self.handle_success()
        self.revision = max(self.revision, reading.revision)
        if reading.entries:
            self.on_changes(reading.entries)
        is_early = clock.monotonic() - started < WATCH_SECONDS / 2
        if reading.entries or is_early:
            await asyncio.sleep(self.batch_pause_seconds())

    def batch_pause_seconds(self) -> float:
        """Return the pause before the next call."""
        if self.is_reader():
            return READER_BATCH_PAUSE_SECONDS
        return BATCH_PAUSE_SECONDS

    async def wait_for_changes(self) -> source.ReadResult | None:
        """Wait for changes; None if a fresh call is wanted instead."""
        is_fresh = self.needs_fresh_call or self.is_reader()
        is_lost = self.unavailable_since is not None
        patience = asyncio.timeout(None)
        self.watch_timeout = patience
        try:
            async with patience:
                reading = await self.source.watch(
                    self.kind,
                    self.revision,
                    OUTAGE_WATCH_SECONDS if is_lost else WATCH_SECONDS,
                    is_stale_allowed=not is_fresh,
                )
        except TimeoutError:
            return None
        finally:
            self.watch_timeout = None
        if is_fresh:
            self.needs_fresh_call = False
        return reading

    def refresh(self) -> None:
        """Ask again with a fresh call, at once unless changes are gathered."""
        self.needs_fresh_call = True
        if self.watch_timeout is not None and not self.watch_timeout.expired():
            self.watch_timeout.reschedule(asyncio.get_running_loop().time())

    async def read_all(self) -> None:
        """Read all objects.

        The first list may be late: the calls that follow, or the readers'
        word, close the gap. Later ones may not, as they would take back
        what is known.
        """
        is_first = self.unavailable_since is None and not self.has_listed
        reading = await self.source.list_all(
            self.kind,
            is_stale_allowed=is_first,
        )
        self.handle_success()
        self.has_listed = True
        self.revision = reading.revision
        self.on_full_list(reading.entries)

    def handle_success(self) -> None:
        """Take in that the source answered."""
        if self.unavailable_since is not None:
            self.recovered_at = clock.monotonic()
            self.logger.info(
                'source back',
                away=round(self.recovered_at - self.unavailable_since, 2),
            )
        self.unavailable_since = None
        self.consecutive_failures = 0
        self.available.set()

    async def handle_failure(self, error: errors.SourceError) -> None:
        """Take in that a call failed, and pause."""
        if self.unavailable_since is None:
            self.unavailable_since = clock.monotonic()
            self.available.clear()
            self.logger.warning(
                'source lost',
                reason=error.detail,
                revision=self.revision,
            )
        self.consecutive_failures += 1
        pause = min(
            MAX_RETRY_SECONDS, RETRY_SECONDS * self.consecutive_failures
        )
        if self.outage_prober is None or self.outage_prober.available.is_set():
            await asyncio.sleep(pause * random.uniform(MIN_JITTER_RATIO, 1))
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_PROBER_WAIT_SECONDS):
                await self.outage_prober.available.wait()


MIN_JITTER_RATIO: typing.Final = 0.5
