"""paddle-demo: a whole deployment on stand-ins, and a replay on it."""

import asyncio
import functools
import pathlib
import signal
import tempfile
import threading
import typing

import orjson
import typer

from sapphirepaddle.cli import common
from sapphirepaddle.cli import replay as replay_program
from sapphirepaddle.replay import environment, runner, trace
from sapphirepaddle.standins import demonstration, fleet

application = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
)
SAMPLES: typing.Final = pathlib.Path('samples')


@application.command()
def run(
    deployment: typing.Annotated[
        str,
        typer.Option('--deployment', help='Folder below samples.'),
    ] = 'brimweave',
    samples: pathlib.Path = SAMPLES,
    each: typing.Annotated[
        int,
        typer.Option('--each', help='Daemons in each availability zone.'),
    ] = 1,
    keep: typing.Annotated[
        bool,
        typer.Option('--keep', help='Keep running; print URLs as JSON.'),
    ] = False,
    version: common.Version = False,
) -> None:
    """Start stand-ins and daemons, replay the example trace, stop."""
    with tempfile.TemporaryDirectory() as folder, common.report_errors():
        running = fleet.Fleet(pathlib.Path(folder), STOP_SETTINGS)
        try:
            run_deployment(running, samples / deployment, each, keep)
        finally:
            running.stop()


STOP_SETTINGS: typing.Final[fleet.Json] = {  # noqa: WPS407
    'stop': {'announce_seconds': 0.5, 'drain_seconds': 5},
}


def run_deployment(
    running: fleet.Fleet,
    folder: pathlib.Path,
    each: int,
    keep: bool,
) -> None:
    """Start a deployment, then replay its trace or keep it running."""
    objects = demonstration.read_sample(folder)
    started = demonstration.start(running, objects, each)
    bench = started.replay_environment()
    if keep:
        typer.echo(orjson.dumps(describe(started, bench)))
        wait_for_signal()
        return
    recorded = trace.read(folder / 'trace.jsonl')
    outcome = asyncio.run(runner.run(recorded, bench, progress=True))
    replay_program.show_result(outcome, as_json=False)
    show_curl(started, recorded)
    replay_program.require_held(outcome)


def describe(
    started: demonstration.Demonstration,
    bench: environment.Environment,
) -> fleet.Json:
    """Return the URLs of a running deployment."""
    return {
        **bench.model_dump(),
        'key': next(iter(started.keys.values())),
    }


def show_curl(
    started: demonstration.Demonstration,
    recorded: trace.Trace,
) -> None:
    """Print how to send a request by hand."""
    url = next(iter(started.fleet.daemons.values())).callers_url
    path = recorded.requests[0].path
    typer.echo('To send a request by hand, keep it running:')
    typer.echo('  make demo DEMO_OPTIONS=--keep')
    typer.echo(f"  curl -i -H 'Authorization: Bearer KEY' {url}{path}")


def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, functools.partial(set_event, stop))
    stop.wait()


def set_event(stop: threading.Event, *_arguments: typing.Any) -> None:
    """Set an event when a signal comes."""
    stop.set()


def main() -> None:
    """Run the program."""
    application()
