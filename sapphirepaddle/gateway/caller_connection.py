"""Connections from callers, with limits on the request head."""

import asyncio
import typing
from collections import abc

from uvicorn.protocols.http import httptools_impl

from sapphirepaddle import codes
from sapphirepaddle.gateway import header_names
from sapphirepaddle.settings import entry

MAX_PIPELINED_REQUESTS: typing.Final = 64
"""Maximum number of requests that wait for earlier ones of a connection."""
CANCELLER_KEY: typing.Final = 'paddle.disconnect'
"""Key of the request's TaskCanceller in the ASGI scope."""

CHUNKED: typing.Final = b'chunked'
LIMITS: typing.Final = 'paddle_limits'
STATUS_LINES: typing.Final = {  # noqa: WPS407
    codes.HEAD_TOO_LARGE: b'431 Request Header Fields Too Large',
    codes.HEAD_TIMEOUT: b'408 Request Timeout',
}


class TaskCanceller:
    """Cancels the task that serves a request when its caller disconnects.

    Attributes:
        task: The task to cancel; None if the request must run to its end.
        is_disconnected: Whether the caller disconnected.
    """

    def __init__(self) -> None:
        """Initialize without a task to cancel."""
        self.task: asyncio.Task[typing.Any] | None = None
        self.is_disconnected = False

    def cancel_task(self) -> None:
        """Record the disconnect and cancel the task, if there is one."""
        self.is_disconnected = True
        if self.task is not None:
            self.task.cancel()


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """Uvicorn's HTTP protocol with limits on the size and time of heads.

    Uvicorn stops reading while a pipelined request waits, and would not notice
    that the caller has left. Here reading goes on; if too many requests wait,
    the rest of the input is discarded and the connection closes after those
    that were read.

    Attributes:
        limits: Size and time limits.
        head_bytes: Bytes received of the current request head.
        is_reading_head: Whether a request head is being received.
        is_reading_body: Whether a request body is being received.
        discarded_bytes: Bytes of a body received after its answer was sent.
        head_timer: Closes the connection if a head takes too long.
        cancellers: Cancel the requests whose answers may be incomplete on
            disconnect, each with the request, oldest first.
        is_discarding: Whether further requests are ignored.
    """

    limits = entry.CallerLimits()

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Initialize the protocol; arguments are passed to Uvicorn."""
        super().__init__(*args, **kwargs)
        self.head_bytes = 0
        self.is_reading_head = False
        self.is_reading_body = False
        self.discarded_bytes = 0
        self.head_timer: asyncio.TimerHandle | None = None
        self.cancellers: list[
            tuple[httptools_impl.RequestResponseCycle, TaskCanceller]
        ] = []
        self.is_discarding = False

    def connection_made(self, transport: typing.Any) -> None:
        """Start the timer of the first head."""
        super().connection_made(transport)
        self.start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests whose answers are incomplete."""
        super().connection_lost(exc)
        self.stop_head_timer()
        self.pipeline.clear()
        for cycle, canceller in self.cancellers:
            cycle.disconnected = True
            cycle.message_event.set()
            if not cycle.response_complete:
                canceller.cancel_task()

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a request head, then parse the data."""
        if self.parser is None or self.transport.is_closing():
            return
        if self.is_idle():
            self.is_reading_head = True
            self.start_head_timer()
        if self.is_reading_head:
            self.head_bytes += len(data)
        super().data_received(data)
        if self.is_reading_head and self.head_bytes > self.limits.head_bytes:
            self.refuse_head(codes.HEAD_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Process a part of a body; discard it if the answer was sent.

        A refusal is often sent before the body was read. The rest of the
        body is read and discarded, up to the largest allowed body, so that
        the caller can finish sending and then read the refusal.
        """
        if self.is_discarding:
            return
        super().on_body(body)
        if self.cycle.response_complete:
            self.discarded_bytes += len(body)
        if self.discarded_bytes > self.limits.body_bytes:
            self.transport.close()

    def on_message_complete(self) -> None:
        """Reset the state of the body at the end of a request."""
        if not self.is_discarding:
            super().on_message_complete()
        self.is_reading_body = False
        self.discarded_bytes = 0

    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        if self.is_reading_head or self.is_reading_body:
            return False
        return self.cycle is None or self.cycle.response_complete

    def on_message_begin(self) -> None:
        """Record the start of a request head."""
        super().on_message_begin()
        self.is_reading_head = True

    def on_headers_complete(self) -> None:
        """Stop limiting the head and start to serve the request."""
        self.is_reading_head = False
        self.is_reading_body = True
        self.head_bytes = 0
        self.stop_head_timer()
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            self.is_discarding = True
            self.cycle.keep_alive = False
        if self.is_discarding:
            return
        canceller = TaskCanceller()
        self.scope[CANCELLER_KEY] = canceller
        super().on_headers_complete()
        self.cancellers = [
            entry for entry in self.cancellers if not entry[0].response_complete
        ]
        self.cancellers.append((self.cycle, canceller))
        if has_unknown_coding(self.headers):
            # Another reader may place its end elsewhere.
            self.is_discarding = True
            self.cycle.keep_alive = False
        if self.pipeline:
            self.flow.resume_reading()

    def start_head_timer(self) -> None:
        """Start the timer of the head unless it is running."""
        if self.head_timer is None:
            self.head_timer = self.loop.call_later(
                self.limits.head_seconds,
                self.on_head_timeout,
            )

    def stop_head_timer(self) -> None:
        """Stop the timer of the head."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def on_head_timeout(self) -> None:
        """Refuse a head that did not arrive in time."""
        self.head_timer = None
        self.refuse_head(codes.HEAD_TIMEOUT)

    def refuse_head(self, code: codes.ResultCode) -> None:
        """Send the refusal of a request head and close the connection."""
        if self.transport.is_closing():
            return
        response_head = b'HTTP/1.1 %b\r\n%b: %d\r\n%b: %b\r\n' % (
            STATUS_LINES[code],
            header_names.RESULT_CODE,
            code.number,
            header_names.RUN_STATEMENT,
            code.run_statement.encode(),
        )
        self.transport.write(
            b'%bcontent-length: 0\r\nconnection: close\r\n\r\n' % response_head,
        )
        self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection unless a head is being received."""
        if not self.is_reading_head:
            super().timeout_keep_alive_handler()


def has_unknown_coding(headers: abc.Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a head states a transfer coding other than chunked."""
    return any(
        name == header_names.TRANSFER_ENCODING and coding.lower() != CHUNKED
        for name, coding in headers
    )


def create_protocol_class(limits: entry.CallerLimits) -> type[CallerProtocol]:
    """Return a protocol class with the given limits."""
    return type('BoundedProtocol', (CallerProtocol,), {'limits': limits})
