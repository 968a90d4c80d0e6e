"""One replay from trace to verdicts."""

import asyncio
import dataclasses
import secrets
import time
import typing

from sapphirepaddle import operators_client
from sapphirepaddle.replay import (
    measures,
    outcomes,
    environment,
    sender,
    records,
    trace,
)
from sapphirepaddle.standins import http_call

IDENTIFIER_BYTES: typing.Final = 4
SETTLE_SECONDS: typing.Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplayResult:
    """Measures of a replay and whether the stated outcomes held.

    Attributes:
        trace: Name of the trace.
        measures: The measures.
        verdicts: One for each stated outcome.
    """

    trace: str
    measures: measures.Measures
    verdicts: tuple[outcomes.OutcomeCheck, ...]

    @property
    def all_held(self) -> bool:
        """Tell whether all stated outcomes held."""
        return all(verdict.held for verdict in self.verdicts)


async def run(
    recorded: trace.Trace,
    bench: environment.Environment,
    progress: bool = False,
) -> ReplayResult:
    """Replay a trace and check its stated outcomes.

    Args:
        recorded: The trace.
        bench: What it runs against.
        progress: Whether progress is shown.

    Raises:
        TraceError: If a stated outcome is not known.
    """
    outcomes.check_all(EMPTY_MEASURES, recorded.head.outcomes)
    started = time.time()
    sending = sender.Sender(bench, secrets.token_hex(IDENTIFIER_BYTES))
    await sending.run(recorded, progress)
    await asyncio.sleep(SETTLE_SECONDS)
    runs = await asyncio.to_thread(read_executions, bench, started)
    ejections = await read_ejections(bench, started)
    measured = measures.measure(
        recorded,
        bench,
        sending.results,
        runs,
        ejections,
    )
    verdicts = outcomes.check_all(measured, recorded.head.outcomes)
    return ReplayResult(
        trace=recorded.head.trace,
        measures=measured,
        verdicts=tuple(verdicts),
    )


EMPTY_MEASURES: typing.Final = measures.measure(
    trace.Trace(trace.Head(trace='empty', seconds=1), ()),
    environment.Environment(callers=('-',), accounts={}),
    (),
    (),
    (),
)


def read_executions(
    bench: environment.Environment, started: float
) -> list[records.Execution]:
    """Read the execution logs of all targets, in order of time."""
    logs = (
        http_call.call(f'{url}/control/executions').json()
        for url in bench.targets.values()
    )
    runs = [
        records.Execution(
            identifier=execution['order'],
            sending_id=execution['sending'],
            account=execution['account'],
            at=execution['at'] - started,
            saw_key=execution['saw_key'],
        )
        for log in logs
        for execution in log
        if execution['at'] >= started
    ]
    return sorted(runs, key=lambda run: run.at)


async def read_ejections(
    bench: environment.Environment,
    started: float,
) -> list[records.Ejection]:
    """Read the ejections from the audit trail."""
    if not bench.operators:
        return []
    opened = operators_client.OperatorsClient(
        bench.operators, bench.operator_token
    )
    try:
        entries = await opened.audit(started)
    finally:
        await opened.close()
    return [
        records.Ejection(target=added.subject, at=added.at - started)
        for added in entries
        if added.action == 'target-ejected'
    ]
