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
        name: Name recorded as the actor in the audit log.
        token_digest: SHA-256 digest of the token in hexadecimal.
        role: 'reader' may only read; 'operator' may also make changes.
    """

    name: str = pydantic.Field(min_length=1)
    token_digest: str = pydantic.Field(pattern='^[0-9a-f]{64}$')
    role: typing.Literal['reader', 'operator'] = 'reader'


class CallerLimits(base.Settings):
    """Limits on requests and connections of callers.

    Attributes:
        head_bytes: Maximum size of a request head in bytes.
        head_seconds: Timeout for receiving a request head.
        body_seconds: Timeout for the next chunk of a body while it is
            buffered.
        body_bytes: Maximum size of a request body in bytes.
        buffer_bytes: Maximum size of a body that is buffered as a whole, so
            that the request can be sent again if it provably did not run.
        keep_alive_seconds: Time until an idle connection is closed.
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
    """Discovery of daemons and detection of failed ones.

    Attributes:
        list_seconds: Interval between reads of the platform's list of VMs.
        heartbeat_seconds: Interval between heartbeats on a peer connection.
        silence_seconds: Time without a message after which a peer
            connection is closed.
        isolation_seconds: Time without contact to the platform, directly or
            through peers, after which keyed routes may be refused.
        watchers: Daemons per zone that watch the platform for the others.
        watch_seconds: Timeout of one watch call; a call made while the platform
            is silent is never answered.
        digest_seconds: Interval between comparisons of gossip with a peer.
        snapshot_changes: Number of changes after which the configuration is
            written as a snapshot.
        retry_seconds: Delay before a failed connection or call is retried.
    """

    list_seconds: base.Seconds = 2
    heartbeat_seconds: base.Seconds = 0.5
    silence_seconds: base.Seconds = 2
    isolation_seconds: base.Seconds = 3
    watchers: base.Count = 1
    watch_seconds: base.Seconds = 2
    digest_seconds: base.Seconds = 1
    snapshot_changes: base.Count = 1000
    retry_seconds: base.Seconds = 0.3


class RoutingSettings(base.Settings):
    """Outlier detection and selection of targets.

    Attributes:
        connect_seconds: Timeout for opening a connection to a target.
        window_seconds: Length of the sliding window of results.
        slow_factor: An answer is slow if it takes longer than slow_ms and
            longer than the service's median times this factor.
        slow_ms: Milliseconds up to which no answer is slow.
        bad_share: Minimum ratio of suspect results for an ejection.
        least_bad: Minimum number of suspect results in the window for an
            ejection.
        most_chance: Maximum probability that the suspect results are
            random, for an ejection (significance level).
        observers: Number of daemons that must have seen suspect results for
            an ejection; all live daemons if the fleet is smaller.
        hearing_seconds: Time to wait for reports from other zones while only
            one zone sees a fault.
        eject_seconds: Duration of the first ejection; doubled at each
            relapse.
        most_eject_seconds: Maximum duration of an ejection.
        return_seconds: Ramp-up time of a target after an ejection.
        zone_ramp_seconds: Time over which requests leave an emptied
            availability zone, and come back when it is taken back.
        report_seconds: Interval between reports to the daemon that evaluates
            a target.
        probe_seconds: Mean interval between health probes of a target by
            the daemon that evaluates it.
        probe_timeout_seconds: Timeout of one probe.
        attempts: Maximum number of targets tried for one request.
        retry_share: Maximum ratio of retries to requests of a client
            account.
        judge: Whether daemons pool their results to eject targets; if
            false, each daemon uses only its own results.
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
    zone_ramp_seconds: base.Seconds = 1.2
    report_seconds: base.Seconds = 0.2
    probe_seconds: base.Seconds = 2
    probe_timeout_seconds: base.Seconds = 1
    attempts: base.Count = 3
    retry_share: base.Ratio = 0.2
    judge: bool = True


class LimitSettings(base.Settings):
    """Enforcement of account quotas over all VMs.

    Attributes:
        partitions: Number of quota partitions; must be the same on every
            daemon.
        parts: Maximum number of partitions over which the quota of one
            account is split.
        part_burst: Minimum burst of one part, since a part must hold whole
            requests.
        lease_seconds: Lifetime of tokens leased to a daemon.
        wait_ms: Milliseconds that a request waits for a token.
        ask_seconds: Timeout of one call to the owner of a partition.
        reclaim_seconds: Time that a VM must be missing from the list before
            its partitions are reassigned.
        pause_seconds: Pause of the process after which it must read the
            partition owners again before leasing tokens.
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
    """Storage of idempotency key claims.

    Attributes:
        shards: Number of logs over which claims are sharded; must be the
            same on every daemon.
        commit_seconds: Time to collect claims for one group commit.
        segment_bytes: Size in bytes above which a log starts a new object.
        retention_seconds: Time that a claimed key is kept.
        outcome_bytes: Maximum size of an answer body stored with its key.
        ask_seconds: Timeout of one call to the owner of a shard.
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
    """Retention of the audit log.

    Attributes:
        retention_days: Days after which entries are deleted.
    """

    retention_days: base.Count = 30


class StopSettings(base.Settings):
    """Graceful shutdown of the daemon.

    Attributes:
        announce_seconds: Time that the daemon keeps accepting connections
            after it announces that it is leaving.
        drain_seconds: Time for running requests to finish and idle
            connections to close.
    """

    announce_seconds: base.Seconds = 5
    drain_seconds: base.Seconds = 30


class EntrySettings(base.Settings):
    """Settings of one entry daemon.

    Attributes:
        vm: Name of the VM in the platform's list.
        availability_zone: Name of its availability zone.
        callers: Listener for callers.
        peers: Listener for other daemons.
        peers_advertised: Address at which other daemons reach the peer
            listener, if it differs from the listening address.
        operators: Listener for operators, health checks and metrics.
        platform: Connection to the platform.
        peer_secrets: Secrets shared by all daemons; the first one signs and
            all are accepted, so that they can be rotated one at a time.
        seeds: Peer listeners to contact if the platform does not answer at
            start.
        operators_access: Operators with their tokens and roles.
        caller_limits: Limits on requests and connections of callers.
        membership: Discovery of daemons and detection of failed ones.
        routing: Outlier detection and selection of targets.
        limits: Enforcement of account quotas.
        claims: Storage of idempotency key claims.
        audit: Retention of the audit log.
        stop: Graceful shutdown.
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
