"""Shared options of operator commands; submission of intents."""

import asyncio
import dataclasses
import typing
from collections import abc

import typer

from sapphirepaddle import codes, errors, operators_client
from sapphirepaddle.cli import common, printing
from sapphirepaddle.operators import planner

DEFAULT_URL: typing.Final = 'http://127.0.0.1:7303'
CallResult = typing.TypeVar('CallResult')
ClientCall = abc.Callable[
    [operators_client.OperatorsClient],
    abc.Coroutine[typing.Any, typing.Any, CallResult],
]


@dataclasses.dataclass(slots=True)
class Options:
    """Options that all commands share.

    Attributes:
        addresses: Base URLs of the daemons' listeners for operators.
        token: Token of the operator.
        reason: Reason of the change, for the audit log.
        yes: Whether plans are confirmed without a prompt.
        plan_only: Whether to stop after showing the plan.
        override_floor: Whether plans that violate a capacity floor are
            accepted.
        wait: Seconds to wait until a change is in force.
    """

    addresses: tuple[str, ...] = (DEFAULT_URL,)
    token: str = ''
    reason: str = ''
    yes: bool = False
    plan_only: bool = False
    override_floor: bool = False
    wait: float = 10


OPTIONS: typing.Final = Options()


def call_daemon(client_call: ClientCall[CallResult]) -> CallResult:
    """Run a call with a client of the selected daemons.

    An error of the package is printed and ends the program.
    """
    with common.report_errors():
        return asyncio.run(with_client(client_call))


async def with_client(client_call: ClientCall[CallResult]) -> CallResult:
    """Run a call with a new client and close the client."""
    client = operators_client.OperatorsClient(OPTIONS.addresses, OPTIONS.token)
    try:
        return await client_call(client)
    finally:
        await client.close()


def submit_intent(intent: str, **fields: typing.Any) -> None:
    """Submit an intent: show its plan, confirm it, wait for the rollout."""
    plan_request = planner.PlanRequest(
        intent=intent,
        fields=fields,
        reason=OPTIONS.reason,
        overrides_floor=OPTIONS.override_floor,
    )
    received_plan = call_daemon(lambda client: client.make_plan(plan_request))
    printing.show_plan(received_plan.plan)
    if OPTIONS.plan_only:
        return
    with common.report_errors():
        require_confirmation()
    confirmation = call_daemon(lambda client: client.confirm(received_plan))
    typer.echo(confirmation.text)
    if confirmation.revision:
        wait_in_force(confirmation.revision)


def require_confirmation() -> None:
    """Ask the operator to confirm.

    Raises:
        OperatorError: If the operator declines.
    """
    if OPTIONS.yes or typer.confirm('Carry out this plan?'):
        return
    raise errors.OperatorError(codes.NOT_CONFIRMED)


def wait_in_force(revision: int) -> None:
    """Wait until a revision is in force on all VMs and print the result.

    Exits with an error if VMs still lag after the `wait` option's seconds.
    """
    rollout = call_daemon(
        lambda client: client.wait_for_rollout(revision, OPTIONS.wait)
    )
    typer.echo(
        f'Revision {revision} in force on '
        f'{rollout.in_force} of {rollout.total} VMs.',
    )
    for vm in rollout.lagging:
        typer.echo(f'  lagging: {vm.name} ({vm.zone}): {vm.lag}')
    if rollout.lagging:
        with common.report_errors():
            raise errors.OperatorError(codes.NOT_IN_FORCE)
