"""One replay from trace to verdicts."""

import asyncio
import dataclasses
import secrets
import time
import typing

from sapphirepaddle import operators_client
from sapphirepaddle.replay import measures, outcomes, plan, sender, sent, trace
from sapphirepaddle.standins import http_call

IDENTIFIER_BYTES: typing.Final = 4
SETTLE_SECONDS: typing.Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Measures of a replay and whether the stated outcomes held.

    Attributes:
        trace: Name of the trace.
        measures: The measures.
        verdicts: One for each stated outcome.
    """

    trace: str
    measures: measures.Measures
    verdicts: tuple[outcomes.Verdict, ...]

    @property
    def held(self) -> bool:
        """Tell whether all stated outcomes held."""
        return all(verdict.held for verdict in self.verdicts)


async def run(
    recorded: trace.Trace,
    bench: plan.Bench,
    progress: bool = False,
) -> Outcome:
    """Replay a trace and check its stated outcomes.

    Args:
        recorded: The trace.
        bench: What it runs against.
        progress: Whether progress is shown.

    Raises:
        TraceError: If a stated outcome is not known.
    """
    outcomes.check_all(EMPTY, recorded.head.outcomes)
    started = time.time()
    sending = sender.Sender(bench, secrets.token_hex(IDENTIFIER_BYTES))
    await sending.run(recorded, progress)
    await asyncio.sleep(SETTLE_SECONDS)
    runs = await asyncio.to_thread(read_runs, bench, started)
    ejections = await read_ejections(bench, started)
    measured = measures.measure(
        recorded,
        bench,
        sending.results,
        runs,
        ejections,
    )
    verdicts = outcomes.check_all(measured, recorded.head.outcomes)
    return Outcome(
        trace=recorded.head.trace,
        measures=measured,
        verdicts=tuple(verdicts),
    )


EMPTY: typing.Final = measures.measure(
    trace.Trace(trace.Head(trace='empty', seconds=1), ()),
    plan.Bench(callers=('-',), accounts={}),
    (),
    (),
    (),
)


def read_runs(bench: plan.Bench, started: float) -> list[sent.Run]:
    """Read the execution logs of all targets, in order of time."""
    logs = (
        http_call.call(f'{url}/control/executions').json()
        for url in bench.targets.values()
    )
    runs = [
        sent.Run(
            identifier=execution['order'],
            sending=execution['sending'],
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
    bench: plan.Bench,
    started: float,
) -> list[sent.Ejection]:
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
        sent.Ejection(target=added.subject, at=added.at - started)
        for added in entries
        if added.action == 'target-ejected'
    ]
