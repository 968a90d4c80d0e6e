"""Structured logs: JSON lines."""

import typing

import orjson
import structlog

from sapphirepaddle.telemetry import writer

Fields = typing.MutableMapping[str, typing.Any]


def render_json(_logger: typing.Any, _name: str, fields: Fields) -> str:
    """Render the fields of one event as a JSON line."""
    return orjson.dumps(fields, default=str).decode()


def configure(vm: str) -> writer.LineWriter:
    """Send log events of this process to standard output.

    Args:
        vm: Name of the VM, added to every line.

    Returns:
        The writer, to be closed at the end.
    """
    lines = writer.stdout_writer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            render_json,
        ],
        logger_factory=lambda *_names: lines,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
    return lines


def get_logger(subject: str) -> typing.Any:
    """Return a logger whose lines name a subject."""
    return structlog.get_logger().bind(subject=subject)
