"""Encoding and decoding of peer frames; performs no I/O."""

import dataclasses
import pathlib
import typing

import capnp

from sapphirepaddle import codes, errors
from sapphirepaddle.peers import messages

SCHEMA: typing.Final = capnp.load(
    str(pathlib.Path(__file__).with_name('messages.capnp')),
)
registry = messages.registry
TRAVERSAL_LIMIT_WORDS: typing.Final = 1048576
"""Traversal limit of the decoder in 8-byte words: 8 MiB, twice the size of the
largest frame."""
MAX_FRAME_BYTES: typing.Final = 4194304
"""Maximum size of a frame with its MAC; a connection on which a peer announces
a larger one is closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A message with the identifiers that match replies to requests.

    Attributes:
        body: The message.
        request_id: Identifies a request; 0 if no reply is expected.
        reply_to: Identifier of the request that this frame answers; 0 if
            it is not a reply.
    """

    body: registry.Message
    request_id: int = 0
    reply_to: int = 0


def encode(frame: Frame) -> bytes:
    """Return the serialized frame."""
    name = registry.BY_TYPE[type(frame.body)]
    builder = SCHEMA.Frame.new_message(
        number=frame.request_id, reply=frame.reply_to
    )
    builder.body = {name: registry.to_fields(frame.body)}
    return builder.to_bytes()


def decode(raw: bytes) -> Frame:
    """Decode a frame.

    Frames use the unpacked Cap'n Proto encoding, because the library aborts
    the whole process on a malformed packed message.

    Raises:
        PeerError: If the frame is malformed.
    """
    try:
        return parse_frame(raw)
    except DECODE_ERRORS as error:
        raise errors.PeerError(
            codes.PEER_MALFORMED,
            type(error).__name__,
        ) from error


def parse_frame(raw: bytes) -> Frame:
    """Decode a frame; raises any of DECODE_ERRORS if it is malformed."""
    with SCHEMA.Frame.from_bytes(
        raw,
        traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
    ) as reader:
        name = str(reader.body.which())
        body = registry.build(
            registry.BY_NAME[name],
            getattr(reader.body, name),
        )
        return Frame(body, reader.number, reader.reply)


DECODE_ERRORS: typing.Final = (
    capnp.KjException,
    LookupError,
    ValueError,
    TypeError,
)
