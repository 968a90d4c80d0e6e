"""Registry of the kinds of configuration objects."""

import dataclasses
import typing
from collections import abc

import pydantic

from sapphirepaddle import codes, errors

NAME_PATTERN: typing.Final = r'^[a-z0-9][a-z0-9_.:-]{0,127}$'

Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class ConfigurationObject(typing.Protocol):
    """Common interface of configuration objects."""

    @property
    def name(self) -> str:
        """Return the name, which is unique within the kind."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of configuration object.

    Attributes:
        name: Name of the kind in the platform.
        model: Data class of the objects.
        adapter: Validates plain JSON values as the data class.
    """

    name: str
    model: type
    adapter: pydantic.TypeAdapter[typing.Any]

    def parse(self, body: typing.Any) -> ConfigurationObject:
        """Validate plain JSON values as an object of this kind.

        Args:
            body: Decoded JSON object.

        Returns:
            An instance of the data class of this kind.

        Raises:
            ConfigurationError: If a field is missing, unknown or invalid.
        """
        try:
            return self.adapter.validate_python(body)
        except pydantic.ValidationError as error:
            raise errors.ConfigurationError(
                codes.OBJECT_INVALID,
                f'{self.name}: {summarize(error)}',
            ) from error


REGISTRY: typing.Final[dict[str, Kind]] = {}  # noqa: WPS407


def register(name: str) -> abc.Callable[[type], type]:
    """Return a class decorator that registers a data class as a kind.

    Args:
        name: Name of the kind in the platform.
    """

    def decorate(model: type) -> type:  # noqa: WPS430
        adapter: pydantic.TypeAdapter[typing.Any] = pydantic.TypeAdapter(
            model,
        )
        REGISTRY[name] = Kind(name, model, adapter)
        return model

    return decorate


def find(name: str) -> Kind:
    """Return the kind with a name.

    Raises:
        ConfigurationError: If the kind is unknown.
    """
    kind = REGISTRY.get(name)
    if kind is None:
        raise errors.ConfigurationError(
            codes.OBJECT_INVALID,
            f'unknown kind {name!r}',
        )
    return kind


def summarize(error: pydantic.ValidationError) -> str:
    """Return one line with the field path and message of each error."""
    return '; '.join(
        f'{".".join(map(str, entry["loc"])) or "-"}: {entry["msg"]}'
        for entry in error.errors(include_input=False, include_url=False)
    )
