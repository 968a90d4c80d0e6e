"""Records of idempotency keys."""

import dataclasses
import enum
import hashlib
import typing

import pydantic


class State(enum.Enum):
    """What is known of the request of an idempotency key."""

    CLAIMED = 'claimed'
    RELEASED = 'released'
    DONE = 'done'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The answer to a request, kept for repeats of its key.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value.
        body: The body in base64; None if it was too large to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One step in the life of an idempotency key.

    Attributes:
        key: Digest of the client account and the key.
        fingerprint: Digest of method, path and body of the request.
        state: What is known now.
        token: Identifies the claim; later steps carry the same.
        at: Unix time in seconds.
        outcome: The answer, once the request is done.
    """

    key: str
    fingerprint: str
    state: State
    token: str
    at: float
    outcome: Outcome | None = None


ADAPTER: typing.Final = pydantic.TypeAdapter(Record)
DIGEST_BYTES: typing.Final = 16


def digest(*parts: bytes) -> str:
    """Return a digest of some parts in hexadecimal."""
    joined = b''.join(
        len(part).to_bytes(DIGEST_BYTES, 'big') + part for part in parts
    )
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()
