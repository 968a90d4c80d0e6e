"""Registry of the intents that operators state."""

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
    """What an intent changes.

    Attributes:
        puts: Objects to create or replace.
        deletes: Objects to delete.
        leaving: VMs asked to stop.
        withdrawn: Digests of keys that stop at once.
    """

    puts: list[change.Put] = dataclasses.field(default_factory=list)
    deletes: list[change.Delete] = dataclasses.field(default_factory=list)
    leaving: list[str] = dataclasses.field(default_factory=list)
    withdrawn: list[str] = dataclasses.field(default_factory=list)


class Intent(abc.ABC):
    """What an operator wants."""

    @abc.abstractmethod
    def draft(self, current: Configuration) -> Draft:
        """Return what has to change.

        Args:
            current: The configuration in force.

        Raises:
            OperatorError: If the intent names something that is not there.
        """


Adapter = pydantic.TypeAdapter[typing.Any]
REGISTRY: typing.Final[dict[str, Adapter]] = {}  # noqa: WPS407
Decorated = typing.TypeVar('Decorated', bound=type)


def register(
    name: str,
) -> collections_abc.Callable[[Decorated], Decorated]:
    """Return a decorator that registers an intent.

    Args:
        name: Name that operators use.
    """

    def decorate(model: Decorated) -> Decorated:  # noqa: WPS430
        REGISTRY[name] = pydantic.TypeAdapter(model)
        return model

    return decorate


def parse(name: str, fields: typing.Any) -> Intent:
    """Return an intent from its name and fields.

    Raises:
        OperatorError: If the name is not known or a field is wrong.
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
    """Return an object that an intent names.

    Raises:
        OperatorError: If it is not there.
    """
    found = current.objects_of_kind(kind).get(name)
    if found is None:
        raise errors.OperatorError(
            codes.INTENT_INVALID,
            f'no {kind} {name}',
        )
    return found


def put_with_fields(
    kind: str, held: typing.Any, **fields: typing.Any
) -> change.Put:
    """Return the change of some fields of an object."""
    body = dataclasses.asdict(dataclasses.replace(held, **fields))
    return change.Put(kind=kind, body=body)
