"""Options, signal handling and error reports of all command lines."""

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

StopEvent = asyncio.Event
Main = abc.Callable[[StopEvent], abc.Coroutine[typing.Any, typing.Any, None]]
SettingsModel = typing.TypeVar('SettingsModel', bound=base.Settings)
FORCED_EXIT_CODE: typing.Final = 1
BASE_EXIT_CODE: typing.Final = 10

SettingsFile = typing.Annotated[
    pathlib.Path,
    typer.Option('--settings', help='Settings file, JSON with comments.'),
]


def show_version(is_requested: bool) -> None:
    """Print the version and exit, if the option was given."""
    if is_requested:
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
    """Run a program until SIGTERM or SIGINT; a second signal cancels it.

    Args:
        main: Program; stops when the event that it is passed is set.
    """
    with report_errors():
        asyncio.run(serve(main))


def run_program(
    path: pathlib.Path,
    model: type[SettingsModel],
    serve_settings: abc.Callable[
        [SettingsModel, StopEvent],
        abc.Coroutine[typing.Any, typing.Any, None],
    ],
) -> None:
    """Read the settings of a program and run it until a signal stops it.

    Args:
        path: Settings file.
        model: Model of the settings.
        serve_settings: Program; serves with the settings until the event is
            set.
    """
    with report_errors():
        settings = loader.load(path, model)
    run(functools.partial(serve_settings, settings))


async def serve(main: Main) -> None:
    """Run a program whose stop event is set by SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    task = loop.create_task(main(stop))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop, stop, task)
    try:
        await task
    except asyncio.CancelledError:
        typer.echo('terminated by a second signal', err=True)
        sys.exit(FORCED_EXIT_CODE)


def request_stop(stop: StopEvent, task: asyncio.Task[None]) -> None:
    """Set the stop event; cancel the task at the second request."""
    if stop.is_set():
        task.cancel()
    stop.set()


class report_errors:  # noqa: N801
    """Context manager that reports an error of the package and exits."""

    def __enter__(self) -> None:
        """Enter the context."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        _trace: typing.Any,
    ) -> None:
        """Print an error of the package and exit with its exit code."""
        if isinstance(error, errors.PaddleError):
            typer.echo(str(error), err=True)
            sys.exit(exit_code(error))


def exit_code(error: errors.PaddleError) -> int:
    """Return 10 plus the thousands of the number of the result code."""
    return BASE_EXIT_CODE + error.code.number // NUMBERS_PER_CLASS


NUMBERS_PER_CLASS: typing.Final = 1000
