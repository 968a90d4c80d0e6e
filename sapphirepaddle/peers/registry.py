"""Registry of the message types, and their conversion for Cap'n Proto."""

import dataclasses
import typing
from collections import abc

Message = typing.Any

BY_NAME: typing.Final[dict[str, type]] = {}  # noqa: WPS407
"""Message types by the name of their variant in the Cap'n Proto union."""
BY_TYPE: typing.Final[dict[type, str]] = {}  # noqa: WPS407
"""The inverse of BY_NAME."""

Decorated = typing.TypeVar('Decorated', bound=type)


def register(name: str) -> abc.Callable[[Decorated], Decorated]:
    """Return a class decorator that registers a message type.

    Args:
        name: Name of its variant in the Cap'n Proto union.
    """

    def decorate(message_type: Decorated) -> Decorated:  # noqa: WPS430
        BY_NAME[name] = message_type
        BY_TYPE[message_type] = name
        return message_type

    return decorate


def to_fields(message: Message) -> dict[str, typing.Any]:
    """Return the fields of a message in the form Cap'n Proto accepts."""
    return {
        field.name: to_plain_value(getattr(message, field.name))
        for field in dataclasses.fields(message)
    }


def to_plain_value(field_value: typing.Any) -> typing.Any:
    """Convert a field value to the form that Cap'n Proto accepts."""
    if isinstance(field_value, tuple):
        return [to_plain_value(entry) for entry in field_value]
    if dataclasses.is_dataclass(field_value):
        return to_fields(field_value)
    return field_value


def build(message_type: type, reader: typing.Any) -> Message:
    """Return a message from a Cap'n Proto reader.

    Args:
        message_type: Data class of the message.
        reader: Cap'n Proto reader of its struct.
    """
    return message_type(
        **{
            field.name: build_value(field, getattr(reader, field.name))
            for field in dataclasses.fields(message_type)
        },
    )


def build_value(
    field: 'dataclasses.Field[typing.Any]', raw: typing.Any
) -> Message:
    """Convert the value of a Cap'n Proto field to its Python type."""
    if field.type is bytes:
        return bytes(raw)
    if field.type in SCALAR_TYPES:
        return raw
    item_type = field.metadata.get('of', bytes)
    if item_type is bytes:
        return tuple(bytes(entry) for entry in raw)
    return tuple(build(item_type, entry) for entry in raw)


SCALAR_TYPES: typing.Final = frozenset((str, int, float, bool))
