"""Introduction of two daemons on a new connection."""

import dataclasses
import secrets
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.peers import (
    codec,
    peer_connection,
    messages,
    frame_authentication,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """How a daemon introduces itself.

    Attributes:
        vm: Name of the VM.
        zone: Name of its availability zone.
        incarnation: Start of the process; rises with each start.
        peer_secrets: Shared secrets; the first signs, all are accepted.
    """

    vm: str
    zone: str
    incarnation: int
    peer_secrets: abc.Sequence[str]


async def perform_handshake(
    opened: peer_connection.PeerConnection, own: Identity
) -> None:
    """Exchange hellos and set up authentication.

    Args:
        opened: The new connection; its peer, signer and verifier are set.
        own: How this daemon introduces itself.

    Raises:
        PeerError: If the other side does not introduce itself.
    """
    hello = messages.Hello(
        own.vm,
        own.zone,
        own.incarnation,
        secrets.token_bytes(frame_authentication.NONCE_BYTES),
    )
    opened.send(codec.Frame(hello))
    answer = await opened.receive()
    peer = answer.body
    if not isinstance(peer, messages.Hello) or peer.vm == own.vm:
        raise errors.PeerError(codes.PEER_REFUSED, 'no hello of another VM')
    opened.peer = peer
    opened.signer = frame_authentication.Signer(
        frame_authentication.direction_key(own.peer_secrets[0], hello, peer),
    )
    opened.verifier = frame_authentication.Verifier(
        [
            frame_authentication.direction_key(secret, peer, hello)
            for secret in own.peer_secrets
        ],
    )
