"""Messages between daemons, as data classes.

Each class mirrors the struct of the same name in messages.capnp.
"""

import dataclasses
import typing

from sapphirepaddle.peers import registry


def sequence(inner: type) -> typing.Any:
    """Return a field that holds a tuple of messages."""
    return dataclasses.field(default=(), metadata={'of': inner})


@dataclasses.dataclass(frozen=True, slots=True)
class GossipItem:
    """One piece of news.

    Attributes:
        topic: What it is about.
        key: Which object of the topic.
        version: Rises with each piece of news on this object.
        payload: Encoded as the topic says.
    """

    topic: str
    key: str
    version: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TopicSummary:
    """Summary of all news of a topic.

    Attributes:
        topic: The topic.
        count: Objects of the topic.
        digest: Exclusive or of the digests of the items.
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
        incarnation: Start of the process; rises with each start.
        nonce: Random bytes for the key of this connection.
    """

    vm: str
    zone: str
    incarnation: int
    nonce: bytes


@registry.register('heartbeat')
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life.

    Attributes:
        revision: Configuration in force.
        age: Seconds since anybody in reach heard the platform.
        leaving: Whether the daemon leaves.
    """

    revision: int
    age: float
    leaving: bool


@registry.register('news')
@dataclasses.dataclass(frozen=True, slots=True)
class GossipItems:
    """News to take up and pass on.

    Attributes:
        items: The news.
    """

    items: tuple[GossipItem, ...] = sequence(GossipItem)


@registry.register('sums')
@dataclasses.dataclass(frozen=True, slots=True)
class TopicSummaries:
    """Summaries of all topics, for comparison.

    Attributes:
        sums: One for each topic.
    """

    sums: tuple[TopicSummary, ...] = sequence(TopicSummary)


@registry.register('changesask')
@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Asks for the changes after a revision.

    Attributes:
        after: The revision.
    """

    after: int


@registry.register('changes')
@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order; empty if the sender no longer has them.

    Attributes:
        entries: Encoded changes.
    """

    entries: tuple[bytes, ...] = sequence(bytes)


@registry.register('snapshotask')
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for a page of the whole configuration.

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
    puts: tuple[bytes, ...] = sequence(bytes)


@registry.register('tokensask')
@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks an owner of quota for tokens.

    Attributes:
        account: Name of the client account.
        partition: The partition asked.
        wanted: Tokens wanted.
        spent: Tokens of earlier leases that were spent or are no longer
            held.
    """

    account: str
    partition: int
    wanted: float
    spent: float


@registry.register('tokens')
@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens leased to the daemon that asked.

    Attributes:
        amount: Tokens leased.
        wait: Seconds until one more token is there.
        owned: Whether the daemon asked owns the partition.
    """

    amount: float
    wait: float
    owned: bool


@registry.register('claimask')
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks the owner of a shard to commit a record.

    Attributes:
        shard: The shard.
        record: Encoded record.
    """

    shard: int
    record: bytes


@registry.register('claim')
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """What became of a record.

    Attributes:
        verdict: Whether it was committed, or which record stands instead.
        record: Encoded record that stands; empty for the own one.
    """

    verdict: str
    record: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What a daemon saw of a target since its last report.

    Attributes:
        target: Name of the target.
        good: Good results.
        bad: Errors, stalls and broken answers.
        slow: Whole answers that came late.
    """

    target: str
    good: int
    bad: int
    slow: int


@registry.register('report')
@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Evidence for a judge.

    Attributes:
        observations: One for each target.
    """

    observations: tuple[Observation, ...] = sequence(Observation)


@registry.register('failure')
@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Answer to a message that could not be served.

    Attributes:
        code: Number of the result code.
    """

    code: int
