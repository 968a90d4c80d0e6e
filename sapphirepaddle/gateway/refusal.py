"""Answers sent to callers whose requests are refused."""

import typing

import orjson

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import answer, header_names

JSON_CONTENT_TYPE: typing.Final = b'application/json'


def render(error: errors.RefusedError, identifier: str) -> answer.Answer:
    """Return the answer to a refused request.

    Args:
        error: The error with the result code.
        identifier: Identifier of the request.
    """
    code = error.code
    body = orjson.dumps(
        {
            'code': code.number,
            'name': code.name,
            'run': code.run_statement,
            'text': code.text,
            'request': identifier,
        },
    )
    headers = [
        (header_names.CONTENT_TYPE, JSON_CONTENT_TYPE),
        (header_names.RESULT_CODE, b'%d' % code.number),
        (header_names.RUN_STATEMENT, code.run_statement.encode()),
    ]
    if error.retry_after:
        retry_seconds = b'%d' % max(1, round(error.retry_after))
        headers.append((b'retry-after', retry_seconds))
    return answer.Answer(http_status(code), headers, body)


def http_status(code: codes.ResultCode) -> int:
    """Return the HTTP status of a result code; 500 if it has none."""
    return code.http_status or DEFAULT_STATUS


DEFAULT_STATUS: typing.Final = 500
