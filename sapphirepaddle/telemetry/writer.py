"""Writing of log lines without blocking the event loop."""

import contextlib
import queue
import sys
import threading
import typing

MAX_QUEUED_LINES: typing.Final = 10000
FLUSH_TIMEOUT_SECONDS: typing.Final = 2


class LineWriter:
    """Writes lines to a stream in a background thread.

    If the queue is full, lines are dropped and counted, so that a blocked
    stream never blocks a request.

    Attributes:
        stream: Stream that lines are written to.
        pending_lines: Queue of lines to write; None ends the thread.
        dropped_lines: Number of lines dropped.
        reported_dropped_lines: Number of dropped lines that were reported in
            the log.
        is_broken: Whether writing failed and the thread ended.
        thread: Background thread.
    """

    def __init__(self, stream: typing.TextIO) -> None:
        """Start the thread."""
        self.stream = stream
        self.pending_lines: queue.Queue[str | None] = queue.Queue(
            MAX_QUEUED_LINES
        )
        self.dropped_lines = 0
        self.reported_dropped_lines = 0
        self.is_broken = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def msg(self, message: str) -> None:
        """Queue a line; structlog calls this method by its name."""
        try:
            self.pending_lines.put_nowait(message)
        except queue.Full:
            self.dropped_lines += 1

    def run(self) -> None:
        """Write lines until None is queued or the stream fails."""
        try:
            for line in iter(self.pending_lines.get, None):
                self.write(line)
        except OSError:
            self.is_broken = True

    def write(self, line: str) -> None:
        """Write a line, preceded by the number of newly dropped lines."""
        if self.dropped_lines > self.reported_dropped_lines:
            count = self.dropped_lines - self.reported_dropped_lines
            self.reported_dropped_lines += count
            self.stream.write(f'{{"event":"lines dropped","count":{count}}}\n')
        self.stream.write(f'{line}\n')
        if self.pending_lines.empty():
            self.stream.flush()

    def close(self) -> None:
        """Write the queued lines and end the thread.

        Waits at most FLUSH_TIMEOUT_SECONDS.
        """
        with contextlib.suppress(queue.Full):
            self.pending_lines.put_nowait(None)
        self.thread.join(FLUSH_TIMEOUT_SECONDS)

    info = msg  # noqa: WPS115
    warning = msg  # noqa: WPS115
    error = msg  # noqa: WPS115
    debug = msg  # noqa: WPS115
    exception = msg  # noqa: WPS115


def stdout_writer() -> LineWriter:
    """Return a writer to standard output."""
    return LineWriter(sys.stdout)
