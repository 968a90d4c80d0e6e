"""Settings of the daemon on the platform's VMs."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or to connect to.

    Attributes:
        host: IP address.
        port: Port.
    """

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Figures that the operators promise; seconds unless stated.

    Attributes:
        stop: From SIGTERM until the process is killed.
        drain: From a target's notice until it gets no new requests.
        repeat_ratio: Repeats allowed for each request of a service.
        repeat_slack: Repeats allowed beyond the ratio, in one window.
        repeat_window: Length of that window.
        quota_window: Length of the window in which quota is judged.
        quota_excess: Share by which quota may be exceeded in a window.
        quota_slack: Requests by which it may be exceeded besides.
    """

    stop: float = 6
    drain: float = 2
    repeat_ratio: float = 0.2
    repeat_slack: float = 50
    repeat_window: float = 10
    quota_window: float = 5
    quota_excess: float = 0.1
    quota_slack: float = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EdgeSettings:
    """Settings of one daemon.

    Attributes:
        vm: Name of its VM.
        zone: Its availability zone.
        callers: Where callers connect.
        ready: Where the balancer asks whether the daemon is ready.
        metrics: Where counters and histograms are served.
        peers: Where other daemons send datagrams.
        snapshots: Where other daemons fetch what this one knows.
        source: Where configuration and targets are read.
        seeds: Hosts of daemons that may be up.
        memory_bytes: Memory that the process may use.
        bounds: Figures promised to operators.
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
