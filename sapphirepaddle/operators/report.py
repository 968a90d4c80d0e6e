"""Reports of the fleet state for operators."""

import dataclasses

from sapphirepaddle import clock
from sapphirepaddle.fleet import platform_contact, status
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.limits import quota_limiter
from sapphirepaddle.operators import zone_report
from sapphirepaddle.peers import members
from sapphirepaddle.routing import (
    ejection_state,
    routing_table,
    target_view,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmReport:
    """State of one VM.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        state: State in the member list; 'live' if it is not listed.
        revision: Active configuration revision; 0 if unknown.
        lag: Description of the lag behind the expected revision; empty if
            there is none.
    """

    name: str
    zone: str
    state: str
    revision: int
    lag: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetReport:
    """State of one target as this daemon knows it.

    Attributes:
        name: Name of the target.
        service: Name of its service.
        zone: Its availability zone.
        standing: Ejection state shared by the fleet.
        reason: Reason of the ejection state, and the VM that decided it.
        avoided: Whether this daemon avoids it by its own results.
        routed: Whether this daemon sends it new requests.
        bad_share: Ratio of suspect results in this daemon's window.
        outstanding: Requests of this daemon in flight at the target.
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
    """State of one client account at this daemon.

    Attributes:
        name: Name of the client account.
        rate: Requests per second over all VMs.
        burst: Burst in requests over all VMs.
        tokens: Tokens available at this daemon.
        waiting: Requests waiting at this daemon for a token.
    """

    name: str
    rate: float
    burst: float
    tokens: float
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformReport:
    """State of the platform as this daemon knows it.

    Attributes:
        silent: Whether the platform did not answer the last call.
        age: Seconds since this daemon or a reachable neighbour last
            reached the platform.
        calls: Calls made by this daemon since its start.
        watching: Whether this daemon watches the platform for its zone.
    """

    silent: bool
    age: float
    calls: int
    watching: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetReport:
    """State of the fleet as one daemon knows it.

    Attributes:
        vm: Name of the reporting VM.
        state: 'serving' or 'leaving'.
        revision: Active configuration revision of the reporting VM.
        in_force: Number of VMs on which that revision is active.
        total: Number of VMs in the fleet.
        vms: State of every VM.
        zones: Zones that are emptied or whose requests come back.
        targets: State of every target.
        accounts: State of the client accounts with requests at this daemon.
        platform: State of the platform.
    """

    vm: str
    state: str
    revision: int
    in_force: int
    total: int
    vms: tuple[VmReport, ...]
    zones: tuple[zone_report.ZoneReport, ...]
    targets: tuple[TargetReport, ...]
    accounts: tuple[AccountReport, ...]
    platform: PlatformReport


def vm_reports(
    fleet_members: members.Members,
    daemon_statuses: status.DaemonStatuses,
    contact: platform_contact.PlatformContact,
    revision: int,
) -> tuple[VmReport, ...]:
    """Return reports of all VMs of the fleet.

    Args:
        fleet_members: VMs of the fleet.
        daemon_statuses: Statuses published by the daemons.
        contact: Times of the last contact with neighbours.
        revision: Revision that should be active.
    """
    return tuple(
        vm_report(name, fleet_members, daemon_statuses, contact, revision)
        for name in fleet_members.all_names()
    )


def vm_report(
    name: str,
    fleet_members: members.Members,
    daemon_statuses: status.DaemonStatuses,
    contact: platform_contact.PlatformContact,
    revision: int,
) -> VmReport:
    """Return the report of one VM."""
    daemon_status = daemon_statuses.statuses.get(name)
    listed_vm = fleet_members.vms.get(name)
    revision_in_force = daemon_status.revision if daemon_status else 0
    lag = ''
    if revision_in_force < revision:
        lag = explain_lag(name, contact, revision_in_force)
    return VmReport(
        name=name,
        zone=fleet_members.zone_of(name),
        state=listed_vm.state if listed_vm else 'live',
        revision=revision_in_force,
        lag=lag,
    )


def explain_lag(
    name: str, contact: platform_contact.PlatformContact, revision: int
) -> str:
    """Return the revision of a lagging VM and its last contact."""
    last_contact = contact.contacts.get(name)
    if last_contact is None:
        return f'at revision {revision}; not a neighbour of this daemon'
    silent_seconds = clock.monotonic() - last_contact.reported_at
    return f'at revision {revision}; last heard {silent_seconds:.1f} s ago'


def target_reports(
    table: routing_table.RoutingTable,
) -> tuple[TargetReport, ...]:
    """Return reports of all targets."""
    now = clock.monotonic()
    return tuple(
        target_report(view, view in queue.pool.routing_set(now), now)
        for queue in table.queues.values()
        for view in queue.pool.views.values()
    )


def target_report(
    view: target_view.TargetView, routed: bool, now: float
) -> TargetReport:
    """Return the report of one target.

    Args:
        view: This daemon's view of the target.
        routed: Whether it is in the routing set.
        now: Seconds on the monotonic clock.
    """
    fleet_state = view.fleet_state
    healthy = ejection_state.Standing.HEALTHY
    return TargetReport(
        name=view.target.name,
        service=view.target.service,
        zone=view.target.zone,
        standing=(fleet_state.standing if fleet_state else healthy).value,
        reason=f'{fleet_state.reason} (judge {fleet_state.judge})'
        if fleet_state
        else '',
        avoided=view.is_avoided(now),
        routed=routed,
        bad_share=round(view.counts.sum(now).suspect_share, 3),
        outstanding=view.outstanding,
    )


def account_reports(
    limiter: quota_limiter.QuotaLimiter,
) -> tuple[AccountReport, ...]:
    """Return reports of the client accounts at this daemon, by name."""
    now = clock.monotonic()
    return tuple(
        AccountReport(
            name=name,
            rate=state.account.rate,
            burst=state.account.burst,
            tokens=round(state.tokens.available(now), 2),
            waiting=len(state.waiting),
        )
        for name, state in sorted(limiter.account_states.items())
    )


def count_in_force(
    reports: tuple[VmReport, ...],
    current: active_configuration.ActiveConfiguration,
) -> int:
    """Return the number of VMs at this daemon's revision or newer."""
    return sum(vm.revision >= current.revision for vm in reports)
