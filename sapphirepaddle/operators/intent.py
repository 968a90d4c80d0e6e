"""Base class and registry of operator intents."""

import abc
import dataclasses
import typing
from collections import abc as collections_abc

import pydantic

from sapphirepaddle import codes, errors
from sapphirepaddle.objects import change, configuration, kinds

PUT = change.Put
Configuration = configuration.Configuration


@dataclasses.dataclass(slots=True)
class Draft:
    """Changes that an intent requires.

    Attributes:
        puts: Objects to create or replace.
        deletes: Objects to delete.
        leaving: Names of VMs whose daemons are asked to stop.
        withdrawn: Digests of keys that daemons stop accepting as soon as gossip
            reaches them, before the change is accepted.
    """

    puts: list[change.Put] = dataclasses.field(default_factory=list)
    deletes: list[change.Delete] = dataclasses.field(default_factory=list)
    leaving: list[str] = dataclasses.field(default_factory=list)
    withdrawn: list[str] = dataclasses.field(default_factory=list)


class Intent(abc.ABC):
    """An operator's request to change the fleet."""

    @abc.abstractmethod
    def draft(self, current: Configuration) -> Draft:
        """Return the changes that fulfil the intent.

        Args:
            current: The active configuration.

        Raises:
            OperatorError: If the intent names an object that does not exist.
        """


Adapter = pydantic.TypeAdapter[typing.Any]
REGISTRY: typing.Final[dict[str, Adapter]] = {}  # noqa: WPS407
Decorated = typing.TypeVar('Decorated', bound=type)


def register(
    name: str,
) -> collections_abc.Callable[[Decorated], Decorated]:
    """Return a class decorator that registers an intent.

    Args:
        name: Name of the intent in the API.
    """

    def decorate(model: Decorated) -> Decorated:  # noqa: WPS430
        REGISTRY[name] = pydantic.TypeAdapter(model)
        return model

    return decorate


def parse(name: str, fields: typing.Any) -> Intent:
    """Return the intent with a name and validated fields.

    Raises:
        OperatorError: If the name is unknown or a field is invalid.
    """
    adapter = REGISTRY.get(name)
    if adapter is None:
        raise errors.OperatorError(
            codes.INTENT_INVALID,
            f'unknown intent {name!r}; known: {", ".join(sorted(REGISTRY))}',
        )
    try:
        return adapter.validate_python(fields)
    except pydantic.ValidationError as error:
        raise errors.OperatorError(
            codes.INTENT_INVALID,
            f'{name}: {kinds.summarize(error)}',
        ) from error


def find_object(current: Configuration, kind: str, name: str) -> typing.Any:
    """Return an object of the active configuration by kind and name.

    Raises:
        OperatorError: If the object does not exist.
    """
    instance = current.objects_of_kind(kind).get(name)
    if instance is None:
        raise errors.OperatorError(
            codes.INTENT_INVALID,
            f'no {kind} named {name}',
        )
    return instance


def put_with_fields(
    kind: str, instance: typing.Any, **fields: typing.Any
) -> change.Put:
    """Return a put of an object with some fields replaced."""
    body = dataclasses.asdict(dataclasses.replace(instance, **fields))
    return change.Put(kind=kind, body=body)
