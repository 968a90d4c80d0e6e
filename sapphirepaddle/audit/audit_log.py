"""Audit log stored in the platform.

Each daemon collects its entries and writes them as separate objects once a
second. While the platform does not answer, entries wait in memory. Objects
past the retention period are deleted to bound the size of the log.
"""

import asyncio
import collections
import itertools
import typing

import orjson

from sapphirepaddle import clock, errors
from sapphirepaddle.audit import entry
from sapphirepaddle.store import object_store
from sapphirepaddle.telemetry import counters, logs

KEY_PREFIX: typing.Final = 'audit/'
WRITE_INTERVAL_SECONDS: typing.Final = 1
MAX_PENDING_ENTRIES: typing.Final = 100000
BATCH_ENTRIES: typing.Final = 1000
SECONDS_PER_DAY: typing.Final = 86400
BATCH_NUMBER_DIGITS: typing.Final = 8
WRITES_PER_PRUNE: typing.Final = 600
"""Write intervals from one deletion of expired objects to the next."""


class AuditLog:
    """Buffers and writes the audit entries of this daemon.

    Attributes:
        vm: Name of the VM.
        incarnation: Identifies the start of the process.
        store: Object store of the platform.
        counters: Counters for metrics.
        retention_days: Days after which entries are deleted.
        pending_entries: Entries not yet written, oldest first.
        batch_entries: Entries of the object that is being written.
        write_lock: Serializes writers of batches.
        entry_numbers: Iterator over entry numbers.
        next_batch: Number of the next object to write.
        may_prune: Returns whether this daemon deletes expired objects.
        logger: Logs each entry as it is added.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        store: object_store.ObjectStore,
        totals: counters.Counters,
        retention_days: int,
    ) -> None:
        """Initialize a log without pending entries."""
        self.vm = vm
        self.incarnation = incarnation
        self.store = store
        self.counters = totals
        self.retention_days = retention_days
        self.pending_entries: collections.deque[entry.AuditEntry] = (
            collections.deque()
        )
        self.batch_entries: list[entry.AuditEntry] = []
        self.write_lock = asyncio.Lock()
        self.entry_numbers = itertools.count(1)
        self.next_batch = 1
        self.may_prune: typing.Callable[[], bool] = bool
        self.logger = logs.get_logger('audit')

    def add(
        self,
        action: str,
        subject: str,
        *,
        actor: str = '',
        before: str = '',
        after: str = '',
        reason: str = '',
    ) -> None:
        """Add an entry to be written.

        At MAX_PENDING_ENTRIES the oldest pending entry is dropped, and
        counted as `audit_dropped`.

        Args:
            action: Name of the action or decision.
            subject: Object that the action changed.
            actor: Name of the operator; empty for this VM.
            before: Version or state before the action.
            after: Version or state after the action.
            reason: Reason of the action.
        """
        audit_entry = entry.AuditEntry(
            at=clock.wall(),
            vm=self.vm,
            number=next(self.entry_numbers),
            actor=actor or self.vm,
            action=action,
            subject=subject,
            before=before,
            after=after,
            reason=reason,
        )
        if len(self.pending_entries) >= MAX_PENDING_ENTRIES:
            self.pending_entries.popleft()
            self.counters.add('audit_dropped')
        self.pending_entries.append(audit_entry)
        self.logger.info(action, target=subject, actor=audit_entry.actor)

    async def run(self) -> None:
        """Write pending entries and prune the log periodically."""
        for count in itertools.count(1):
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            await self.flush()
            if count % WRITES_PER_PRUNE == 0 and self.may_prune():
                await self.prune()

    async def flush(self) -> None:
        """Write all pending entries, or stop if the platform fails."""
        async with self.write_lock:
            while self.pending_entries or self.batch_entries:
                if not await self.write_batch():
                    return

    async def write_batch(self) -> bool:
        """Write one object and return whether it was written.

        A failed write may have taken effect, so the same entries are
        retried under the same key until the write is known to have
        succeeded. A version conflict means that the object already holds
        these entries.
        """
        if not self.batch_entries:
            self.batch_entries = list(
                itertools.islice(self.pending_entries, BATCH_ENTRIES)
            )
            for _ in self.batch_entries:
                self.pending_entries.popleft()
        try:
            await self.store.write(
                self.batch_key(), orjson.dumps(self.batch_entries), 0
            )
        except errors.VersionConflictError:
            self.counters.add('audit_read_back')
        except errors.PlatformError:
            return False
        self.next_batch += 1
        self.batch_entries = []
        return True

    def batch_key(self) -> str:
        """Return the key of the object that is being written."""
        day = int(self.batch_entries[0].at // SECONDS_PER_DAY)
        number = f'{self.next_batch:0{BATCH_NUMBER_DIGITS}d}'
        return f'{KEY_PREFIX}{day}/{self.vm}/{self.incarnation}/{number}'

    async def prune(self) -> None:
        """Delete objects past the retention period.

        Handles one page of objects; later runs delete the rest.
        """
        oldest_day = int(clock.wall() // SECONDS_PER_DAY) - self.retention_days
        try:
            page = await self.store.list_page(KEY_PREFIX, KEY_PREFIX)
            expired = [
                stored for stored in page if day_of(stored.key) < oldest_day
            ]
            for stored in expired:
                await self.store.delete(stored.key, stored.version)
        except errors.PlatformError:
            self.counters.add('audit_prune_failed')


def day_of(key: str) -> int:
    """Return the day in an object key, counted from the Unix epoch."""
    return int(key.removeprefix(KEY_PREFIX).partition('/')[0])


async def read(
    store: object_store.ObjectStore,
    since: float,
) -> list[entry.AuditEntry]:
    """Return the entries since a time, ordered by time.

    Args:
        store: Object store of the platform.
        since: Unix time in seconds.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
    """
    entries: list[entry.AuditEntry] = []
    last_key = f'{KEY_PREFIX}{int(since // SECONDS_PER_DAY)}'
    while True:
        page = await store.list_page(KEY_PREFIX, last_key)
        if not page:
            break
        last_key = page[-1].key
        for stored in page:
            entries.extend(
                entry.LIST_ADAPTER.validate_json(stored.body or b'[]')
            )
    recent = [audit_entry for audit_entry in entries if audit_entry.at >= since]
    return sorted(recent, key=sort_key)


def sort_key(audit_entry: entry.AuditEntry) -> tuple[float, str, int]:
    """Return the key that orders entries by time, VM and number."""
    return (audit_entry.at, audit_entry.vm, audit_entry.number)
