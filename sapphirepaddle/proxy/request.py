"""A request as a caller sent it."""

import dataclasses

from sapphirepaddle.proxy import header_codec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A whole request.

    Attributes:
        method: HTTP method.
        target: Path and query as they were sent.
        headers: Headers as they were sent, in order.
        host: Value of the Host header.
        body: The whole body.
        has_body: Whether the head announced a body, perhaps an empty one.
        received: When its head was complete, on the monotonic clock.
    """

    method: bytes
    target: bytes
    headers: header_codec.Headers
    host: str
    body: bytes
    has_body: bool
    received_at: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')
