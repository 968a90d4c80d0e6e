"""Reading of settings files: JSON with comments."""

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
        source: Name of the file for errors.

    Raises:
        SettingsError: If it is not JSON with comments.
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
        SettingsError: If it cannot be read or decoded.
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
    """Read a settings file into its model.

    Raises:
        SettingsError: If it is unreadable or invalid; the detail names the
            file, the field path and the reason of every error.
    """
    try:
        return model.model_validate(read(path))
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            codes.SETTINGS_INVALID,
            '\n'.join(describe_errors(str(path), error)),
        ) from error


def describe_errors(source: str, error: pydantic.ValidationError) -> list[str]:
    """Return a line for each error of a validation."""
    return [
        f'{source}: {".".join(map(str, entry["loc"])) or "-"}: {entry["msg"]}'
        for entry in error.errors(include_input=False, include_url=False)
    ]
