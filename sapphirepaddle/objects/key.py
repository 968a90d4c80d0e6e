"""Keys of client accounts, kept as digests."""

import dataclasses
import hashlib
import typing

import pydantic

from sapphirepaddle.objects import kinds

DIGEST_PATTERN: typing.Final = '^[0-9a-f]{64}$'


@kinds.register('key')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A key of a client account.

    Attributes:
        name: SHA-256 digest of the key in hexadecimal.
        account: Name of the client account.
        withdrawn: Whether the key was withdrawn; this is never undone.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: typing.Annotated[str, pydantic.Field(pattern=DIGEST_PATTERN)]
    account: kinds.Name
    withdrawn: bool = False


def digest(secret: bytes) -> str:
    """Return the SHA-256 digest of a key in hexadecimal.

    Keys are random and long, so that no slow hash is needed.
    """
    return hashlib.sha256(secret).hexdigest()
