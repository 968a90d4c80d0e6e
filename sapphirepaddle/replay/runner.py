"""Run a replay: send a trace, measure it and check its outcomes."""

import asyncio
import dataclasses
import secrets
import time
import typing

from sapphirepaddle import operators_client
from sapphirepaddle.replay import (
    environment,
    measures,
    outcomes,
    records,
    sender,
    trace,
)
from sapphirepaddle.standins import http_call

IDENTIFIER_BYTES: typing.Final = 4
# Daemons write their audit entries once a second.
SETTLE_SECONDS: typing.Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplayResult:
    """Measures of a replay and whether the stated outcomes held.

    Attributes:
        trace: Name of the trace.
        measures: Measures of the replay.
        verdicts: Check of each stated outcome.
    """

    trace: str
    measures: measures.Measures
    verdicts: tuple[outcomes.OutcomeCheck, ...]

    @property
    def all_held(self) -> bool:
        """Return whether all stated outcomes held."""
        return all(check.held for check in self.verdicts)


async def run(
    recorded_trace: trace.Trace,
    replay_environment: environment.Environment,
    progress: bool = False,
) -> ReplayResult:
    """Replay a trace and check its stated outcomes.

    Args:
        recorded_trace: Trace to replay.
        replay_environment: Environment to replay it against.
        progress: Whether to print progress to standard error.

    Raises:
        TraceError: If a stated outcome is unknown, before anything is sent.
    """
    outcomes.check_all(EMPTY_MEASURES, recorded_trace.head.outcomes)
    started_at = time.time()
    trace_sender = sender.Sender(
        replay_environment, secrets.token_hex(IDENTIFIER_BYTES)
    )
    await trace_sender.run(recorded_trace, progress)
    await asyncio.sleep(SETTLE_SECONDS)
    executions = await asyncio.to_thread(
        read_executions, replay_environment, started_at
    )
    ejections = await read_ejections(replay_environment, started_at)
    measured = measures.measure(
        recorded_trace,
        replay_environment,
        trace_sender.results,
        executions,
        ejections,
    )
    checks = outcomes.check_all(measured, recorded_trace.head.outcomes)
    return ReplayResult(
        trace=recorded_trace.head.trace,
        measures=measured,
        verdicts=tuple(checks),
    )


EMPTY_MEASURES: typing.Final = measures.measure(
    trace.Trace(trace.Head(trace='empty', seconds=1), ()),
    environment.Environment(callers=('-',), accounts={}),
    (),
    (),
    (),
)


def read_executions(
    replay_environment: environment.Environment, started_at: float
) -> list[records.Execution]:
    """Return the executions of all targets since a time, sorted by start.

    Args:
        replay_environment: Environment with the URLs of the targets.
        started_at: Unix time in seconds.
    """
    logs = (
        http_call.call(f'{url}/control/executions').json()
        for url in replay_environment.targets.values()
    )
    executions = [
        records.Execution(
            identifier=logged['order'],
            sending_id=logged['sending'],
            account=logged['account'],
            at=logged['at'] - started_at,
            saw_key=logged['saw_key'],
        )
        for log in logs
        for logged in log
        if logged['at'] >= started_at
    ]
    return sorted(executions, key=lambda execution: execution.at)


async def read_ejections(
    replay_environment: environment.Environment,
    started_at: float,
) -> list[records.Ejection]:
    """Return the ejections in the audit log since a Unix time.

    The list is empty if the environment names no operators' listener.
    """
    if not replay_environment.operators:
        return []
    client = operators_client.OperatorsClient(
        replay_environment.operators, replay_environment.operator_token
    )
    try:
        entries = await client.audit(started_at)
    finally:
        await client.close()
    return [
        records.Ejection(target=entry.subject, at=entry.at - started_at)
        for entry in entries
        if entry.action == 'target-ejected'
    ]
