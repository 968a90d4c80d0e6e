"""The append-only log of one shard of claims in the platform.

Records are appended by conditional updates of the newest segment, so all
writers of a shard agree on one order of records. The first claim of a key is
accepted, and every other writer sees it.
"""

import dataclasses
import typing
from collections import abc

from sapphirepaddle import errors
from sapphirepaddle.claims import record, segment
from sapphirepaddle.store import object_store, stored_object

State = record.State
MAX_WRITE_ATTEMPTS: typing.Final = 8
INITIAL_STATES: typing.Final = frozenset((State.CLAIMED, State.RELEASED))
"""States of a record that are accepted for a key without an earlier record."""


@dataclasses.dataclass(frozen=True, slots=True)
class IndexEntry:
    """The newest record of a key and its segment.

    Attributes:
        state: State of the record.
        token: Token of its claim.
        fingerprint: Fingerprint of its request.
        at: Time of the record, Unix time in seconds.
        segment: Number of its segment.
    """

    state: State
    token: str
    fingerprint: str
    at: float
    segment: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The result of proposing a record.

    Attributes:
        accepted: Whether the record is part of the log.
        current: The key's earlier entry, if there was one; None as well for
            a record that was already in the log.
    """

    accepted: bool
    current: IndexEntry | None = None


class ShardLog:
    """The log of one shard, with an index of the newest record of each key.

    Attributes:
        shard: Number of the shard.
        store: The platform's object store.
        segment_bytes: Size in bytes above which a segment is sealed.
        retention_seconds: Seconds for which a key is remembered.
        index: Index entries by key.
        newest_segment: The segment that records are appended to.
        newest_number: Number of the newest segment.
        newest_version: Version of its object; 0 before it is created.
        newest_record_times: Unix time of the newest record, by segment
            number.
        is_loaded: Whether the log was loaded, and no write has since been
            left with an unknown result.
    """

    def __init__(
        self,
        shard: int,
        store: object_store.ObjectStore,
        segment_bytes: int,
        retention_seconds: float,
    ) -> None:
        """Initialize an empty index; the first commit loads the log."""
        self.shard = shard
        self.store = store
        self.segment_bytes = segment_bytes
        self.retention_seconds = retention_seconds
        self.index: dict[str, IndexEntry] = {}
        self.newest_segment = segment.Segment()
        self.newest_number = 1
        self.newest_version = 0
        self.newest_record_times: dict[int, float] = {}
        self.is_loaded = False

    async def load(self) -> None:
        """Read all segments and build the index.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        self.index.clear()
        self.newest_segment = segment.Segment()
        self.newest_number = 1
        self.newest_version = 0
        last_key = segment.prefix_of(self.shard)
        while True:
            page = await self.store.list_page(
                segment.prefix_of(self.shard),
                last_key,
            )
            if not page:
                break
            for stored in page:
                self.apply_segment(stored)
            last_key = page[-1].key
        self.roll()
        self.is_loaded = True

    async def refresh(self) -> None:
        """Read the records that other writers appended.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        while True:
            key = segment.key_of(self.shard, self.newest_number)
            stored = await self.store.read(key)
            if stored is None or stored.version == self.newest_version:
                return
            self.apply_segment(stored)
            if not self.newest_segment.sealed:
                return
            self.roll()

    def apply_segment(self, stored: stored_object.StoredObject) -> None:
        """Make a segment the newest one and index its records.

        Raises:
            PlatformUnavailableError: If it cannot be decoded.
        """
        new_segment = segment.decode(stored.body)
        self.newest_number = int(stored.key.rpartition('/')[2])
        self.newest_segment = new_segment
        self.newest_version = stored.version
        for new_record in self.newest_segment.records:
            self.index_record(new_record)

    def roll(self) -> None:
        """Start a new segment if the newest one is sealed."""
        if self.newest_segment.sealed:
            self.newest_number += 1
            self.newest_segment = segment.Segment()
            self.newest_version = 0

    def index_record(self, new_record: record.Record) -> None:
        """Add a record of the newest segment to the index."""
        self.newest_record_times[self.newest_number] = new_record.at
        self.index[new_record.key] = index_entry(new_record, self.newest_number)

    def decide(
        self,
        proposed: record.Record,
        current: IndexEntry | None,
        now: float,
    ) -> Decision:
        """Decide whether a record is accepted after the key's current one.

        The release of a claim that is not in the log is accepted as well,
        so that the claim cannot be accepted when it arrives later.

        Args:
            proposed: The proposed record.
            current: The current entry of its key, if there is one.
            now: Unix time in seconds.
        """
        if current is None or current.at < now - self.retention_seconds:
            return Decision(proposed.state in INITIAL_STATES, current)
        if current.token == proposed.token:
            return self.decide_same_claim(proposed, current)
        is_released = current.state is State.RELEASED
        return Decision(
            is_released and proposed.state is State.CLAIMED, current
        )

    def decide_same_claim(
        self,
        proposed: record.Record,
        current: IndexEntry,
    ) -> Decision:
        """Decide on a record with the same token as the current entry.

        A record with the current state is accepted: it is the retry of a
        write whose response was lost.
        """
        if proposed.state is current.state:
            return Decision(accepted=True)
        return Decision(current.state is State.CLAIMED, current)

    async def commit(
        self,
        proposed: abc.Sequence[record.Record],
        now: float,
    ) -> list[Decision]:
        """Append the acceptable ones of some records.

        Args:
            proposed: The proposed records in order.
            now: Unix time in seconds.

        Returns:
            The decision on each record.

        Raises:
            PlatformUnavailableError: If the platform does not answer or too
                many writes conflicted. The records may have been written all
                the same; committing them again returns the decisions.
        """
        if not self.is_loaded:
            await self.load()
        for _ in range(MAX_WRITE_ATTEMPTS):
            decisions, accepted = self.decide_all(proposed, now)
            if not accepted:
                return decisions
            try:
                await self.write(accepted)
            except errors.VersionConflictError:
                await self.refresh()
                continue
            except errors.PlatformUnavailableError:
                self.is_loaded = False
                raise
            return decisions
        raise errors.PlatformUnavailableError('too many conflicting writes')

    def decide_all(
        self,
        proposed: abc.Sequence[record.Record],
        now: float,
    ) -> tuple[list[Decision], list[record.Record]]:
        """Decide on records in order, taking earlier ones into account.

        Returns:
            The decision on each record, and the records to write.
        """
        pending: dict[str, IndexEntry] = {}
        decisions: list[Decision] = []
        accepted: list[record.Record] = []
        for new_record in proposed:
            current = pending.get(new_record.key) or self.index.get(
                new_record.key
            )
            decision = self.decide(new_record, current, now)
            decisions.append(decision)
            if decision.accepted and not is_recorded(new_record, current):
                accepted.append(new_record)
                pending[new_record.key] = index_entry(
                    new_record, self.newest_number
                )
        return decisions, accepted

    async def write(self, new_records: abc.Sequence[record.Record]) -> None:
        """Append records to the newest segment by a conditional update.

        Raises:
            VersionConflictError: If another writer changed the segment.
            PlatformUnavailableError: If the platform does not answer.
        """
        extended = segment.Segment(
            records=(*self.newest_segment.records, *new_records)
        )
        body = extended.encode()
        if len(body) > self.segment_bytes:
            extended = dataclasses.replace(extended, sealed=True)
            body = extended.encode()
        written = await self.store.write(
            segment.key_of(self.shard, self.newest_number),
            body,
            self.newest_version,
        )
        self.newest_segment = extended
        self.newest_version = written.version
        for new_record in new_records:
            self.index_record(new_record)
        self.roll()

    async def find(self, key: str) -> record.Record | None:
        """Return the newest record of a key from its segment.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        entry = self.index.get(key)
        if entry is None:
            return None
        stored = await self.store.read(
            segment.key_of(self.shard, entry.segment),
        )
        if stored is None or stored.body is None:
            return None
        records = segment.decode(stored.body).records
        matching = [candidate for candidate in records if candidate.key == key]
        return matching[-1] if matching else None

    async def prune(self, now: float) -> None:
        """Delete segments and index entries older than the retention.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        cutoff = now - self.retention_seconds
        expired = [
            number
            for number, newest_time in self.newest_record_times.items()
            if newest_time < cutoff and number < self.newest_number
        ]
        for number in expired:
            key = segment.key_of(self.shard, number)
            stored = await self.store.read(key)
            if stored is not None:
                await self.store.delete(key, stored.version)
            self.newest_record_times.pop(number)
        self.index = {
            key: entry
            for key, entry in self.index.items()
            if entry.at >= cutoff
        }


def index_entry(new_record: record.Record, number: int) -> IndexEntry:
    """Return the index entry of a record in a segment."""
    return IndexEntry(
        new_record.state,
        new_record.token,
        new_record.fingerprint,
        new_record.at,
        number,
    )


def is_recorded(new_record: record.Record, current: IndexEntry | None) -> bool:
    """Return whether a record is already in the log."""
    return current is not None and (current.token, current.state) == (
        new_record.token,
        new_record.state,
    )
