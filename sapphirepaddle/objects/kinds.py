"""Registry of the kinds of configuration objects."""

import dataclasses
import typing
from collections import abc

import pydantic

from sapphirepaddle import codes, errors

NAME_PATTERN: typing.Final = r'^[a-z0-9][a-z0-9_.:-]{0,127}$'

Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class ConfigurationObject(typing.Protocol):
    """What every configuration object has."""

    @property
    def name(self) -> str:
        """Return the name, unique in its kind."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of configuration object.

    Attributes:
        name: Name of the kind in the platform.
        model: The data class of the objects.
        adapter: Validates plain JSON values into the data class.
    """

    name: str
    model: type
    adapter: pydantic.TypeAdapter[typing.Any]

    def parse(self, body: typing.Any) -> ConfigurationObject:
        """Validate plain JSON values.

        Args:
            body: The decoded JSON object.

        Returns:
            An instance of the data class of this kind.

        Raises:
            ConfigurationError: If a field is missing, unknown or wrong.
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
    """Return a decorator that registers a data class as a kind.

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
    """Return the kind with this name.

    Raises:
        ConfigurationError: If no such kind exists.
    """
    kind = REGISTRY.get(name)
    if kind is None:
        raise errors.ConfigurationError(
            codes.OBJECT_INVALID,
            f'unknown kind {name!r}',
        )
    return kind


def summarize(error: pydantic.ValidationError) -> str:
    """Return one line with field path and reason of every error."""
    return '; '.join(
        f'{".".join(map(str, entry["loc"])) or "-"}: {entry["msg"]}'
        for entry in error.errors(include_input=False, include_url=False)
    )
