"""Handshake of two daemons on a new connection."""

import dataclasses
import secrets
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.peers import (
    codec,
    frame_authentication,
    messages,
    peer_connection,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity and credentials of a daemon.

    Attributes:
        vm: Name of the VM.
        zone: Name of its availability zone.
        incarnation: Identifies the process; increases with each start.
        peer_secrets: Shared secrets. Frames are signed with the first and
            accepted with any.
    """

    vm: str
    zone: str
    incarnation: int
    peer_secrets: abc.Sequence[str]


async def perform_handshake(
    connection: peer_connection.PeerConnection, identity: Identity
) -> None:
    """Exchange hellos and set up authentication.

    Args:
        connection: The new connection; its peer, signer and verifier are
            set.
        identity: Identity of this daemon.

    Raises:
        PeerError: If the first frame is not a hello of another VM, or
            cannot be received.
    """
    local_hello = messages.Hello(
        identity.vm,
        identity.zone,
        identity.incarnation,
        secrets.token_bytes(frame_authentication.NONCE_BYTES),
    )
    connection.send(codec.Frame(local_hello))
    frame = await connection.receive()
    peer_hello = frame.body
    if (
        not isinstance(peer_hello, messages.Hello)
        or peer_hello.vm == identity.vm
    ):
        raise errors.PeerError(
            codes.PEER_REFUSED, 'first frame is not a hello from another VM'
        )
    connection.peer = peer_hello
    connection.signer = frame_authentication.Signer(
        frame_authentication.direction_key(
            identity.peer_secrets[0], local_hello, peer_hello
        ),
    )
    connection.verifier = frame_authentication.Verifier(
        [
            frame_authentication.direction_key(secret, peer_hello, local_hello)
            for secret in identity.peer_secrets
        ],
    )
