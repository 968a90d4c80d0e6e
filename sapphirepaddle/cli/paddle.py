"""paddle: the operators' command line."""

import functools
import os
import pathlib
import sys
import time
import typing

import orjson
import typer

from sapphirepaddle import errors, operators_client
from sapphirepaddle.audit import entry
from sapphirepaddle.cli import (
    common,
    configuration_check,
    operator,
    printing,
    settings_check,
)
from sapphirepaddle.objects import key
from sapphirepaddle.settings import loader

application = typer.Typer(
    help='Submit an intent, review its plan, confirm it, follow its rollout.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
zone = typer.Typer(help='Empty and refill availability zones.')
target = typer.Typer(help='Drain targets and return them to service.')
keys = typer.Typer(help='Issue and withdraw keys.')
account = typer.Typer(help='Set the rate, burst and weight of client accounts.')
objects = typer.Typer(help='Put and delete configuration objects.')
vm = typer.Typer(help='Stop the daemons of VMs.')

application.add_typer(zone, name='zone')
application.add_typer(target, name='target')
application.add_typer(keys, name='key')
application.add_typer(account, name='account')
application.add_typer(objects, name='object')
application.add_typer(vm, name='vm')
application.add_typer(settings_check.application, name='settings')

application.command('check')(configuration_check.check)

FOLLOW_INTERVAL_SECONDS: typing.Final = 1
ONE_DAY_SECONDS: typing.Final = 86400
Url = typing.Annotated[
    list[str] | None,
    typer.Option('--url', help="A daemon's operators listener; repeatable."),
]
Reason = typing.Annotated[
    str,
    typer.Option('--reason', help='Reason of the change, for the audit log.'),
]
Yes = typing.Annotated[
    bool,
    typer.Option('--yes', help='Confirm without asking.'),
]
PlanOnly = typing.Annotated[
    bool,
    typer.Option('--plan-only', help='Show the plan and stop.'),
]
OverrideFloor = typing.Annotated[
    bool,
    typer.Option('--override-floor', help='Accept a violated capacity floor.'),
]
Wait = typing.Annotated[
    float,
    typer.Option('--wait', help='Seconds to wait until in force.'),
]
AsJson = typing.Annotated[
    bool,
    typer.Option('--json', help='Print JSON.'),
]


@application.callback()
def options(  # noqa: WPS211
    url: Url = None,
    reason: Reason = '',
    yes: Yes = False,
    plan_only: PlanOnly = False,
    override_floor: OverrideFloor = False,
    wait: Wait = 10,
    version: common.Version = False,
) -> None:
    """Set the options that all commands share.

    PADDLE_URL holds the daemons' addresses, separated by commas; PADDLE_TOKEN
    holds the operator's token.
    """
    shared_options = operator.OPTIONS
    environment_urls = os.environ.get('PADDLE_URL', operator.DEFAULT_URL)
    shared_options.addresses = tuple(url or environment_urls.split(','))
    shared_options.token = os.environ.get('PADDLE_TOKEN', '')
    shared_options.reason = reason
    shared_options.yes = yes
    shared_options.plan_only = plan_only
    shared_options.override_floor = override_floor
    shared_options.wait = wait


@zone.command('empty')
def empty_zone(name: str) -> None:
    """Route no new requests to the targets of an availability zone."""
    operator.submit_intent('empty-zone', zone=name)


@zone.command('refill')
def refill_zone(name: str) -> None:
    """Route requests to the targets of an availability zone again."""
    operator.submit_intent('refill-zone', zone=name)


@target.command('drain')
def drain_target(name: str) -> None:
    """Route no new requests to a target."""
    operator.submit_intent('drain-target', target=name)


@target.command('return')
def return_target(name: str) -> None:
    """Route requests to a drained target again."""
    operator.submit_intent('return-target', target=name)


@keys.command('give')
def give_key(account_name: str) -> None:
    """Create a key for a client account and print it once."""
    new_key = operators_client.new_key()
    operator.submit_intent(
        'give-key', account=account_name, digest=new_key.digest
    )
    if not operator.OPTIONS.plan_only:
        typer.echo(f'key: {new_key.secret}')
        typer.echo(f'digest: {new_key.digest}')


@keys.command('withdraw')
def withdraw_key(
    digest: typing.Annotated[
        str,
        typer.Argument(help='Digest of the key; "-" reads the key itself.'),
    ],
) -> None:
    """Withdraw a key permanently, with immediate effect."""
    if digest == '-':
        digest = key.digest(sys.stdin.readline().strip().encode())
    operator.submit_intent('withdraw-key', digest=digest)


@account.command('set')
def set_account(
    name: str,
    rate: float | None = None,
    burst: float | None = None,
    weight: float | None = None,
) -> None:
    """Create a client account or change its rate, burst and weight."""
    operator.submit_intent(
        'set-account',
        account=name,
        rate=rate,
        burst=burst,
        weight=weight,
    )


@objects.command('put')
def put_objects(file: pathlib.Path) -> None:
    """Create or replace the objects of a file, JSON with comments."""
    with common.report_errors():
        content = loader.read(file)
    operator.submit_intent('put-object', objects=content['objects'])


@objects.command('delete')
def delete_object(kind: str, name: str) -> None:
    """Delete a configuration object."""
    operator.submit_intent('delete-object', kind=kind, name=name)


@vm.command('stop')
def stop_vm(name: str) -> None:
    """Ask the daemon of a VM to stop without aborting a request."""
    operator.submit_intent('stop-vm', vm=name)


@application.command('follow')
def follow(revision: int) -> None:
    """Wait until a revision is in force everywhere."""
    operator.wait_in_force(revision)


@application.command('status')
def status(as_json: AsJson = False) -> None:
    """Show VMs, targets, client accounts and the platform."""
    fleet_report = operator.call_daemon(operators_client.OperatorsClient.status)
    if as_json:
        typer.echo(orjson.dumps(fleet_report))
    else:
        printing.show_status(fleet_report)


@application.command('audit')
def audit(
    action: str = '',
    actor: str = '',
    hours: float = 24,
    keep_following: typing.Annotated[
        bool,
        typer.Option('--follow', help='Keep printing new entries.'),
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Show the audit log."""
    since = time.time() - hours * ONE_DAY_SECONDS / 24  # noqa: WPS432
    while True:
        entries = operator.call_daemon(functools.partial(read_audit, since))
        for audit_entry in entries:
            if action in audit_entry.action and actor in audit_entry.actor:
                show_audit_entry(audit_entry, as_json)
            since = max(since, audit_entry.at + MIN_STEP_SECONDS)
        if not keep_following:
            break
        time.sleep(FOLLOW_INTERVAL_SECONDS)


async def read_audit(
    since: float,
    client: operators_client.OperatorsClient,
) -> list[entry.AuditEntry]:
    """Return the audit entries since a Unix time in seconds."""
    return await client.audit(since)


# Added to the time of the last entry, so that it is not read again.
MIN_STEP_SECONDS: typing.Final = 1e-6


def show_audit_entry(audit_entry: entry.AuditEntry, as_json: bool) -> None:
    """Print one entry of the audit log."""
    if as_json:
        typer.echo(orjson.dumps(audit_entry))
    else:
        printing.show_audit_entry(audit_entry)


def main() -> None:
    """Run the program."""
    try:
        application()
    except errors.PaddleError as error:
        typer.echo(str(error), err=True)
        sys.exit(common.exit_code(error))
