"""Callers' connections with bounds on the request head."""

import asyncio
import typing

from uvicorn.protocols.http import httptools_impl

from sapphirepaddle import codes
from sapphirepaddle.gateway import header_names
from sapphirepaddle.settings import entry

SCOPE_KEY: typing.Final = 'paddle.disconnect'
LIMITS: typing.Final = 'paddle_limits'
STATUS_LINES: typing.Final = {  # noqa: WPS407
    codes.HEAD_TOO_LARGE: b'431 Request Header Fields Too Large',
    codes.HEAD_TIMEOUT: b'408 Request Timeout',
}


class TaskCanceller:
    """Cancels the task that serves a request when its caller leaves.

    Attributes:
        task: The task to cancel, if it may be.
        fired: Whether the caller left.
    """

    def __init__(self) -> None:
        """Start without a task."""
        self.task: asyncio.Task[typing.Any] | None = None
        self.is_disconnected = False

    def cancel_task(self) -> None:
        """Cancel the task."""
        self.is_disconnected = True
        if self.task is not None:
            self.task.cancel()


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """The server library's protocol with bounds on head size and time.

    Attributes:
        limits: The bounds.
        head_bytes: Bytes of the head that is being read.
        reading_head: Whether a head is being read.
        in_body: Whether the body of a request is being read.
        discarded: Bytes of a body that came after its answer.
        head_timer: Ends a connection whose head takes too long.
        disconnect: Cancels the request that runs.
    """

    limits = entry.CallerLimits()

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Set up the bounds."""
        super().__init__(*args, **kwargs)
        self.head_bytes = 0
        self.reading_head = False
        self.is_reading_body = False
        self.discarded_bytes = 0
        self.head_timer: asyncio.TimerHandle | None = None
        self.disconnect = TaskCanceller()

    def connection_made(self, transport: typing.Any) -> None:
        """Start the time for the first head."""
        super().connection_made(transport)
        self.start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for a caller that left."""
        super().connection_lost(exc)
        self.stop_head_timer()
        if self.cycle is not None and not self.cycle.response_complete:
            self.disconnect.cancel_task()

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a head, then parse."""
        if self.parser is None or self.transport.is_closing():
            return
        if self.is_idle():
            self.reading_head = True
            self.start_head_timer()
        if self.reading_head:
            self.head_bytes += len(data)
        super().data_received(data)
        if self.reading_head and self.head_bytes > self.limits.head_bytes:
            self.refuse_head(codes.HEAD_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Take in a part of a body; discard it after the answer.

        A refusal is often sent before the body was read. The caller gets
        to read it, since the rest of the body is taken and dropped, up to
        the largest body.
        """
        super().on_body(body)
        if self.cycle.response_complete:
            self.discarded_bytes += len(body)
        if self.discarded_bytes > self.limits.body_bytes:
            self.transport.close()

    def on_message_complete(self) -> None:
        """End the body of a request."""
        super().on_message_complete()
        self.is_reading_body = False
        self.discarded_bytes = 0

    def is_idle(self) -> bool:
        """Tell whether no request is being read or served."""
        if self.reading_head or self.is_reading_body:
            return False
        return self.cycle is None or self.cycle.response_complete

    def on_message_begin(self) -> None:
        """Start a new head."""
        super().on_message_begin()
        self.reading_head = True

    def on_headers_complete(self) -> None:
        """End the bounds on the head and hand over the request."""
        self.reading_head = False
        self.is_reading_body = True
        self.head_bytes = 0
        self.stop_head_timer()
        self.disconnect = TaskCanceller()
        self.scope[SCOPE_KEY] = self.disconnect
        super().on_headers_complete()

    def start_head_timer(self) -> None:
        """Start the time for a head, unless it runs."""
        if self.head_timer is None:
            self.head_timer = self.loop.call_later(
                self.limits.head_seconds,
                self.on_head_timeout,
            )

    def stop_head_timer(self) -> None:
        """Stop the time for a head."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def on_head_timeout(self) -> None:
        """Refuse a head that took too long."""
        self.head_timer = None
        self.refuse_head(codes.HEAD_TIMEOUT)

    def refuse_head(self, code: codes.ResultCode) -> None:
        """Answer a head that is refused and close the connection."""
        if self.transport.is_closing():
            return
        head = b'HTTP/1.1 %b\r\n%b: %d\r\n%b: %b\r\n' % (
            STATUS_LINES[code],
            header_names.RESULT_CODE,
            code.number,
            header_names.RUN_STATEMENT,
            code.run_statement.encode(),
        )
        self.transport.write(
            b'%bcontent-length: 0\r\nconnection: close\r\n\r\n' % head,
        )
        self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, but not one that sends a head."""
        if not self.reading_head:
            super().timeout_keep_alive_handler()


def create_protocol_class(limits: entry.CallerLimits) -> type[CallerProtocol]:
    """Return the protocol class with these bounds."""
    return type('BoundedProtocol', (CallerProtocol,), {'limits': limits})
