"""Options of an operator's call, and running an intent from plan to end."""

import asyncio
import dataclasses
import typing
from collections import abc

import typer

from sapphirepaddle import operators_client, codes, errors
from sapphirepaddle.cli import common, printing
from sapphirepaddle.operators import planner

DEFAULT_URL: typing.Final = 'http://127.0.0.1:7303'
Outcome = typing.TypeVar('Outcome')
ClientCall = abc.Callable[
    [operators_client.OperatorsClient],
    abc.Coroutine[typing.Any, typing.Any, Outcome],
]


@dataclasses.dataclass(slots=True)
class Options:
    """Options that all commands share.

    Attributes:
        addresses: Base URLs of operators' listeners.
        token: The operator's token.
        reason: Why, for the audit trail.
        yes: Whether plans are confirmed without asking.
        plan_only: Whether to stop after showing the plan.
        override_floor: Whether a broken floor is accepted.
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


def call_daemon(work: ClientCall[Outcome]) -> Outcome:
    """Run a call with a client of the chosen daemons."""
    with common.report_errors():
        return asyncio.run(with_client(work))


async def with_client(work: ClientCall[Outcome]) -> Outcome:
    """Run a call and close its client."""
    opened = operators_client.OperatorsClient(OPTIONS.addresses, OPTIONS.token)
    try:
        return await work(opened)
    finally:
        await opened.close()


def submit_intent(intent: str, **fields: typing.Any) -> None:
    """State an intent: show its plan, confirm it, follow it."""
    wanted = planner.PlanRequest(
        intent=intent,
        fields=fields,
        reason=OPTIONS.reason,
        overrides_floor=OPTIONS.override_floor,
    )
    offer = call_daemon(lambda opened: opened.make_plan(wanted))
    printing.show_plan(offer.plan)
    if OPTIONS.plan_only:
        return
    with common.report_errors():
        require_confirmation()
    outcome = call_daemon(lambda opened: opened.confirm(offer))
    typer.echo(outcome.text)
    if outcome.revision:
        wait_in_force(outcome.revision)


def require_confirmation() -> None:
    """Ask the operator to confirm.

    Raises:
        OperatorError: If the operator does not.
    """
    if OPTIONS.yes or typer.confirm('Carry out this plan?'):
        return
    raise errors.OperatorError(codes.NOT_CONFIRMED)


def wait_in_force(revision: int) -> None:
    """Wait until a revision is in force everywhere, and say so."""
    followed = call_daemon(
        lambda opened: opened.wait_for_rollout(revision, OPTIONS.wait)
    )
    typer.echo(
        f'Revision {revision} in force on '
        f'{followed.in_force} of {followed.total} VMs.',
    )
    for vm in followed.lagging:
        typer.echo(f'  lagging: {vm.name} ({vm.zone}): {vm.lag}')
    if followed.lagging:
        with common.report_errors():
            raise errors.OperatorError(codes.NOT_IN_FORCE)
