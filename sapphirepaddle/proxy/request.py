"""A request as received from a caller."""

import dataclasses

from sapphirepaddle.proxy import header_codec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Headers as received, in order.
        host: Value of the Host header.
        body: The complete body.
        has_body: Whether the head announced a body, which may be empty.
        received_at: When its head was complete, on the monotonic clock.
    """

    method: bytes
    target: bytes
    headers: header_codec.Headers
    host: str
    body: bytes | bytearray
    has_body: bool
    received_at: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')
