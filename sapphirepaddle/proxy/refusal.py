"""Answers that refuse a request."""

import typing

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import answer
from sapphirepaddle.gateway import refusal as own_interface
from sapphirepaddle.proxy import header_codec

CODE_BY_STATUS: typing.Final = {  # noqa: WPS407
    408: codes.HEAD_TIMEOUT,
    413: codes.BODY_TOO_LARGE,
    431: codes.HEAD_TOO_LARGE,
    503: codes.OVERLOADED,
}


def render(
    error: errors.RefusedError,
    marks: header_codec.Headers,
) -> answer.Answer:
    """Return the answer for a refusal.

    Args:
        error: The refusal.
        marks: Headers of the callers' dialect.
    """
    given = own_interface.render(error, '')
    kept = [held for held in given.headers if held[0] != b'retry-after']
    return answer.Answer(given.status, kept + marks, given.body)
