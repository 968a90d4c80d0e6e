"""Encoding of datagrams and snapshots; no input or output here."""

import dataclasses
import pathlib
import typing

import capnp

from sapphirepaddle import codes, errors
from sapphirepaddle.peers import digest

SCHEMA: typing.Final = capnp.load(
    str(pathlib.Path(__file__).with_name('digest.capnp')),
)
DECODE_ERRORS: typing.Final = (
    capnp.KjException,
    LookupError,
    ValueError,
    TypeError,
)
TRAVERSAL_WORDS: typing.Final = 8388608
"""Words that a message may have; a snapshot holds all targets."""


def encode(body: digest.Body) -> bytes:
    """Return the bytes of a datagram."""
    if isinstance(body, digest.Digest):
        built = SCHEMA.Datagram.new_message(digest=to_fields(body))
    elif isinstance(body, digest.Bundle):
        built = SCHEMA.Datagram.new_message(bundle=to_plain(body.digests))
    else:
        built = SCHEMA.Datagram.new_message(hello=to_fields(body))
    return built.to_bytes()


def to_fields(held: typing.Any) -> dict[str, typing.Any]:
    """Return the fields of a message under the names of the schema."""
    return {
        camel_case(field.name): to_plain(getattr(held, field.name))
        for field in dataclasses.fields(held)
    }


def to_plain(content: typing.Any) -> typing.Any:
    """Return a field's content as the library takes it."""
    if isinstance(content, tuple):
        return [to_fields(held) for held in content]
    return content


def camel_case(name: str) -> str:
    """Return a name as the schema spells it."""
    first, *rest = name.split('_')
    return first + ''.join(map(str.capitalize, rest))


def decode(raw: bytes) -> digest.Body:
    """Read a datagram.

    Raises:
        PeerError: If it is malformed.
    """
    try:
        with SCHEMA.Datagram.from_bytes(raw) as reader:
            kind = str(reader.which())
            if kind == 'digest':
                return read_digest(reader.digest)
            if kind == 'bundle':
                return digest.Bundle(tuple(map(read_digest, reader.bundle)))
            return read_hello(reader.hello)
    except DECODE_ERRORS as error:
        raise malformed(error) from error


def read_digest(reader: typing.Any) -> digest.Digest:
    """Read a digest."""
    return digest.Digest(
        sender=reader.sender,
        start=reader.start,
        is_forwarded=reader.isForwarded,
        is_leaving=reader.isLeaving,
        version=reader.version,
        contact_age=reader.contactAge,
        targets_mark=reader.targetsMark,
        targets=tuple(
            digest.TargetCount(held.target, held.good, held.bad, held.running)
            for held in reader.targets
        ),
        accounts=tuple(
            digest.AccountCount(held.account, held.admitted)
            for held in reader.accounts
        ),
        services=tuple(
            digest.ServiceCount(held.service, held.requests, held.repeats)
            for held in reader.services
        ),
    )


def read_hello(reader: typing.Any) -> digest.Hello:
    """Read an introduction."""
    return digest.Hello(
        name=reader.name,
        zone=reader.zone,
        host=reader.host,
        incarnation=reader.incarnation,
        is_answer=reader.isAnswer,
        is_forwarded=reader.isForwarded,
    )


def malformed(error: Exception) -> errors.PeerError:
    """Return the error for a malformed message."""
    return errors.PeerError(codes.PEER_MALFORMED, type(error).__name__)
