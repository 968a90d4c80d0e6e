"""The log of one shard of claims in the platform.

Records are only ever added, by conditional updates of the newest segment.
So all writers of a shard agree on one order of records, whoever they are:
the first claim of a key stands, and any other writer sees it.
"""

import dataclasses
import typing
from collections import abc

from sapphirepaddle import errors
from sapphirepaddle.claims import record, segment
from sapphirepaddle.store import object_store

State = record.State
MAX_WRITE_ATTEMPTS: typing.Final = 8
OPENING: typing.Final = frozenset((State.CLAIMED, State.RELEASED))


@dataclasses.dataclass(frozen=True, slots=True)
class IndexEntry:
    """Where the newest record of a key stands.

    Attributes:
        state: Its state.
        token: Its token.
        fingerprint: Its fingerprint.
        at: Its time.
        segment: Number of its segment.
    """

    state: State
    token: str
    fingerprint: str
    at: float
    segment: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What became of a proposed record.

    Attributes:
        accepted: Whether it stands.
        held: The entry that stands instead, if it does not.
    """

    accepted: bool
    current: IndexEntry | None = None


class ShardLog:
    """One shard's records.

    Attributes:
        shard: Number of the shard.
        store: The platform.
        segment_bytes: Size from which a new segment is started.
        retention: Seconds for which a key is remembered.
        index: Newest record by key.
        head: The newest segment.
        number: Its number.
        version: Its version; 0 before it is created.
        newest: Time of the newest record by segment.
        is_loaded: Whether the index holds all that the platform holds.
    """

    def __init__(
        self,
        shard: int,
        objects: object_store.ObjectStore,
        segment_bytes: int,
        retention: float,
    ) -> None:
        """Start empty; the log is loaded at the first commit."""
        self.shard = shard
        self.store = objects
        self.segment_bytes = segment_bytes
        self.retention_seconds = retention
        self.index: dict[str, IndexEntry] = {}
        self.newest_segment = segment.Segment()
        self.newest_number = 1
        self.newest_version = 0
        self.newest_record_times: dict[int, float] = {}
        self.is_loaded = False

    async def load(self) -> None:
        """Read all segments.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        self.index.clear()
        self.newest_segment = segment.Segment()
        self.newest_number = 1
        self.newest_version = 0
        last = segment.prefix_of(self.shard)
        while True:
            page = await self.store.list_page(
                segment.prefix_of(self.shard),
                last,
            )
            if not page:
                break
            for held in page:
                self.apply_segment(held.key, held.body or b'', held.version)
            last = page[-1].key
        self.roll()
        self.is_loaded = True

    async def refresh(self) -> None:
        """Read what other writers added.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        while True:
            key = segment.key_of(self.shard, self.newest_number)
            held = await self.store.read(key)
            if held is None or held.version == self.newest_version:
                return
            self.apply_segment(key, held.body or b'', held.version)
            if not self.newest_segment.sealed:
                return
            self.roll()

    def apply_segment(self, key: str, body: bytes, version: int) -> None:
        """Take up one segment."""
        self.newest_number = int(key.rpartition('/')[2])
        self.newest_segment = segment.ADAPTER.validate_json(body)
        self.newest_version = version
        for entry in self.newest_segment.records:
            self.index_record(entry)

    def roll(self) -> None:
        """Go on to the next segment after a sealed one."""
        if self.newest_segment.sealed:
            self.newest_number += 1
            self.newest_segment = segment.Segment()
            self.newest_version = 0

    def index_record(self, entry: record.Record) -> None:
        """Index one record."""
        self.newest_record_times[self.newest_number] = entry.at
        self.index[entry.key] = index_entry(entry, self.newest_number)

    def decide(
        self,
        proposed: record.Record,
        held: IndexEntry | None,
        now: float,
    ) -> Decision:
        """Decide on one record after the one that stands.

        A release of a claim that never arrived stands too, so that the
        claim cannot arrive later.

        Args:
            proposed: The record.
            held: The entry that stands for its key.
            now: Unix time in seconds.
        """
        if held is None or held.at < now - self.retention_seconds:
            return Decision(proposed.state in OPENING, held)
        if held.token == proposed.token:
            return self.decide_same_claim(proposed, held)
        free = held.state is State.RELEASED
        return Decision(free and proposed.state is State.CLAIMED, held)

    def decide_same_claim(
        self,
        proposed: record.Record,
        held: IndexEntry,
    ) -> Decision:
        """Decide on a later step of the claim that stands.

        A step that stands already was written before its answer was lost.
        """
        if proposed.state is held.state:
            return Decision(accepted=True)
        return Decision(held.state is State.CLAIMED, held)

    async def commit(
        self,
        proposed: abc.Sequence[record.Record],
        now: float,
    ) -> list[Decision]:
        """Add those of some records that may stand.

        Args:
            proposed: The records in order.
            now: Unix time in seconds.

        Returns:
            What became of each.

        Raises:
            PlatformUnavailableError: If the platform does not answer; the
                records may stand all the same, and a repeated commit of
                the same records tells.
        """
        if not self.is_loaded:
            await self.load()
        for _ in range(MAX_WRITE_ATTEMPTS):
            decisions, added = self.decide_all(proposed, now)
            if not added:
                return decisions
            try:
                await self.write(added)
            except errors.VersionConflictError:
                await self.refresh()
                continue
            except errors.PlatformUnavailableError:
                self.is_loaded = False
                raise
            return decisions
        raise errors.PlatformUnavailableError('too many writers')

    def decide_all(
        self,
        proposed: abc.Sequence[record.Record],
        now: float,
    ) -> tuple[list[Decision], list[record.Record]]:
        """Decide on records in order, each after those before it."""
        fresh: dict[str, IndexEntry] = {}
        decisions: list[Decision] = []
        added: list[record.Record] = []
        for entry in proposed:
            held = fresh.get(entry.key) or self.index.get(entry.key)
            decision = self.decide(entry, held, now)
            decisions.append(decision)
            if decision.accepted and not is_recorded(entry, held):
                added.append(entry)
                fresh[entry.key] = index_entry(entry, self.newest_number)
        return decisions, added

    async def write(self, added: abc.Sequence[record.Record]) -> None:
        """Add records to the newest segment by a conditional update.

        Raises:
            VersionConflictError: If another writer was first.
            PlatformUnavailableError: If the platform does not answer.
        """
        longer = segment.Segment(records=(*self.newest_segment.records, *added))
        body = longer.encode()
        if len(body) > self.segment_bytes:
            longer = dataclasses.replace(longer, sealed=True)
            body = longer.encode()
        written = await self.store.write(
            segment.key_of(self.shard, self.newest_number),
            body,
            self.newest_version,
        )
        self.newest_segment = longer
        self.newest_version = written.version
        for entry in added:
            self.index_record(entry)
        self.roll()

    async def find(self, key: str) -> record.Record | None:
        """Return the newest record of a key with its outcome.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        entry = self.index.get(key)
        if entry is None:
            return None
        held = await self.store.read(
            segment.key_of(self.shard, entry.segment),
        )
        if held is None or held.body is None:
            return None
        records = segment.ADAPTER.validate_json(held.body).records
        matching = [found for found in records if found.key == key]
        return matching[-1] if matching else None

    async def prune(self, now: float) -> None:
        """Delete sealed segments past the retention.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        limit = now - self.retention_seconds
        old = [
            number
            for number, newest in self.newest_record_times.items()
            if newest < limit and number < self.newest_number
        ]
        for number in old:
            key = segment.key_of(self.shard, number)
            held = await self.store.read(key)
            if held is not None:
                await self.store.delete(key, held.version)
            self.newest_record_times.pop(number)
        self.index = {
            key: entry for key, entry in self.index.items() if entry.at >= limit
        }


def index_entry(entry: record.Record, number: int) -> IndexEntry:
    """Return the index entry of a record in a segment."""
    return IndexEntry(
        entry.state,
        entry.token,
        entry.fingerprint,
        entry.at,
        number,
    )


def is_recorded(entry: record.Record, held: IndexEntry | None) -> bool:
    """Tell whether a record stands already."""
    return held is not None and (held.token, held.state) == (
        entry.token,
        entry.state,
    )
