"""paddle-demo: run a deployment of stand-ins and replay a trace on it."""

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
    daemons_per_zone: typing.Annotated[
        int,
        typer.Option('--each', help='Daemons in each availability zone.'),
    ] = 1,
    keep: typing.Annotated[
        bool,
        typer.Option('--keep', help='Keep running; print URLs as JSON.'),
    ] = False,
    version: common.Version = False,
) -> None:
    """Start stand-ins and daemons, replay the sample trace, stop."""
    with tempfile.TemporaryDirectory() as folder, common.report_errors():
        deployment_fleet = fleet.Fleet(pathlib.Path(folder), STOP_SETTINGS)
        try:
            run_deployment(
                deployment_fleet, samples / deployment, daemons_per_zone, keep
            )
        finally:
            deployment_fleet.stop()


STOP_SETTINGS: typing.Final[fleet.Json] = {  # noqa: WPS407
    'stop': {'announce_seconds': 0.5, 'drain_seconds': 5},
}


def run_deployment(
    deployment_fleet: fleet.Fleet,
    sample_folder: pathlib.Path,
    daemons_per_zone: int,
    keep: bool,
) -> None:
    """Start a deployment, then replay its trace or keep it running."""
    objects = demonstration.read_sample(sample_folder)
    deployment = demonstration.start(
        deployment_fleet, objects, daemons_per_zone
    )
    replay_environment = deployment.replay_environment()
    if keep:
        typer.echo(orjson.dumps(describe(deployment, replay_environment)))
        wait_for_signal()
        return
    recorded_trace = trace.read(sample_folder / 'trace.jsonl')
    result = asyncio.run(
        runner.run(recorded_trace, replay_environment, progress=True)
    )
    replay_program.show_result(result, as_json=False)
    show_curl(deployment, recorded_trace)
    replay_program.require_outcomes_held(result)


def describe(
    deployment: demonstration.Demonstration,
    replay_environment: environment.Environment,
) -> fleet.Json:
    """Return the environment of a deployment and one of its keys."""
    return {
        **replay_environment.model_dump(),
        'key': next(iter(deployment.keys.values())),
    }


def show_curl(
    deployment: demonstration.Demonstration,
    recorded_trace: trace.Trace,
) -> None:
    """Print a curl command that sends a request to the first daemon."""
    url = next(iter(deployment.fleet.daemons.values())).callers_url
    path = recorded_trace.requests[0].path
    typer.echo('To send a request by hand, keep it running:')
    typer.echo('  make demo DEMO_OPTIONS=--keep')
    typer.echo(f"  curl -i -H 'Authorization: Bearer KEY' {url}{path}")


def wait_for_signal() -> None:
    """Block until SIGTERM or SIGINT."""
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, functools.partial(set_event, stop))
    stop.wait()


def set_event(stop: threading.Event, *_arguments: typing.Any) -> None:
    """Set an event from a signal handler."""
    stop.set()


def main() -> None:
    """Run the program."""
    application()
