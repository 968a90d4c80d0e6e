"""Segments of a shard's log, stored as objects in the platform."""

import dataclasses
import typing

import orjson
import pydantic

from sapphirepaddle import errors
from sapphirepaddle.claims import record

NUMBER_DIGITS: typing.Final = 10


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """A run of consecutive records of a shard.

    Attributes:
        records: The records in commit order.
        sealed: Whether the segment is complete; a sealed one never changes.
    """

    records: tuple[record.Record, ...] = ()
    sealed: bool = False

    def encode(self) -> bytes:
        """Return the segment as JSON."""
        return orjson.dumps(self)


ADAPTER: typing.Final = pydantic.TypeAdapter(Segment)


def decode(body: bytes | None) -> Segment:
    """Decode a segment that was read from the platform.

    Raises:
        PlatformUnavailableError: If it is deleted or cannot be decoded.
    """
    try:
        return ADAPTER.validate_json(body or b'')
    except ValueError as error:
        raise errors.PlatformUnavailableError('malformed segment') from error


def prefix_of(shard: int) -> str:
    """Return the key prefix of a shard's segments in the platform."""
    return f'claims/{shard}/'


def key_of(shard: int, number: int) -> str:
    """Return the key of a segment in the platform."""
    return f'{prefix_of(shard)}{number:0{NUMBER_DIGITS}d}'
