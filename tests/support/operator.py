"""Stating intents to a fleet in tests."""

import asyncio
import typing

from sapphirepaddle import operators_client
from sapphirepaddle.operators import confirmer, planner
from sapphirepaddle.standins import fleet


def run_intent(
    running: fleet.Fleet,
    daemon: str,
    intent: str,
    overrides_floor: bool = False,
    **fields: typing.Any,
) -> confirmer.Confirmation:
    """State an intent to a daemon and confirm its plan."""
    made = make_plan(running, daemon, intent, overrides_floor, **fields)
    return confirm(running, daemon, made)


def make_plan(
    running: fleet.Fleet,
    daemon: str,
    intent: str,
    overrides_floor: bool = False,
    **fields: typing.Any,
) -> operators_client.ReceivedPlan:
    """Return the plan that a daemon makes of an intent."""
    wanted = planner.PlanRequest(
        intent=intent,
        fields=fields,
        reason='test',
        overrides_floor=overrides_floor,
    )
    return call_daemon(running, daemon, lambda opened: opened.make_plan(wanted))


def confirm(
    running: fleet.Fleet,
    daemon: str,
    made: operators_client.ReceivedPlan,
) -> confirmer.Confirmation:
    """Confirm a plan at a daemon."""
    return call_daemon(running, daemon, lambda opened: opened.confirm(made))


def call_daemon(
    running: fleet.Fleet,
    daemon: str,
    work: typing.Callable[[operators_client.OperatorsClient], typing.Any],
) -> typing.Any:
    """Run a call to a daemon."""

    async def main() -> typing.Any:
        opened = operators_client.OperatorsClient(
            [running.daemons[daemon].operators_url],
            fleet.OPERATOR_TOKEN,
        )
        try:
            return await work(opened)
        finally:
            await opened.close()

    return asyncio.run(main())
