"""paddle check: check a configuration before it is sent."""

import asyncio
import pathlib
import typing

import jsonc
import orjson
import typer

from sapphirepaddle import codes, errors, operators_client
from sapphirepaddle.checks import (
    differences,
    finding,
    objects_form,
    registry,
    subject,
)
from sapphirepaddle.cli import operator
from sapphirepaddle.platform import adapter, configuration_form, settings_file
from sapphirepaddle.settings import edge

MAX_FILE_BYTES: typing.Final = 99999999
"""Largest file that is read: a million client accounts take 90 MB."""
BYTES_PER_MEBIBYTE: typing.Final = 1048576
CLEAN: typing.Final = 0
HAS_FINDINGS: typing.Final = 1
UNREADABLE: typing.Final = 2

Fields = dict[str, typing.Any]


def check(
    file: pathlib.Path,
    in_force: typing.Annotated[
        pathlib.Path | None,
        typer.Option('--in-force', help='File with the version in force.'),
    ] = None,
    store: typing.Annotated[
        str,
        typer.Option(
            '--store',
            help="Address of the platform's store that holds the version in "
            'force, as HOST:PORT.',
        ),
    ] = '',
    daemon: typing.Annotated[
        bool,
        typer.Option(
            '--daemon',
            help='Compare with the objects in force on the daemons of '
            'PADDLE_URL.',
        ),
    ] = False,
    memory_mb: typing.Annotated[
        float,
        typer.Option('--memory-mb', help='Memory limit of a daemon.'),
    ] = 0,
    as_json: typing.Annotated[
        bool, typer.Option('--json', help='Print JSON.')
    ] = False,
) -> None:
    """Check a configuration before it is sent, and show what it changes.

    Reads the form of the users' platform and the objects of "paddle object
    put". Exit codes: 0 without findings, 1 with findings, 2 if a file, the
    store or the daemons cannot be read.
    """
    try:
        checked = read_file(file)
        former = read_former(in_force, store, asks_daemon=daemon)
    except errors.PaddleError as error:
        typer.echo(f'{error.code.number} {error.code.name}: {error.detail}')
        raise typer.Exit(UNREADABLE) from error
    checked.memory_bytes = int(memory_mb * BYTES_PER_MEBIBYTE)
    found = registry.run(checked)
    changes = differences.find(former, checked) if former else []
    if as_json:
        typer.echo(to_json(found, changes))
    else:
        for line in (*(entry.line for entry in found), *changes):
            typer.echo(line)
        typer.echo(f'{file}: {len(found)} findings')
    raise typer.Exit(HAS_FINDINGS if found else CLEAN)


def read_former(
    in_force: pathlib.Path | None, store: str, *, asks_daemon: bool
) -> subject.CheckedConfiguration | None:
    """Read the version in force from a file, the store or the daemons.

    Raises:
        PaddleError: If it cannot be read.
    """
    if in_force is not None:
        return read_file(in_force)
    if store:
        return asyncio.run(read_store(store))
    if asks_daemon:
        return objects_form.read(
            asyncio.run(
                operator.with_client(operators_client.OperatorsClient.objects)
            )
        )
    return None


async def read_store(address: str) -> subject.CheckedConfiguration:
    """Read the configuration that the platform's store holds.

    Raises:
        ConfigurationError: If the store does not answer or holds none.
    """
    try:
        platform = adapter.PlatformAdapter(parse_address(address))
        listing = await platform.source.list_all(
            platform.configuration_kind, is_stale_allowed=True
        )
    except (errors.SourceError, ValueError) as error:
        raise unreadable(address, str(error)) from error
    for entry in listing.entries:
        if entry.name == platform.configuration_name and entry.content:
            return configuration_form.read(entry.content)
    raise unreadable(address, 'the store holds no configuration')


def parse_address(address: str) -> edge.Address:
    """Parse the address of a store, HOST:PORT."""
    return settings_file.parse_address(address)


def read_file(path: pathlib.Path) -> subject.CheckedConfiguration:
    """Read a configuration file of either form.

    Raises:
        ConfigurationError: If it cannot be read as a configuration.
    """
    decoded = decode(path, read_bytes(path))
    if isinstance(decoded.get('objects'), list):
        return objects_form.read(decoded)
    return configuration_form.read(decoded)


def read_bytes(path: pathlib.Path) -> bytes:
    """Read a file that is not too large.

    Raises:
        ConfigurationError: If it cannot be read.
    """
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            raise unreadable(
                path, f'{size} bytes; at most {MAX_FILE_BYTES} are read'
            )
        return path.read_bytes()
    except OSError as error:
        raise unreadable(path, str(error)) from error


def decode(path: pathlib.Path, raw: bytes) -> Fields:
    """Decode JSON, with comments or without.

    Raises:
        ConfigurationError: If it is not a JSON object in UTF-8.
    """
    try:
        decoded = decode_text(raw)
    except UnicodeDecodeError as error:
        raise unreadable(path, f'not UTF-8: {error}') from error
    except RecursionError as error:
        raise unreadable(path, 'nested too deeply') from error
    except ValueError as error:
        raise unreadable(path, f'not JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise unreadable(path, 'must be a JSON object')
    return decoded


def decode_text(raw: bytes) -> typing.Any:
    """Decode plain JSON fast, and text with comments otherwise."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        text = raw.decode('utf-8')
        if not any(mark in text for mark in COMMENT_MARKS):
            raise
        return jsonc.loads(text)


COMMENT_MARKS: typing.Final = ('//', '/*')


def unreadable(
    source_name: pathlib.Path | str, detail: str
) -> errors.ConfigurationError:
    """Return the error for a configuration that cannot be read."""
    return errors.ConfigurationError(
        codes.CONFIGURATION_UNREADABLE, f'{source_name}: {detail}'
    )


def to_json(found: list[finding.Finding], changes: list[str]) -> str:
    """Return findings and changes as JSON."""
    return orjson.dumps(
        {
            'findings': [
                {
                    'code': entry.code.number,
                    'name': entry.code.name,
                    'severity': entry.severity.value,
                    'place': entry.place,
                    'text': entry.text,
                }
                for entry in found
            ],
            'changes': changes,
        }
    ).decode()
