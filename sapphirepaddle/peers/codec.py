"""Encoding of frames between daemons; no input or output here."""

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
TRAVERSAL_WORDS: typing.Final = 1048576
MAX_FRAME_BYTES: typing.Final = 4194304


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One frame.

    Attributes:
        body: The message.
        number: Set if an answer is wanted.
        reply: Number of the frame that this answers.
    """

    body: registry.Message
    request_id: int = 0
    reply_to: int = 0


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    name = registry.BY_TYPE[type(frame.body)]
    built = SCHEMA.Frame.new_message(
        number=frame.request_id, reply=frame.reply_to
    )
    built.body = {name: registry.plain(frame.body)}
    return built.to_bytes()


def decode(raw: bytes) -> Frame:
    """Read a frame.

    The unpacked form is used: the library ends the whole process when it
    meets a malformed packed message.

    Raises:
        PeerError: If it is malformed.
    """
    try:
        return read(raw)
    except DECODE_ERRORS as error:
        raise errors.PeerError(
            codes.PEER_MALFORMED,
            type(error).__name__,
        ) from error


def read(raw: bytes) -> Frame:
    """Read a well-formed frame."""
    with SCHEMA.Frame.from_bytes(
        raw,
        traversal_limit_in_words=TRAVERSAL_WORDS,
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
