"""Structured logging as JSON lines."""

import typing

import orjson
import structlog

from sapphirepaddle.telemetry import writer

Fields = typing.MutableMapping[str, typing.Any]


def render_json(_logger: typing.Any, _name: str, fields: Fields) -> str:
    """Render the fields of one event as a JSON line."""
    return orjson.dumps(fields, default=str).decode()


def configure(vm: str) -> writer.LineWriter:
    """Configure structlog to write JSON lines to standard output.

    Args:
        vm: Name of the VM, added to every line.

    Returns:
        Writer of the lines; the caller closes it before the process ends.
    """
    line_writer = writer.stdout_writer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            render_json,
        ],
        logger_factory=lambda *_names: line_writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
    return line_writer


def get_logger(subject: str) -> typing.Any:
    """Return a logger that adds a subject to its lines."""
    return structlog.get_logger().bind(subject=subject)
