"""Messages of the peer connections between entry daemons, as data classes.

Each class has the fields of its struct in messages.capnp.
"""

import dataclasses
import typing

from sapphirepaddle.peers import registry


def tuple_field(item_type: type) -> typing.Any:
    """Return a data class field for a tuple of messages or bytes."""
    return dataclasses.field(default=(), metadata={'of': item_type})


@dataclasses.dataclass(frozen=True, slots=True)
class GossipItem:
    """A versioned value that is spread to all daemons.

    Attributes:
        topic: Topic of the item.
        key: Identifies the object within the topic.
        version: Increases with each change of the object.
        payload: Value of the object, in the encoding of the topic.
    """

    topic: str
    key: str
    version: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TopicSummary:
    """Summary of all items of a topic.

    Attributes:
        topic: The topic.
        count: Number of items.
        digest: XOR of the hashes of the items.
    """

    topic: str
    count: int
    digest: int


@registry.register('hello')
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction.

    Attributes:
        vm: Name of the VM.
        zone: Name of its availability zone.
        incarnation: Identifies the process; increases with each start.
        nonce: Random bytes from which the keys of the connection are derived.
    """

    vm: str
    zone: str
    incarnation: int
    nonce: bytes


@registry.register('heartbeat')
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message that keeps a connection alive.

    Attributes:
        revision: Revision of the active configuration.
        age: Seconds since any reachable daemon was in contact with the
            platform.
        leaving: Whether the daemon is shutting down.
    """

    revision: int
    age: float
    leaving: bool


@registry.register('news')
@dataclasses.dataclass(frozen=True, slots=True)
class GossipItems:
    """Items to store and forward.

    Attributes:
        items: The items.
    """

    items: tuple[GossipItem, ...] = tuple_field(GossipItem)


@registry.register('sums')
@dataclasses.dataclass(frozen=True, slots=True)
class TopicSummaries:
    """Summaries of all topics, to detect missing items.

    Attributes:
        sums: One summary for each topic.
    """

    sums: tuple[TopicSummary, ...] = tuple_field(TopicSummary)


@registry.register('changesask')
@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Request for the changes after a revision.

    Attributes:
        after: Newest revision that the sender has.
    """

    after: int


@registry.register('changes')
@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order of revision; empty if no longer available.

    Attributes:
        entries: Encoded changes.
    """

    entries: tuple[bytes, ...] = tuple_field(bytes)


@registry.register('snapshotask')
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Request for a page of the whole configuration.

    Attributes:
        cursor: Number of the page.
    """

    cursor: int


@registry.register('snapshot')
@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A page of the whole configuration.

    Attributes:
        revision: Revision of the configuration.
        cursor: Number of the next page; 0 after the last.
        puts: Encoded objects.
    """

    revision: int
    cursor: int
    puts: tuple[bytes, ...] = tuple_field(bytes)


@registry.register('tokensask')
@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request for quota tokens, sent to the owner of a partition.

    Attributes:
        account: Name of the client account.
        partition: Number of the quota partition.
        wanted: Number of tokens requested.
        spent: Number of tokens of earlier leases that were spent or are no
            longer held.
    """

    account: str
    partition: int
    wanted: float
    spent: float


@registry.register('tokens')
@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens leased to the requesting daemon.

    Attributes:
        amount: Number of tokens leased.
        wait: Seconds until one more token is available.
        owned: Whether the responding daemon owns the partition.
    """

    amount: float
    wait: float
    owned: bool


@registry.register('claimask')
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request to the owner of a shard to commit a record.

    Attributes:
        shard: Number of the shard.
        record: Encoded record.
    """

    shard: int
    record: bytes


@registry.register('claim')
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of a claim request.

    Attributes:
        verdict: Whether the record was committed, or how it conflicts with
            an existing one.
        record: The encoded existing record; empty if the requested one was
            committed.
    """

    verdict: str
    record: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Results that a daemon had from a target since its last report.

    Attributes:
        target: Name of the target.
        good: Number of good results.
        bad: Number of errors, stalls and broken responses.
        slow: Number of complete but late responses.
    """

    target: str
    good: int
    bad: int
    slow: int


@registry.register('report')
@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Evidence for the daemon that detects outliers.

    Attributes:
        observations: One observation for each target.
    """

    observations: tuple[Observation, ...] = tuple_field(Observation)


@registry.register('failure')
@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Reply to a request that failed.

    Attributes:
        code: Number of the result code.
    """

    code: int
