"""Showing plans, status and audit entries to people."""

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

WIDTH: typing.Final = 120
SHOWN_DIGITS: typing.Final = 12


def console() -> consoles.Console:
    """Return a console; it colours on a terminal only."""
    terminal = sys.stdout.isatty()
    return consoles.Console(width=None if terminal else WIDTH)


def show_table(
    title: str,
    columns: abc.Sequence[str],
    rows: abc.Iterable[abc.Sequence[typing.Any]],
) -> None:
    """Print a table.

    Args:
        title: Line above the table.
        columns: Heads of the columns.
        rows: Cells by row.
    """
    shown = tables.Table(*columns, title=title, title_justify='left')
    for row in rows:
        shown.add_row(*map(str, row))
    console().print(shown)


def show_plan(made: plan.Plan) -> None:
    """Print a plan."""
    typer.echo(f'Plan {made.identifier}: {made.intent}')
    typer.echo(f'  rests on revision {made.revision}, made by {made.actor}')
    lines = itertools.chain(
        (f'put {put.kind} {put.name}' for put in made.puts),
        (f'delete {gone.kind} {gone.name}' for gone in made.deletes),
        (f'ask {vm} to stop' for vm in made.leaving),
        (
            f'stop key {digest[:SHOWN_DIGITS]} at once'
            for digest in made.withdrawn
        ),
        (floor_line(effect) for effect in made.floors),
        (quota_line(effect) for effect in made.quotas),
        (f'warning: {warning}' for warning in made.warnings),
    )
    for line in lines:
        typer.echo(f'  {line}')


def floor_line(effect: typing.Any) -> str:
    """Return the line of one floor."""
    return (
        f'service {effect.service}: {effect.before} -> {effect.after} of '
        f'{effect.slots} slots, floor {effect.floor:g}'
    )


def quota_line(effect: typing.Any) -> str:
    """Return the line of one quota."""
    return (
        f'client account {effect.account}: rate '
        f'{effect.rate_before:g} -> {effect.rate_after:g}/s, burst '
        f'{effect.burst_before:g} -> {effect.burst_after:g}'
    )


def show_status(held: report.FleetReport) -> None:
    """Print the state of the fleet."""
    platform = held.platform
    silence = 'silent' if platform.silent else 'answers'
    typer.echo(
        f'{held.vm}: {held.state}, revision {held.revision} in force on '
        f'{held.in_force} of {held.total} VMs',
    )
    typer.echo(
        f'platform {silence}, heard {platform.age:g} s ago, '
        f'{platform.calls} calls by this daemon',
    )
    show_table(
        'VMs',
        ('name', 'zone', 'state', 'revision', 'lag'),
        ((vm.name, vm.zone, vm.state, vm.revision, vm.lag) for vm in held.vms),
    )
    show_table(
        'Targets',
        ('name', 'service', 'zone', 'standing', 'routed', 'bad', 'reason'),
        map(target_row, held.targets),
    )
    show_table(
        'Client accounts served here',
        ('name', 'rate', 'burst', 'tokens', 'waiting'),
        (dataclasses.astuple(account) for account in held.accounts),
    )


def target_row(target: report.TargetReport) -> list[str]:
    """Return the cells of one target."""
    marks = {True: ' (avoided here)', False: ''}
    answers = {True: 'yes', False: 'no'}
    return [
        target.name,
        target.service,
        target.zone,
        target.standing + marks[target.avoided],
        answers[target.routed],
        f'{target.bad_share:.0%}',
        target.reason,
    ]


def show_audit_entry(added: entry.AuditEntry) -> None:
    """Print one entry of the audit trail."""
    at = datetime.datetime.fromtimestamp(added.at, datetime.UTC)
    parts = (
        at.isoformat(timespec='milliseconds'),
        added.actor,
        added.action,
        added.subject,
        f'{added.before} -> {added.after}' if added.after else '',
        added.reason,
    )
    typer.echo('  '.join(part for part in parts if part))
