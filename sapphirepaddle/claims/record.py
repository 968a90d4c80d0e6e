"""Records of the claims of idempotency keys."""

import dataclasses
import enum
import hashlib
import typing

import pydantic


class State(enum.Enum):
    """State of the request that claimed an idempotency key.

    Attributes:
        CLAIMED: The request may be running.
        RELEASED: It provably did not run; the key can be claimed again.
        DONE: It was answered.
        LOST: It may have run, and its answer is not known.
    """

    CLAIMED = 'claimed'
    RELEASED = 'released'
    DONE = 'done'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The answer to a request, kept for repeated requests.

    Attributes:
        status: HTTP status.
        headers: Names and values of the HTTP headers.
        body: The body in base64; None if it was streamed or too large to
            keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One state change of an idempotency key.

    Attributes:
        key: Digest of client account, route and idempotency key.
        fingerprint: Digest of method, URL and body of the request.
        state: The new state.
        token: Identifies the claim; later records of it carry the same.
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
    """Return the hexadecimal digest of some byte strings.

    Each part is prefixed with its length, so that different splits of the
    same bytes have different digests.
    """
    joined = b''.join(
        len(part).to_bytes(DIGEST_BYTES, 'big') + part for part in parts
    )
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()
