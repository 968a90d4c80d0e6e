"""Settings of the entry daemon."""

import typing

import pydantic

from sapphirepaddle.settings import base

MIN_SECRET_CHARACTERS: typing.Final = 16
BYTES_PER_KIBIBYTE: typing.Final = 1024
BYTES_PER_MEBIBYTE: typing.Final = 1048576


class Operator(base.Settings):
    """An operator who may use the operators' API.

    Attributes:
        name: Recorded as actor in the audit trail.
        token_digest: SHA-256 digest of the token in hexadecimal.
        role: A reader sees; an operator also changes.
    """

    name: str = pydantic.Field(min_length=1)
    token_digest: str = pydantic.Field(pattern='^[0-9a-f]{64}$')
    role: typing.Literal['reader', 'operator'] = 'reader'


class CallerLimits(base.Settings):
    """Bounds on what callers send.

    Attributes:
        head_bytes: Largest request head.
        head_seconds: Longest time for a request head.
        body_seconds: Longest wait for the next part of a small body.
        body_bytes: Largest request body.
        buffer_bytes: Largest body that is held whole, so that it can be
            sent again after a proven "not run".
        keep_alive_seconds: How long an idle connection stays open.
    """

    head_bytes: int = pydantic.Field(
        32 * BYTES_PER_KIBIBYTE, ge=BYTES_PER_KIBIBYTE
    )
    head_seconds: base.Seconds = 10
    body_seconds: base.Seconds = 10
    body_bytes: int = pydantic.Field(64 * BYTES_PER_MEBIBYTE, ge=0)
    buffer_bytes: int = pydantic.Field(64 * BYTES_PER_KIBIBYTE, ge=0)
    keep_alive_seconds: base.Seconds = 75


class MembershipSettings(base.Settings):
    """How daemons find and hear each other.

    Attributes:
        list_seconds: Time between two reads of the platform's list of VMs.
        heartbeat_seconds: Time between two heartbeats on a peer connection.
        silence_seconds: Silence after which a peer connection is closed.
        isolation_seconds: Silence of platform and all peers after which
            keyed routes are refused.
        watchers: Daemons of a zone that watch the platform for the others.
        watch_seconds: Longest wait of one watch call.
        digest_seconds: Time between two comparisons of news with a peer.
        snapshot_changes: Changes after which the configuration is written
            as a snapshot.
        retry_seconds: Wait before a failed connection or call is repeated.
    """

    list_seconds: base.Seconds = 2
    heartbeat_seconds: base.Seconds = 0.5
    silence_seconds: base.Seconds = 2
    isolation_seconds: base.Seconds = 3
    watchers: base.Count = 1
    watch_seconds: base.Seconds = 10
    digest_seconds: base.Seconds = 1
    snapshot_changes: base.Count = 1000
    retry_seconds: base.Seconds = 0.3


class RoutingSettings(base.Settings):
    """Evidence, ejection and choice of targets.

    Attributes:
        connect_seconds: Limit of opening a connection to a target.
        window_seconds: Length of the sliding window of evidence.
        slow_factor: An answer is slow when it takes longer than the
            service's median times this factor and slow_ms.
        slow_ms: Milliseconds that are never slow.
        bad_share: Share of bad results from which a target is ejected.
        least_bad: Bad results in the window that an ejection needs.
        most_chance: Probability below which suspect results are no chance.
        observers: Daemons that must have seen bad results.
        hearing_seconds: Time that other zones get to report while only one
            zone sees a fault.
        eject_seconds: Length of the first ejection; doubles at each relapse.
        most_eject_seconds: Longest ejection.
        return_seconds: Time over which a returning target regains its share.
        report_seconds: Time between two reports to the judge of a target.
        probe_seconds: Time between two probes of a target by its judge.
        probe_timeout_seconds: Limit of one probe.
        attempts: Targets tried for one request at most.
        retry_share: Retries of a client account as a share of its requests.
        judge: Whether evidence is pooled; off, each daemon is alone.
    """

    connect_seconds: base.Seconds = 0.5
    window_seconds: base.Seconds = 3
    slow_factor: float = pydantic.Field(4, gt=1)
    slow_ms: int = pydantic.Field(150, ge=1)
    bad_share: base.Ratio = 0.5
    least_bad: base.Count = 3
    most_chance: float = pydantic.Field(1e-6, gt=0, lt=1)
    observers: base.Count = 2
    hearing_seconds: base.Seconds = 1.5
    eject_seconds: base.Seconds = 5
    most_eject_seconds: base.Seconds = 120
    return_seconds: base.Seconds = 5
    report_seconds: base.Seconds = 0.2
    probe_seconds: base.Seconds = 2
    probe_timeout_seconds: base.Seconds = 1
    attempts: base.Count = 3
    retry_share: base.Ratio = 0.2
    judge: bool = True


