"""Reads whether an answer states that its request did not run; no I/O.

A status alone states nothing: a faulty target may answer with any status after
it ran the request.
"""

import enum
import http
import typing

from sapphirepaddle.proxy import header_codec

SUCCESS_STATUSES: typing.Final = range(
    http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES
)


class Refusal(enum.Enum):
    """How an answer states that the request did not run and will not.

    Attributes:
        REFUSED: A header of the answer says so.
        MISDIRECTED: It comes from another target than the request expects.
    """

    REFUSED = 'refused'
    MISDIRECTED = 'misdirected'


def read_refusal(
    metadata: header_codec.AnswerMetadata, status: int, target_name: str
) -> Refusal | None:
    """Return how an answer states that the request did not run.

    Args:
        metadata: Metadata of the answer, which belongs to the request.
        status: Its status.
        target_name: Name of the target that the request expects.

    Returns:
        The statement; None if there is none, or if the answer contradicts it
        by a success or the stamp of a target that ran the request.
    """
    if metadata.has_response_stamp or status in SUCCESS_STATUSES:
        return None
    if metadata.is_misdirected and metadata.responder not in {'', target_name}:
        return Refusal.MISDIRECTED
    return Refusal.REFUSED if metadata.is_not_run else None
