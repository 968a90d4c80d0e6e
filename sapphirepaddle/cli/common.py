"""Parts shared by the command lines."""

import asyncio
import functools
import pathlib
import signal
import sys
import typing
from collections import abc

import typer

from sapphirepaddle import errors, version
from sapphirepaddle.settings import base, loader

Stop = asyncio.Event
Main = abc.Callable[[Stop], abc.Coroutine[typing.Any, typing.Any, None]]
Loaded = typing.TypeVar('Loaded', bound=base.Settings)
FORCED_EXIT: typing.Final = 1
BASE_EXIT_CODE: typing.Final = 10

SettingsFile = typing.Annotated[
    pathlib.Path,
    typer.Option('--settings', help='Settings file, JSON with comments.'),
]


def show_version(wanted: bool) -> None:
    """Print the version and exit, if wanted."""
    if wanted:
        typer.echo(version.VERSION)
        raise typer.Exit


Version = typing.Annotated[
    bool,
    typer.Option(
        '--version',
        callback=show_version,
        is_eager=True,
        help='Print the version and exit.',
    ),
]


def run(main: Main) -> None:
    """Run a program until SIGTERM or SIGINT; a second signal ends it.

    Args:
        main: Gets the event that tells it to stop.
    """
    with report_errors():
        asyncio.run(serve(main))


def run_program(
    path: pathlib.Path,
    model: type[Loaded],
    serve_settings: abc.Callable[
        [Loaded, Stop],
        abc.Coroutine[typing.Any, typing.Any, None],
    ],
) -> None:
    """Read a program's settings and run it until it is told to stop.

    Args:
        path: Its settings file.
        model: The model of its settings.
        serve_settings: Serves with settings until the event is set.
    """
    with report_errors():
        loaded = loader.load(path, model)
    run(functools.partial(serve_settings, loaded))


async def serve(main: Main) -> None:
    """Run a program with signals turned into its stop event."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    task = loop.create_task(main(stop))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop, stop, task)
    try:
        await task
    except asyncio.CancelledError:
        typer.echo('ended by a second signal', err=True)
        sys.exit(FORCED_EXIT)


def request_stop(stop: Stop, task: asyncio.Task[None]) -> None:
    """Ask for a stop; a second request cancels."""
    if stop.is_set():
        task.cancel()
    stop.set()


class report_errors:  # noqa: N801
    """Turns errors of the package into a message and an exit code."""

    def __enter__(self) -> None:
        """Start."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        _trace: typing.Any,
    ) -> None:
        """Print an error of the package and exit with its code."""
        if isinstance(error, errors.PaddleError):
            typer.echo(str(error), err=True)
            sys.exit(exit_code(error))


def exit_code(error: errors.PaddleError) -> int:
    """Return the exit code of an error: ten and its number's thousands."""
    return BASE_EXIT_CODE + error.code.number // THOUSAND


THOUSAND: typing.Final = 1000
