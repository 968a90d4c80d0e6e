"""The audit trail in the platform.

Each daemon gathers its entries and writes them as objects of its own, at
most one a second. While the platform is silent they wait in memory. Objects
past the retention are deleted, so that the trail stays bounded.
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


class AuditLog:
    """Gathers and writes the entries of this daemon.

    Attributes:
        vm: Name of the VM.
        incarnation: Start of the process.
        store: The platform.
        counters: Totals for metrics.
        retention_days: Days after which entries are deleted.
        waiting: Entries not yet sent, oldest first.
        sending: Entries of the object that is being written.
        writing: Held while objects are written.
        numbers: Numbers of entries.
        batches: Numbers of objects.
        batch: Number of the object to write next.
        may_prune: Whether this daemon deletes old objects now.
        logger: Also gets each entry.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        objects: object_store.ObjectStore,
        totals: counters.Counters,
        retention_days: int,
    ) -> None:
        """Start with nothing to write."""
        self.vm = vm
        self.incarnation = incarnation
        self.store = objects
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
        """Add an entry; beyond a bound the oldest is dropped and counted.

        Args:
            action: What was done.
            subject: What it was done to.
            actor: Name of the operator; this VM if empty.
            before: Version or state before.
            after: Version or state after.
            reason: Why.
        """
        added = entry.AuditEntry(
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
        self.pending_entries.append(added)
        self.logger.info(action, target=subject, actor=added.actor)

    async def run(self) -> None:
        """Write what waits, again and again."""
        for count in itertools.count(1):
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            await self.flush()
            if count % WRITES_PER_PRUNE == 0 and self.may_prune():
                await self.prune()

    async def flush(self) -> None:
        """Write what waits, if the platform answers."""
        async with self.write_lock:
            while self.pending_entries or self.batch_entries:
                if not await self.write_batch():
                    return

    async def write_batch(self) -> bool:
        """Write one object; False while the platform is silent.

        The same entries are sent until they are known to be written: an
        object that exists holds just these.
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
        """Delete objects past the retention."""
        limit = int(clock.wall() // SECONDS_PER_DAY) - self.retention_days
        try:
            page = await self.store.list_page(KEY_PREFIX, KEY_PREFIX)
            old = [held for held in page if day_of(held.key) < limit]
            for held in old:
                await self.store.delete(held.key, held.version)
        except errors.PlatformError:
            self.counters.add('audit_prune_failed')


def day_of(key: str) -> int:
    """Return the day of an object, counted from the Unix epoch."""
    return int(key.removeprefix(KEY_PREFIX).partition('/')[0])


async def read(
    objects: object_store.ObjectStore,
    since: float,
) -> list[entry.AuditEntry]:
    """Return the entries since a time, in order.

    Args:
        objects: The platform.
        since: Unix time in seconds.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
    """
    found: list[entry.AuditEntry] = []
    last = f'{KEY_PREFIX}{int(since // SECONDS_PER_DAY)}'
    while True:
        page = await objects.list_page(KEY_PREFIX, last)
        if not page:
            break
        last = page[-1].key
        for held in page:
            found.extend(entry.LIST_ADAPTER.validate_json(held.body or b'[]'))
    recent = [added for added in found if added.at >= since]
    return sorted(recent, key=sort_key)


def sort_key(added: entry.AuditEntry) -> tuple[float, str, int]:
    """Return the place of an entry in the trail."""
    return (added.at, added.vm, added.number)
