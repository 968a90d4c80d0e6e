"""Stating intents to a fleet in tests."""

import asyncio
import typing

from sapphirepaddle import client
from sapphirepaddle.operators import planner
from sapphirepaddle.standins import fleet


def carry_out(
    running: fleet.Fleet,
    daemon: str,
    intent: str,
    overrides_floor: bool = False,
    **fields: typing.Any,
) -> planner.Confirmation:
    """State an intent to a daemon and confirm its plan."""
    wanted = planner.Wanted(
        intent=intent,
        fields=fields,
        reason='test',
        overrides_floor=overrides_floor,
    )

    async def work(opened: client.OperatorsClient) -> planner.Confirmation:
        return await opened.confirm(await opened.make_plan(wanted))

    return call(running, daemon, work)


def call(
    running: fleet.Fleet,
    daemon: str,
    work: typing.Callable[[client.OperatorsClient], typing.Any],
) -> typing.Any:
    """Run a call to a daemon."""

    async def main() -> typing.Any:
        opened = client.OperatorsClient(
            [running.daemons[daemon].operators_url],
            fleet.OPERATOR_TOKEN,
        )
        try:
            return await work(opened)
        finally:
            await opened.close()

    return asyncio.run(main())
