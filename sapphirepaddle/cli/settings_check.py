"""paddle settings: check files without starting a program."""

import enum
import pathlib
import typing

import typer

from sapphirepaddle import codes, errors
from sapphirepaddle.cli import common
from sapphirepaddle.objects import change, configuration, references
from sapphirepaddle.settings import loader, programs

application = typer.Typer(help='Check files without starting a program.')


class Program(enum.StrEnum):
    """Programs that read a settings file."""

    ENTRY = 'paddle-entry'
    PLATFORM = 'paddle-platform'
    TARGET = 'paddle-target'


@application.command('check')
def check(
    file: pathlib.Path,
    program: typing.Annotated[
        Program,
        typer.Option('--program', help='The program that the file is for.'),
    ] = Program.ENTRY,
) -> None:
    """Check a settings file and report every error."""
    with common.report_errors():
        loader.load(file, programs.MODELS_BY_PROGRAM[program.value])
    typer.echo(f'{file}: valid settings of {program.value}')


@application.command('check-objects')
def check_objects(file: pathlib.Path) -> None:
    """Check a file of configuration objects and their references."""
    with common.report_errors():
        puts = read_objects(file)
        entry = change.Change(
            revision=1,
            author='check',
            reason='check',
            token='check',  # noqa: S106
            at=0,
            puts=puts,
        )
        references.check(configuration.Configuration(), entry)
    typer.echo(f'{file}: {len(puts)} valid objects')


def read_objects(file: pathlib.Path) -> tuple[change.Put, ...]:
    """Read a file of configuration objects.

    Raises:
        PaddleError: If the file is malformed.
    """
    content = loader.read(file)
    try:
        return tuple(change.Put(**entry) for entry in content['objects'])
    except (KeyError, TypeError) as error:
        raise errors.ConfigurationError(
            codes.OBJECT_INVALID,
            f'{file}: must contain a list "objects" of "kind" and "body"',
        ) from error
