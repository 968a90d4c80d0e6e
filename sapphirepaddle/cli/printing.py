"""Print plans, status reports and audit entries as text."""

import dataclasses
import datetime
import itertools
import sys
import typing
from collections import abc

import typer
from rich import console as consoles
from rich import table as tables

from sapphirepaddle.audit import entry
from sapphirepaddle.operators import plan, report

DEFAULT_WIDTH_COLUMNS: typing.Final = 120
DIGEST_PREFIX_LENGTH: typing.Final = 12


def console() -> consoles.Console:
    """Return a console; without a terminal, of fixed width and no colour."""
    terminal = sys.stdout.isatty()
    return consoles.Console(width=None if terminal else DEFAULT_WIDTH_COLUMNS)


def show_table(
    title: str,
    columns: abc.Sequence[str],
    rows: abc.Iterable[abc.Sequence[typing.Any]],
) -> None:
    """Print a table.

    Args:
        title: Line above the table.
        columns: Column headings.
        rows: Cells of each row.
    """
    table = tables.Table(*columns, title=title, title_justify='left')
    for row in rows:
        table.add_row(*map(str, row))
    console().print(table)


def show_plan(shown_plan: plan.Plan) -> None:
    """Print a plan with its effects and warnings."""
    typer.echo(f'Plan {shown_plan.identifier}: {shown_plan.intent}')
    typer.echo(
        f'  based on revision {shown_plan.revision}, made by {shown_plan.actor}'
    )
    lines = itertools.chain(
        (f'put {put.kind} {put.name}' for put in shown_plan.puts),
        (
            f'delete {delete.kind} {delete.name}'
            for delete in shown_plan.deletes
        ),
        (f'ask {vm} to stop' for vm in shown_plan.leaving),
        (
            f'stop key {digest[:DIGEST_PREFIX_LENGTH]} at once'
            for digest in shown_plan.withdrawn
        ),
        (floor_line(effect) for effect in shown_plan.floors),
        (quota_line(effect) for effect in shown_plan.quotas),
        (f'warning: {warning}' for warning in shown_plan.warnings),
    )
    for line in lines:
        typer.echo(f'  {line}')


def floor_line(effect: typing.Any) -> str:
    """Return the line for the effect of a plan on a capacity floor."""
    return (
        f'service {effect.service}: {effect.before} -> {effect.after} of '
        f'{effect.slots} slots, floor {effect.floor:g}'
    )


def quota_line(effect: typing.Any) -> str:
    """Return the line for the effect of a plan on the quota of an account."""
    return (
        f'client account {effect.account}: rate '
        f'{effect.rate_before:g} -> {effect.rate_after:g}/s, burst '
        f'{effect.burst_before:g} -> {effect.burst_after:g}'
    )


def show_status(status: report.FleetReport) -> None:
    """Print a status report of the fleet."""
    platform = status.platform
    platform_state = 'silent' if platform.silent else 'answers'
    typer.echo(
        f'{status.vm}: {status.state}, revision {status.revision} in force on '
        f'{status.in_force} of {status.total} VMs',
    )
    typer.echo(
        f'platform {platform_state}, last answer {platform.age:g} s ago, '
        f'{platform.calls} calls by this daemon',
    )
    show_table(
        'VMs',
        ('name', 'zone', 'state', 'revision', 'lag'),
        (
            (vm.name, vm.zone, vm.state, vm.revision, vm.lag)
            for vm in status.vms
        ),
    )
    if status.zones:
        show_table(
            'Zones emptied or returning',
            ('name', 'state', 'requests kept from it here'),
            (
                (zone.name, zone.state, f'{zone.moved_share:.0%}')
                for zone in status.zones
            ),
        )
    show_table(
        'Targets',
        ('name', 'service', 'zone', 'standing', 'routed', 'bad', 'reason'),
        map(target_row, status.targets),
    )
    show_table(
        'Client accounts served here',
        ('name', 'rate', 'burst', 'tokens', 'waiting'),
        (dataclasses.astuple(account) for account in status.accounts),
    )


def target_row(target: report.TargetReport) -> list[str]:
    """Return the table cells of one target."""
    avoided_texts = {True: ' (avoided here)', False: ''}
    routed_texts = {True: 'yes', False: 'no'}
    return [
        target.name,
        target.service,
        target.zone,
        target.standing + avoided_texts[target.avoided],
        routed_texts[target.routed],
        f'{target.bad_share:.0%}',
        target.reason,
    ]


def show_audit_entry(audit_entry: entry.AuditEntry) -> None:
    """Print one audit entry on one line, without its empty parts."""
    at = datetime.datetime.fromtimestamp(audit_entry.at, datetime.UTC)
    parts = (
        at.isoformat(timespec='milliseconds'),
        audit_entry.actor,
        audit_entry.action,
        audit_entry.subject,
        f'{audit_entry.before} -> {audit_entry.after}'
        if audit_entry.after
        else '',
        audit_entry.reason,
    )
    typer.echo('  '.join(part for part in parts if part))
