"""Answers to refused requests."""

import typing

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import answer
from sapphirepaddle.gateway import refusal as gateway_refusal
from sapphirepaddle.proxy import header_codec

CODE_BY_STATUS: typing.Final = {  # noqa: WPS407
    408: codes.HEAD_TIMEOUT,
    413: codes.BODY_TOO_LARGE,
    431: codes.HEAD_TOO_LARGE,
    503: codes.OVERLOADED,
}


def render(
    error: errors.RefusedError,
    codec_headers: header_codec.Headers,
) -> answer.Answer:
    """Return the answer for a refusal.

    Args:
        error: The refusal.
        codec_headers: Headers written by the header codec; they replace the
            usual retry-after header.
    """
    refusal_answer = gateway_refusal.render(error, '')
    headers = [
        header
        for header in refusal_answer.headers
        if header[0] != b'retry-after'
    ]
    return answer.Answer(
        refusal_answer.status, headers + codec_headers, refusal_answer.body
    )
