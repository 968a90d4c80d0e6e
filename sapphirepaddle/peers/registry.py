"""Registry of the messages between daemons."""

import dataclasses
import typing
from collections import abc

Message = typing.Any

BY_NAME: typing.Final[dict[str, type]] = {}  # noqa: WPS407
BY_TYPE: typing.Final[dict[type, str]] = {}  # noqa: WPS407

Decorated = typing.TypeVar('Decorated', bound=type)


def register(name: str) -> abc.Callable[[Decorated], Decorated]:
    """Return a decorator that registers a message.

    Args:
        name: Name of its variant in the Cap'n Proto union.
    """

    def decorate(message: Decorated) -> Decorated:  # noqa: WPS430
        BY_NAME[name] = message
        BY_TYPE[message] = name
        return message

    return decorate


def plain(message: Message) -> dict[str, typing.Any]:
    """Return the fields of a message as Cap'n Proto takes them."""
    return {
        field.name: plain_value(getattr(message, field.name))
        for field in dataclasses.fields(message)
    }


def plain_value(value: typing.Any) -> typing.Any:
    """Return one field as Cap'n Proto takes it."""
    if isinstance(value, tuple):
        return [plain_value(entry) for entry in value]
    if dataclasses.is_dataclass(value):
        return plain(value)
    return value


def build(message: type, reader: typing.Any) -> Message:
    """Return a message from a Cap'n Proto reader.

    Args:
        message: Data class of the message.
        reader: Reader of its struct.
    """
    return message(
        **{
            field.name: build_value(field, getattr(reader, field.name))
            for field in dataclasses.fields(message)
        },
    )


def build_value(
    field: 'dataclasses.Field[typing.Any]', raw: typing.Any
) -> Message:
    """Return one field of a message."""
    if field.type is bytes:
        return bytes(raw)
    if field.type in SIMPLE:
        return raw
    inner = field.metadata.get('of', bytes)
    if inner is bytes:
        return tuple(bytes(entry) for entry in raw)
    return tuple(build(inner, entry) for entry in raw)


SIMPLE: typing.Final = frozenset((str, int, float, bool))
