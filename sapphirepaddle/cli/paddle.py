"""paddle: the operators' command line."""

import functools
import os
import pathlib
import sys
import time
import typing

import orjson
import typer

from sapphirepaddle import operators_client, errors
from sapphirepaddle.audit import entry
from sapphirepaddle.cli import common, operator, printing, settings_check
from sapphirepaddle.objects import key
from sapphirepaddle.settings import loader

application = typer.Typer(
    help='State an intent, see its plan, confirm it, follow it.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
zone = typer.Typer(help='Empty and refill availability zones.')
target = typer.Typer(help='Drain targets and return them.')
keys = typer.Typer(help='Give and withdraw keys.')
account = typer.Typer(help='Give client accounts more or less room.')
objects = typer.Typer(help='Put and delete configuration objects.')
vm = typer.Typer(help='Stop the daemons of VMs.')

application.add_typer(zone, name='zone')
application.add_typer(target, name='target')
application.add_typer(keys, name='key')
application.add_typer(account, name='account')
application.add_typer(objects, name='object')
application.add_typer(vm, name='vm')
application.add_typer(settings_check.application, name='settings')

FOLLOW_SECONDS: typing.Final = 1
ONE_DAY_SECONDS: typing.Final = 86400
Url = typing.Annotated[
    list[str] | None,
    typer.Option('--url', help="A daemon's operators listener; repeatable."),
]
Reason = typing.Annotated[
    str,
    typer.Option('--reason', help='Why, for the audit trail.'),
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
    typer.Option('--override-floor', help='Accept a broken floor.'),
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
    """Read options that all commands share.

    PADDLE_URL holds daemons' addresses, separated by commas; PADDLE_TOKEN
    holds the operator's token.
    """
    held = operator.OPTIONS
    from_environment = os.environ.get('PADDLE_URL', operator.DEFAULT_URL)
    held.addresses = tuple(url or from_environment.split(','))
    held.token = os.environ.get('PADDLE_TOKEN', '')
    held.reason = reason
    held.yes = yes
    held.plan_only = plan_only
    held.override_floor = override_floor
    held.wait = wait


@zone.command('empty')
def empty_zone(name: str) -> None:
    """Give the targets of an availability zone no new work."""
    operator.submit_intent('empty-zone', zone=name)


@zone.command('refill')
def refill_zone(name: str) -> None:
    """Give the targets of an availability zone work again."""
    operator.submit_intent('refill-zone', zone=name)


@target.command('drain')
def drain_target(name: str) -> None:
    """Give a target no new work."""
    operator.submit_intent('drain-target', target=name)


@target.command('return')
def return_target(name: str) -> None:
    """Give a drained target work again."""
    operator.submit_intent('return-target', target=name)


@keys.command('give')
def give_key(account_name: str) -> None:
    """Make a key for a client account and print it once."""
    made = operators_client.new_key()
    operator.submit_intent('give-key', account=account_name, digest=made.digest)
    if not operator.OPTIONS.plan_only:
        typer.echo(f'key: {made.secret}')
        typer.echo(f'digest: {made.digest}')


@keys.command('withdraw')
def withdraw_key(
    digest: typing.Annotated[
        str,
        typer.Argument(help='Digest of the key; "-" reads the key itself.'),
    ],
) -> None:
    """Stop a key for good, at once."""
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
    """Ask the daemon of a VM to stop without cutting off a request."""
    operator.submit_intent('stop-vm', vm=name)


@application.command('follow')
def follow(revision: int) -> None:
    """Wait until a revision is in force everywhere."""
    operator.wait_in_force(revision)


@application.command('status')
def status(as_json: AsJson = False) -> None:
    """Show VMs, targets, client accounts and the platform."""
    held = operator.call_daemon(operators_client.OperatorsClient.status)
    if as_json:
        typer.echo(orjson.dumps(held))
    else:
        printing.show_status(held)


@application.command('audit')
def audit(
    action: str = '',
    actor: str = '',
    hours: float = 24,
    keep_following: typing.Annotated[
        bool,
        typer.Option('--follow', help='Go on with new entries.'),
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Show the audit trail."""
    since = time.time() - hours * ONE_DAY_SECONDS / 24  # noqa: WPS432
    while True:
        found = operator.call_daemon(functools.partial(read_audit, since))
        for added in found:
            if action in added.action and actor in added.actor:
                show_audit_entry(added, as_json)
            since = max(since, added.at + SMALLEST_STEP)
        if not keep_following:
            break
        time.sleep(FOLLOW_SECONDS)


async def read_audit(
    since: float,
    opened: operators_client.OperatorsClient,
) -> list[entry.AuditEntry]:
    """Return the audit trail since a time."""
    return await opened.audit(since)


SMALLEST_STEP: typing.Final = 1e-6


def show_audit_entry(added: entry.AuditEntry, as_json: bool) -> None:
    """Print one entry of the audit trail."""
    if as_json:
        typer.echo(orjson.dumps(added))
    else:
        printing.show_audit_entry(added)


def main() -> None:
    """Run the program."""
    try:
        application()
    except errors.PaddleError as error:
        typer.echo(str(error), err=True)
        sys.exit(common.exit_code(error))
