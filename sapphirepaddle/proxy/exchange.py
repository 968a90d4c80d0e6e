"""One request and its answer on a caller's connection."""

import re
import typing

import h11

from sapphirepaddle.gateway import answer

CLOSE_HEADER: typing.Final = (b'Connection', b'close')
BODY_HEADERS: typing.Final = frozenset(
    (b'content-length', b'transfer-encoding'),
)
HEAD_END: typing.Final = re.compile(rb'\n\r?\n')
AMBIGUOUS_LINE: typing.Final = re.compile(rb'(?<!\r)\n|\r(?!\n)|\n[ \t]')
"""A bare LF or CR, or a line that continues the one before it."""
BODILESS_STATUSES: typing.Final = frozenset((204, 304))


class Exchange:
    """Parses one request and serializes its answer.

    Every request of a connection has a parser of its own, so that a
    request can be read before the earlier ones are answered.

    Attributes:
        http: Parser and serializer of this exchange.
        method: HTTP method of the request.
        raw_head: What was received while the head was incomplete, with what
            followed it in the same read; empty once the head was checked.
        has_head: Whether the head was checked.
        held_bytes: Number of bytes of the request, head and body, that count
            against the memory budget.
    """

    def __init__(self, leftover: bytes, head_bytes: int) -> None:
        """Initialize with the bytes that followed the previous request."""
        self.http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=head_bytes,
        )
        self.method = b''
        self.raw_head = bytearray()
        self.has_head = False
        self.held_bytes = 0
        if leftover:
            self.receive_data(leftover)

    def receive_data(self, received: bytes) -> None:
        """Pass data to the parser, and keep that of the head."""
        if not self.has_head:
            self.raw_head += received
        self.http.receive_data(received)

    def check_framing(self, head: h11.Request) -> None:
        """Check that no other reader may place the end of a request elsewhere.

        The parser joins folded lines, takes a bare LF for the end of a line,
        and reads chunks where a length is stated too, or in HTTP/1.0
        (RFC 9112, sections 2.2, 5.2 and 6.1).

        Raises:
            RemoteProtocolError: If one may.
        """
        end = HEAD_END.search(self.raw_head)
        has_odd_line = AMBIGUOUS_LINE.search(
            self.raw_head, 0, end.end() if end else len(self.raw_head)
        )
        self.has_head = True
        self.raw_head = bytearray()
        if has_odd_line:
            raise h11.RemoteProtocolError('ambiguous end of a line')
        names = {name for name, _ in head.headers}
        if names >= BODY_HEADERS:
            raise h11.RemoteProtocolError('both a length and chunks')
        if b'transfer-encoding' in names and head.http_version < b'1.1':
            raise h11.RemoteProtocolError('chunks in HTTP/1.0')

    @property
    def leftover(self) -> bytes:
        """Return the bytes that followed this request."""
        return bytes(self.http.trailing_data[0])

    def take_leftover(self) -> bytes:
        """Return the bytes that followed this request and forget them.

        The parser, which is kept until the answer is sent, would hold them for
        each of the pipelined requests.
        """
        leftover = self.leftover
        parser_buffer = self.http._receive_buffer  # noqa: SLF001, WPS437
        parser_buffer.maybe_extract_at_most(len(leftover))
        return leftover

    @property
    def is_ended(self) -> bool:
        """Return whether the caller sends no further request."""
        return self.http.their_state in {
            h11.CLOSED,
            h11.MUST_CLOSE,
            h11.ERROR,
        }

    def render(
        self, caller_answer: answer.Answer, is_last: bool
    ) -> tuple[bytes, bytes]:
        """Return the serialized head of an answer and its body.

        The body, which the head states the length of, is sent as it is.

        Args:
            caller_answer: The answer.
            is_last: Whether the connection closes after it.
        """
        headers = [
            header
            for header in caller_answer.headers
            if header[0].lower() not in BODY_HEADERS
        ]
        if caller_answer.status not in BODILESS_STATUSES:
            headers.append(
                (b'Content-Length', self.content_length(caller_answer))
            )
        if is_last:
            headers.append(CLOSE_HEADER)
        head = h11.Response(status_code=caller_answer.status, headers=headers)
        rendered = self.http.send(head) or b''
        body = b''
        if (
            self.method != b'HEAD'
            and caller_answer.status not in BODILESS_STATUSES
        ):
            body = caller_answer.body
            self.http.send_with_data_passthrough(h11.Data(data=body))
        self.http.send(h11.EndOfMessage())
        return rendered, body

    def content_length(self, caller_answer: answer.Answer) -> bytes:
        """Return the value of the answer's Content-Length header.

        The answer to HEAD keeps the length that the target stated.
        """
        stated_length = dict(caller_answer.headers).get(b'content-length')
        if self.method == b'HEAD' and stated_length is not None:
            return stated_length
        return b'%d' % len(caller_answer.body)

    @property
    def must_close(self) -> bool:
        """Return whether the connection has to close after the answer."""
        return self.http.our_state is not h11.DONE
