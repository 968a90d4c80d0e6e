"""paddle-replay: replay a trace and check its stated outcomes."""

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
    environment_file: typing.Annotated[
        pathlib.Path,
        typer.Option('--bench', help='Environment to run against, JSON.'),
    ],
    as_json: typing.Annotated[
        bool,
        typer.Option('--json', help='Print the measures as JSON.'),
    ] = False,
    version: common.Version = False,
) -> None:
    """Replay a trace, print its measures, check its stated outcomes."""
    with common.report_errors():
        recorded_trace = trace.read(file)
        result = asyncio.run(
            runner.run(
                recorded_trace,
                environment.read(environment_file),
                progress=True,
            ),
        )
        show_result(result, as_json)
        require_outcomes_held(result)


def require_outcomes_held(result: runner.ReplayResult) -> None:
    """Check that all stated outcomes of a trace held.

    Raises:
        TraceError: If one did not hold; the detail names all that did not.
    """
    missed = [check.name for check in result.verdicts if not check.held]
    if missed:
        raise errors.TraceError(codes.OUTCOME_MISSED, ', '.join(missed))


def show_result(result: runner.ReplayResult, as_json: bool) -> None:
    """Print the measures and the checks of the stated outcomes."""
    if as_json:
        typer.echo(orjson.dumps(result, option=orjson.OPT_NON_STR_KEYS))
        return
    measured = result.measures
    printing.show_table(
        f'Measures of {result.trace}',
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
        (dataclasses.astuple(check) for check in result.verdicts),
    )


def main() -> None:
    """Run the program."""
    application()
