"""Helpers that submit operator intents to a fleet."""

import asyncio
import typing

from sapphirepaddle import operators_client
from sapphirepaddle.operators import confirmer, planner
from sapphirepaddle.standins import fleet


def run_intent(
    running_fleet: fleet.Fleet,
    daemon: str,
    intent: str,
    overrides_floor: bool = False,
    **fields: typing.Any,
) -> confirmer.Confirmation:
    """Submit an intent to a daemon and confirm its plan."""
    received_plan = make_plan(
        running_fleet, daemon, intent, overrides_floor, **fields
    )
    return confirm(running_fleet, daemon, received_plan)


def make_plan(
    running_fleet: fleet.Fleet,
    daemon: str,
    intent: str,
    overrides_floor: bool = False,
    **fields: typing.Any,
) -> operators_client.ReceivedPlan:
    """Return the plan that a daemon makes for an intent."""
    plan_request = planner.PlanRequest(
        intent=intent,
        fields=fields,
        reason='test',
        overrides_floor=overrides_floor,
    )
    return call_daemon(
        running_fleet, daemon, lambda client: client.make_plan(plan_request)
    )


def confirm(
    running_fleet: fleet.Fleet,
    daemon: str,
    received_plan: operators_client.ReceivedPlan,
) -> confirmer.Confirmation:
    """Confirm a plan at a daemon."""
    return call_daemon(
        running_fleet, daemon, lambda client: client.confirm(received_plan)
    )


def call_daemon(
    running_fleet: fleet.Fleet,
    daemon: str,
    operation: typing.Callable[[operators_client.OperatorsClient], typing.Any],
) -> typing.Any:
    """Run an operation with a client of one daemon; return its result."""

    async def main() -> typing.Any:
        client = operators_client.OperatorsClient(
            [running_fleet.daemons[daemon].operators_url],
            fleet.OPERATOR_TOKEN,
        )
        try:
            return await operation(client)
        finally:
            await client.close()

    return asyncio.run(main())
