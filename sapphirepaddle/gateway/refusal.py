"""Answers that refuse a request."""

import typing

import orjson

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import answer, names

JSON: typing.Final = b'application/json'


def render(error: errors.RefusedError, identifier: str) -> answer.Answer:
    """Return the answer for a refusal.

    Args:
        error: The refusal.
        identifier: Identifier of the request.
    """
    code = error.code
    body = orjson.dumps(
        {
            'code': code.number,
            'name': code.name,
            'run': code.run,
            'text': code.text,
            'request': identifier,
        },
    )
    headers = [
        (names.CONTENT_TYPE, JSON),
        (names.RESULT, b'%d' % code.number),
        (names.RUN, code.run.encode()),
    ]
    if error.retry_after:
        seconds = b'%d' % max(1, round(error.retry_after))
        headers.append((b'retry-after', seconds))
    return answer.Answer(status(code), headers, body)


def status(code: codes.ResultCode) -> int:
    """Return the HTTP status of a code; 500 if it has none."""
    return code.status or UNSTATED


UNSTATED: typing.Final = 500
