"""Message authentication for the frames of a peer connection.

Both sides send a random nonce in cleartext. A separate key for each direction
is derived from the nonces and the shared secret. Every later frame carries a
message authentication code (MAC) over its sequence number and content, so
that a forged, replayed or missing frame is detected. Frames are not encrypted,
as they contain no keys.
"""

import hashlib
import hmac
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.peers import messages

MAC_BYTES: typing.Final = 16
NONCE_BYTES: typing.Final = 16
SEQUENCE_NUMBER_BYTES: typing.Final = 8


def direction_key(
    secret: str,
    sender: messages.Hello,
    receiver: messages.Hello,
) -> bytes:
    """Derive the key for the frames from one side to the other."""
    parts = (sender.nonce, receiver.nonce, sender.vm, receiver.vm)
    salt = b'\0'.join(
        part.encode() if isinstance(part, str) else part.hex().encode()
        for part in parts
    )
    return hashlib.blake2b(salt, key=secret.encode()[:MAX_KEY_BYTES]).digest()


MAX_KEY_BYTES: typing.Final = hashlib.blake2b.MAX_KEY_SIZE
"""Bytes of the shared secret that are used; BLAKE2b accepts no longer key."""


class Signer:
    """Computes the MACs of the frames of one direction.

    Attributes:
        key: Key of the direction.
        sequence_number: Sequence number of the next frame.
    """

    def __init__(self, key: bytes) -> None:
        """Initialize with sequence number 0."""
        self.key = key
        self.sequence_number = 0

    def sign(self, frame: bytes) -> bytes:
        """Return the MAC of the next frame."""
        mac = compute_mac(self.key, self.sequence_number, frame)
        self.sequence_number += 1
        return mac


class Verifier:
    """Verifies the MACs of the frames of one direction.

    The first valid frame determines which of the accepted secrets the sender
    uses; only its key is accepted from then on.

    Attributes:
        keys: Keys that the sender may use.
        sequence_number: Sequence number of the next frame.
    """

    def __init__(self, keys: abc.Sequence[bytes]) -> None:
        """Initialize with sequence number 0."""
        self.keys = list(keys)
        self.sequence_number = 0

    def verify(self, mac: bytes, frame: bytes) -> None:
        """Verify the next frame.

        Raises:
            PeerError: If the MAC matches none of the accepted keys.
        """
        matching_keys = [
            key
            for key in self.keys
            if hmac.compare_digest(
                mac,
                compute_mac(key, self.sequence_number, frame),
            )
        ]
        if not matching_keys:
            raise errors.PeerError(
                codes.PEER_REFUSED, 'frame authentication failed'
            )
        self.keys = matching_keys
        self.sequence_number += 1


def compute_mac(key: bytes, sequence_number: int, frame: bytes) -> bytes:
    """Return the MAC over the sequence number and content of a frame."""
    hasher = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    hasher.update(sequence_number.to_bytes(SEQUENCE_NUMBER_BYTES, 'big'))
    hasher.update(frame)
    return hasher.digest()
