"""Configuration changes, the entries of the change log."""

import dataclasses
import typing

import orjson
import pydantic

from sapphirepaddle import codes, errors


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Creation or replacement of one object.

    Attributes:
        kind: Kind of the object.
        body: Fields of the object as plain JSON values.
    """

    kind: str
    body: dict[str, typing.Any]

    @property
    def name(self) -> str:
        """Return the name of the object; empty if the body has none."""
        return str(self.body.get('name', ''))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delete:
    """Deletion of one object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One entry of the change log.

    Attributes:
        revision: Position in the log, starting at 1.
        author: Name of the operator who requested the change.
        reason: Reason given by the author.
        token: Identifier of the plan, by which a writer recognizes its own
            entry when the answer to a write was lost.
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
    """Decode an entry from JSON.

    Raises:
        ConfigurationError: If the body is not a valid entry.
    """
    try:
        return ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.ConfigurationError(
            codes.CHANGE_UNREADABLE,
            f'{error.error_count()} validation errors in a change log entry',
        ) from error
