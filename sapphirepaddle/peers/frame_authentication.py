"""Authentication of the frames of one peer connection.

Both sides send a random nonce in clear. From these nonces and the shared
secret each direction gets a key of its own. Every later frame carries a
code over its content and its number, so that a frame can be neither forged
nor repeated nor left out. Content is not hidden: it holds no keys.
"""

import hashlib
import hmac
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.peers import messages

MAC_BYTES: typing.Final = 16
NONCE_BYTES: typing.Final = 16
NUMBER_BYTES: typing.Final = 8


def direction_key(
    secret: str,
    sender: messages.Hello,
    receiver: messages.Hello,
) -> bytes:
    """Return the key of the frames from one side to the other."""
    parts = (sender.nonce, receiver.nonce, sender.vm, receiver.vm)
    text = b'\0'.join(
        part.encode() if isinstance(part, str) else part.hex().encode()
        for part in parts
    )
    return hashlib.blake2b(text, key=secret.encode()[:KEY_BYTES]).digest()


KEY_BYTES: typing.Final = hashlib.blake2b.MAX_KEY_SIZE


class Signer:
    """Signs the frames of one direction.

    Attributes:
        key: Key of the direction.
        number: Number of the next frame.
    """

    def __init__(self, key: bytes) -> None:
        """Start with the first frame."""
        self.key = key
        self.sequence_number = 0

    def sign(self, frame: bytes) -> bytes:
        """Return the code of the next frame."""
        code = compute_mac(self.key, self.sequence_number, frame)
        self.sequence_number += 1
        return code


class Verifier:
    """Checks the frames of one direction.

    The first good frame settles which of the accepted secrets is used.

    Attributes:
        keys: Keys that the sender may use.
        number: Number of the next frame.
    """

    def __init__(self, keys: abc.Sequence[bytes]) -> None:
        """Start with the first frame."""
        self.keys = list(keys)
        self.sequence_number = 0

    def verify(self, code: bytes, frame: bytes) -> None:
        """Check the next frame.

        Raises:
            PeerError: If its code is wrong.
        """
        good = [
            key
            for key in self.keys
            if hmac.compare_digest(
                code,
                compute_mac(key, self.sequence_number, frame),
            )
        ]
        if not good:
            raise errors.PeerError(codes.PEER_REFUSED, 'wrong code')
        self.keys = good
        self.sequence_number += 1


def compute_mac(key: bytes, number: int, frame: bytes) -> bytes:
    """Return the code over the number and the content of a frame."""
    keyed = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    keyed.update(number.to_bytes(NUMBER_BYTES, 'big'))
    keyed.update(frame)
    return keyed.digest()
