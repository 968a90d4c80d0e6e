"""paddle-replay: replay of a trace against stated outcomes."""

import asyncio
import dataclasses
import pathlib
import typing

import orjson
import typer

from sapphirepaddle import codes, errors
from sapphirepaddle.cli import common, printing
from sapphirepaddle.replay import environment, runner, trace

application = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
)


@application.command()
def run(
    file: typing.Annotated[pathlib.Path, typer.Argument(help='The trace.')],
    bench: typing.Annotated[
        pathlib.Path,
        typer.Option('--bench', help='What it runs against, JSON.'),
    ],
    as_json: typing.Annotated[
        bool,
        typer.Option('--json', help='Print the measures as JSON.'),
    ] = False,
    version: common.Version = False,
) -> None:
    """Replay a trace, print the measures, tell whether outcomes held."""
    with common.report_errors():
        recorded = trace.read(file)
        outcome = asyncio.run(
            runner.run(recorded, environment.read(bench), progress=True),
        )
        show_result(outcome, as_json)
        require_held(outcome)


def require_held(outcome: runner.ReplayResult) -> None:
    """Raise an error if a stated outcome did not hold.

    Raises:
        TraceError: If so.
    """
    missed = [entry.name for entry in outcome.verdicts if not entry.held]
    if missed:
        raise errors.TraceError(codes.OUTCOME_MISSED, ', '.join(missed))


def show_result(outcome: runner.ReplayResult, as_json: bool) -> None:
    """Print the measures."""
    if as_json:
        typer.echo(orjson.dumps(outcome, option=orjson.OPT_NON_STR_KEYS))
        return
    measured = outcome.measures
    printing.show_table(
        f'Measures of {outcome.trace}',
        ('measure', 'value'),
        (
            (field.name, getattr(measured, field.name))
            for field in dataclasses.fields(measured)
            if field.name != 'fared'
        ),
    )
    printing.show_table(
        'Client accounts',
        ('account', 'sent', 'within', 'served', 'refused within', 'ratio'),
        (dataclasses.astuple(account) for account in measured.fared),
    )
    printing.show_table(
        'Stated outcomes',
        ('outcome', 'bound', 'held'),
        (dataclasses.astuple(entry) for entry in outcome.verdicts),
    )


def main() -> None:
    """Run the program."""
    application()
