"""Settings of the edge daemon."""

import dataclasses
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or to connect to.

    Attributes:
        host: IP address.
        port: TCP or UDP port.
    """

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits agreed with the operators, in seconds unless noted.

    Attributes:
        stop: Time from SIGTERM until the process is killed.
        drain: Time from a target's drain notice until it gets no new
            requests.
        repeat_ratio: Ratio of retries to requests that a service may get.
        repeat_slack: Retries allowed in one window beyond the ratio.
        repeat_window: Length of the window in which retries are counted.
        quota_window: Length of the window in which quotas are measured.
        quota_excess: Ratio by which a quota may be exceeded in a window.
        quota_slack: Requests allowed in a window beyond that excess.
        warmup_ratio: Ratio of the rate that a cold target states to what it
            may get in a second; 0 if cold targets have no limit.
        warmup_slack: Requests that it may get in a second beyond that.
        empty_zone: Time from the acceptance of an order to empty a zone until
            its targets get no requests; 0 if zones are never emptied.
    """

    stop: float = 6
    drain: float = 2
    repeat_ratio: float = 0.2
    repeat_slack: float = 50
    repeat_window: float = 10
    quota_window: float = 5
    quota_excess: float = 0.1
    quota_slack: float = 20
    warmup_ratio: float = 0
    warmup_slack: float = 0
    empty_zone: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EdgeSettings:
    """Settings of one edge daemon.

    Attributes:
        vm: Name of its VM.
        zone: Its availability zone.
        callers: Address of the listener for callers.
        ready: Address of the readiness check for the load balancer.
        metrics: Address of the metrics endpoint.
        peers: Address that receives datagrams of other daemons.
        snapshots: Address from which other daemons fetch snapshots.
        source_address: Address of the source of configuration and targets.
        seeds: Hosts of daemons to contact at start.
        memory_bytes: Memory limit of the process in bytes.
        bounds: Limits agreed with the operators.
        regions: Region of each availability zone.
        is_first_start: Whether no daemon of the fleet has run before.
    """

    vm: str
    zone: str
    callers: Address
    ready: Address
    metrics: Address
    peers: Address
    snapshots: Address
    source_address: Address
    seeds: tuple[str, ...]
    memory_bytes: int
    bounds: Bounds
    regions: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    is_first_start: bool = False
