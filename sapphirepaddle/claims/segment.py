"""Objects of the platform that hold the records of a shard, in order."""

import dataclasses
import typing

import orjson
import pydantic

from sapphirepaddle.claims import record

DIGITS: typing.Final = 10


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """Some records in order.

    Attributes:
        records: The records.
        sealed: Whether no record is added any more.
    """

    records: tuple[record.Record, ...] = ()
    sealed: bool = False

    def encode(self) -> bytes:
        """Return the segment as JSON."""
        return orjson.dumps(self)


ADAPTER: typing.Final = pydantic.TypeAdapter(Segment)


def prefix_of(shard: int) -> str:
    """Return the prefix of the keys of a shard's segments."""
    return f'claims/{shard}/'


def key_of(shard: int, number: int) -> str:
    """Return the key of a segment in the platform."""
    return f'{prefix_of(shard)}{number:0{DIGITS}d}'
