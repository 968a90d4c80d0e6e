"""Reads whether an answer states that its request did not run; no I/O.

A status alone states nothing: a faulty target may answer with any status after
it ran the request.
"""

import enum

from sapphirepaddle.proxy import header_codec


class Refusal(enum.Enum):
    """How an answer states that the request did not run and will not.

    Attributes:
        REFUSED: A header of the answer says so.
        MISDIRECTED: It comes from another target than the request expects.
    """

    REFUSED = 'refused'
    MISDIRECTED = 'misdirected'


def read_refusal(
    metadata: header_codec.AnswerMetadata, target_name: str
) -> Refusal | None:
    """Return how an answer states that the request did not run.

    Args:
        metadata: Metadata of the answer, which belongs to the request.
        target_name: Name of the target that the request expects.

    Returns:
        The statement; None if there is none.
    """
    if metadata.is_misdirected and metadata.responder not in {'', target_name}:
        return Refusal.MISDIRECTED
    return Refusal.REFUSED if metadata.is_not_run else None
