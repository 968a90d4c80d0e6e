"""Loader of settings files, which are JSON with comments."""

import pathlib
import typing

import jsonc
import pydantic

from sapphirepaddle import codes, errors

Model = typing.TypeVar('Model', bound=pydantic.BaseModel)


def decode(text: str, source: str) -> typing.Any:
    """Decode JSON with comments.

    Args:
        text: Content of the file.
        source: Name of the file for error messages.

    Raises:
        SettingsError: If the text is not JSON with comments.
    """
    try:
        return jsonc.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(
            codes.SETTINGS_UNREADABLE,
            f'{source}: {error}',
        ) from error


def read(path: pathlib.Path) -> typing.Any:
    """Read and decode a file of JSON with comments.

    Raises:
        SettingsError: If the file cannot be read or decoded.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            codes.SETTINGS_UNREADABLE,
            f'{path}: {error}',
        ) from error
    return decode(text, str(path))


def load(path: pathlib.Path, model: type[Model]) -> Model:
    """Load a settings file and validate it with a model.

    Raises:
        SettingsError: If the file is unreadable or invalid; the detail has
            the file, field path and message of every error.
    """
    try:
        return model.model_validate(read(path))
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            codes.SETTINGS_INVALID,
            '\n'.join(describe_errors(str(path), error)),
        ) from error


def describe_errors(source: str, error: pydantic.ValidationError) -> list[str]:
    """Return a line with file, field path and message per error."""
    return [
        f'{source}: {".".join(map(str, entry["loc"])) or "-"}: {entry["msg"]}'
        for entry in error.errors(include_input=False, include_url=False)
    ]
