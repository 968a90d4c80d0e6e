"""Changes of the configuration: the entries of the change log."""

import dataclasses
import typing

import orjson
import pydantic

from sapphirepaddle import codes, errors


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Create or replace one object.

    Attributes:
        kind: Name of the kind.
        body: The fields of the object as plain JSON values.
    """

    kind: str
    body: dict[str, typing.Any]

    @property
    def name(self) -> str:
        """Return the name of the object."""
        return str(self.body.get('name', ''))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delete:
    """Delete one object.

    Attributes:
        kind: Name of the kind.
        name: Name of the object.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One entry of the change log.

    Attributes:
        revision: Position in the log, from 1.
        author: Who made the change.
        reason: Why, in the author's words.
        token: Identifies the writer of this entry after a lost answer.
        at: Unix time of the change in seconds.
        puts: Objects to create or replace.
        deletes: Objects to delete.
    """

    revision: int
    author: str
    reason: str
    token: str
    at: float
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()

    def encode(self) -> bytes:
        """Return the entry as JSON."""
        return orjson.dumps(self)


ADAPTER: typing.Final = pydantic.TypeAdapter(Change)


def decode(body: bytes) -> Change:
    """Read an entry from JSON.

    Raises:
        ConfigurationError: If it is not a valid entry.
    """
    try:
        return ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.ConfigurationError(
            codes.CHANGE_UNREADABLE,
            f'{error.error_count()} errors in a change',
        ) from error
