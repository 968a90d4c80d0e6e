"""One request and its answer on a caller's connection."""

import typing

import h11

from sapphirepaddle.gateway import answer

CLOSE: typing.Final = (b'Connection', b'close')
BODY_HEADERS: typing.Final = frozenset(
    (b'content-length', b'transfer-encoding'),
)
BODILESS_STATUSES: typing.Final = frozenset((204, 304))


class Exchange:
    """Reads one request and writes its answer.

    Every request of a connection has a parser of its own, so that a
    request can be read before the earlier ones are answered.

    Attributes:
        http: Parser and writer of this exchange.
        method: HTTP method of the request.
        body_bytes: Bytes of its body that are held.
    """

    def __init__(self, leftover: bytes, head_bytes: int) -> None:
        """Start with what was read behind the request before."""
        self.http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=head_bytes,
        )
        self.method = b''
        self.body_bytes = 0
        if leftover:
            self.http.receive_data(leftover)

    @property
    def leftover(self) -> bytes:
        """Return what was read behind this request."""
        return bytes(self.http.trailing_data[0])

    @property
    def is_ended(self) -> bool:
        """Tell whether the caller sends nothing behind this request."""
        return self.http.their_state in {
            h11.CLOSED,
            h11.MUST_CLOSE,
            h11.ERROR,
        }

    def render(self, given: answer.Answer, is_last: bool) -> bytes:
        """Return the bytes of the answer.

        Args:
            given: The answer.
            is_last: Whether the connection closes behind it.
        """
        headers = [
            header
            for header in given.headers
            if header[0].lower() not in BODY_HEADERS
        ]
        if given.status not in BODILESS_STATUSES:
            headers.append((b'Content-Length', self.length(given)))
        if is_last:
            headers.append(CLOSE)
        head = h11.Response(status_code=given.status, headers=headers)
        rendered = [self.http.send(head)]
        if self.method != b'HEAD' and given.status not in BODILESS_STATUSES:
            rendered.append(self.http.send(h11.Data(data=given.body)))
        rendered.append(self.http.send(h11.EndOfMessage()))
        return b''.join(filter(None, rendered))

    def length(self, given: answer.Answer) -> bytes:
        """Return the length of the body that is stated."""
        stated = dict(given.headers).get(b'content-length')
        if self.method == b'HEAD' and stated is not None:
            return stated
        return b'%d' % len(given.body)

    @property
    def must_close(self) -> bool:
        """Tell whether the connection closes behind the answer."""
        return self.http.our_state is not h11.DONE