class LimitSettings(base.Settings):
    """Rate and burst of client accounts over all VMs.

    Attributes:
        partitions: Partitions of the quota space; the same on every daemon.
        parts: Partitions over which a large account is spread.
        part_burst: Smallest burst that one part carries.
        lease_seconds: Life of tokens leased to a daemon.
        wait_ms: How long a request waits for a token.
        ask_seconds: Limit of one call to an owner of quota.
        reclaim_seconds: Time that a VM must be gone from the list before
            its partitions are given to others.
        pause_seconds: Pause of the process after which ownership is read
            again before it is used.
    """

    partitions: base.Count = 64
    parts: base.Count = 6
    part_burst: float = pydantic.Field(10, ge=1)
    lease_seconds: base.Seconds = 0.2
    wait_ms: int = pydantic.Field(500, ge=0)
    ask_seconds: base.Seconds = 0.2
    reclaim_seconds: base.Seconds = 5
    pause_seconds: base.Seconds = 1


class ClaimSettings(base.Settings):
    """Claims of idempotency keys.

    Attributes:
        shards: Logs over which claims are spread; the same everywhere.
        commit_seconds: Time over which claims are gathered for one write.
        segment_bytes: Size from which a log starts a new object.
        retention_seconds: How long a key is remembered.
        outcome_bytes: Largest answer body that is kept with its key.
        ask_seconds: Limit of one call to the owner of a shard.
    """

    shards: base.Count = 8
    commit_seconds: base.Seconds = 0.02
    segment_bytes: int = pydantic.Field(
        32 * BYTES_PER_KIBIBYTE, ge=BYTES_PER_KIBIBYTE
    )
    retention_seconds: base.Seconds = 86400
    outcome_bytes: int = pydantic.Field(4 * BYTES_PER_KIBIBYTE, ge=0)
    ask_seconds: base.Seconds = 1


class AuditSettings(base.Settings):
    """The audit trail.

    Attributes:
        retention_days: Days after which entries are deleted.
    """

    retention_days: base.Count = 30


class StopSettings(base.Settings):
    """Planned stop.

    Attributes:
        announce_seconds: How long the daemon keeps accepting connections
            after it announced that it leaves.
        drain_seconds: How long running requests and idle connections get.
    """

    announce_seconds: base.Seconds = 5
    drain_seconds: base.Seconds = 30


class EntrySettings(base.Settings):
    """Settings of one entry daemon.

    Attributes:
        vm: Name of the VM, as in the platform's list.
        availability_zone: Name of its availability zone.
        callers: Where callers connect.
        peers: Where other daemons connect.
        peers_advertised: Where other daemons reach the peer listener, if
            that is another address than the one it listens on.
        operators: Where operators, health checks and metrics connect.
        platform: How the platform is reached.
        peer_secrets: Secrets shared by all daemons; the first signs, all
            are accepted, so that they can be replaced one by one.
        seeds: Peer listeners to ask while the platform is silent at start.
        operators_access: Operators and their roles.
    """

    vm: str = pydantic.Field(min_length=1)
    availability_zone: str = pydantic.Field(min_length=1)
    callers: base.Listener
    peers: base.Listener
    peers_advertised: base.Listener | None = None
    operators: base.Listener
    platform: base.Platform
    peer_secrets: tuple[
        typing.Annotated[
            str,
            pydantic.Field(min_length=MIN_SECRET_CHARACTERS),
        ],
        ...,
    ] = pydantic.Field(min_length=1)
    seeds: tuple[base.Listener, ...] = ()
    operators_access: tuple[Operator, ...] = ()
    caller_limits: CallerLimits = CallerLimits()
    membership: MembershipSettings = MembershipSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: LimitSettings = LimitSettings()
    claims: ClaimSettings = ClaimSettings()
    audit: AuditSettings = AuditSettings()
    stop: StopSettings = StopSettings()
