"""The API key object; only the digest of a key is stored."""

import dataclasses
import hashlib
import typing

import pydantic

from sapphirepaddle.objects import kinds

DIGEST_PATTERN: typing.Final = '^[0-9a-f]{64}$'


@kinds.register('key')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """An API key of a client account.

    Attributes:
        name: SHA-256 digest of the key in hexadecimal.
        account: Name of the client account.
        withdrawn: Whether the key was withdrawn, which is permanent.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: typing.Annotated[str, pydantic.Field(pattern=DIGEST_PATTERN)]
    account: kinds.Name
    withdrawn: bool = False


def digest(secret: bytes) -> str:
    """Return the SHA-256 digest of a key in hexadecimal.

    Keys are long and random, so that a slow password hash is not needed.
    """
    return hashlib.sha256(secret).hexdigest()
