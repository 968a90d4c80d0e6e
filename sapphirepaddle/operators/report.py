"""What a daemon tells operators about the fleet."""

import dataclasses

from sapphirepaddle import clock
from sapphirepaddle.fleet import platform_contact, status
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.limits import quota_limiter
from sapphirepaddle.peers import members
from sapphirepaddle.routing import routing_table, ejection_state, target_view


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmReport:
    """One VM.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        state: As the platform lists it, or as it says of itself.
        revision: Configuration in force there; 0 if not known.
        lag: Why it lags; empty if it does not.
    """

    name: str
    zone: str
    state: str
    revision: int
    lag: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetReport:
    """One target as this daemon knows it.

    Attributes:
        name: Its name.
        service: Its service.
        zone: Its availability zone.
        standing: The fleet's verdict.
        reason: Why, and who judged.
        avoided: Whether this daemon alone avoids it.
        routed: Whether it takes new work from this daemon.
        bad_share: Share of bad results this daemon saw of late.
        outstanding: Requests this daemon has there.
    """

    name: str
    service: str
    zone: str
    standing: str
    reason: str
    avoided: bool
    routed: bool
    bad_share: float
    outstanding: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountReport:
    """One client account as this daemon serves it.

    Attributes:
        name: Its name.
        rate: Its rate over all VMs.
        burst: Its burst over all VMs.
        tokens: Tokens held here now.
        waiting: Requests that wait here for a token.
    """

    name: str
    rate: float
    burst: float
    tokens: float
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformReport:
    """The platform as this daemon sees it.

    Attributes:
        silent: Whether the last call was not answered.
        age: Seconds since anybody in reach heard it.
        calls: Calls made by this daemon since its start.
        watching: Whether this daemon watches for others.
    """

    silent: bool
    age: float
    calls: int
    watching: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetReport:
    """The fleet in the eyes of one daemon.

    Attributes:
        vm: The daemon that reports.
        state: Its state.
        revision: Configuration in force there.
        in_force: VMs on which that revision is in force.
        total: VMs of the fleet.
        vms: The VMs.
        targets: The targets.
        accounts: The client accounts that the daemon serves.
        platform: The platform.
    """

    vm: str
    state: str
    revision: int
    in_force: int
    total: int
    vms: tuple[VmReport, ...]
    targets: tuple[TargetReport, ...]
    accounts: tuple[AccountReport, ...]
    platform: PlatformReport


def vm_reports(
    known: members.Members,
    board: status.DaemonStatuses,
    contact: platform_contact.PlatformContact,
    revision: int,
) -> tuple[VmReport, ...]:
    """Report every VM of the fleet.

    Args:
        known: The VMs.
        board: Their statuses.
        contact: When neighbours were heard.
        revision: Revision that should be in force.
    """
    return tuple(
        vm_report(name, known, board, contact, revision)
        for name in known.all_names()
    )


def vm_report(
    name: str,
    known: members.Members,
    board: status.DaemonStatuses,
    contact: platform_contact.PlatformContact,
    revision: int,
) -> VmReport:
    """Report one VM."""
    held = board.statuses.get(name)
    listed = known.vms.get(name)
    in_force_there = held.revision if held else 0
    lag = ''
    if in_force_there < revision:
        lag = explain_lag(name, contact, in_force_there)
    return VmReport(
        name=name,
        zone=known.zone_of(name),
        state=listed.state if listed else 'live',
        revision=in_force_there,
        lag=lag,
    )


def explain_lag(
    name: str, contact: platform_contact.PlatformContact, revision: int
) -> str:
    """Say why a VM lags."""
    heard = contact.contacts.get(name)
    if heard is None:
        return f'at revision {revision}; not a neighbour of this daemon'
    seconds = clock.monotonic() - heard.reported_at
    return f'at revision {revision}; last heard {seconds:.1f} s ago'


def target_reports(
    services: routing_table.RoutingTable,
) -> tuple[TargetReport, ...]:
    """Report every target."""
    now = clock.monotonic()
    return tuple(
        target_report(held, held in room.pool.routing_set(now), now)
        for room in services.queues.values()
        for held in room.pool.views.values()
    )


def target_report(
    held: target_view.TargetView, routed: bool, now: float
) -> TargetReport:
    """Report one target."""
    ruling = held.fleet_state
    healthy = ejection_state.Standing.HEALTHY
    return TargetReport(
        name=held.target.name,
        service=held.target.service,
        zone=held.target.zone,
        standing=(ruling.standing if ruling else healthy).value,
        reason=f'{ruling.reason} (judge {ruling.judge})' if ruling else '',
        avoided=held.is_avoided(now),
        routed=routed,
        bad_share=round(held.counts.sum(now).suspect_share, 3),
        outstanding=held.outstanding,
    )


def account_reports(
    limits: quota_limiter.QuotaLimiter,
) -> tuple[AccountReport, ...]:
    """Report the client accounts that this daemon serves."""
    now = clock.monotonic()
    return tuple(
        AccountReport(
            name=name,
            rate=demand.account.rate,
            burst=demand.account.burst,
            tokens=round(demand.tokens.available(now), 2),
            waiting=len(demand.waiting),
        )
        for name, demand in sorted(limits.account_states.items())
    )


def count_in_force(
    reports: tuple[VmReport, ...],
    current: active_configuration.ActiveConfiguration,
) -> int:
    """Return the number of VMs at this daemon's revision."""
    return sum(entry.revision >= current.revision for entry in reports)
