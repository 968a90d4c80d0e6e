"""The result of one attempt at a target."""

import dataclasses
import enum

from sapphirepaddle.proxy import http_message


class AttemptResultKind(enum.Enum):
    """What the result of an attempt says about the request."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    NOT_RUN = 'not run'
    LOST = 'may have run'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt.

    Attributes:
        kind: What it says about the request.
        reason: Status or failure, for logs.
        answer: The target's complete answer if it can be passed on.
    """

    kind: AttemptResultKind
    reason: str
    answer: http_message.ReceivedAnswer | None = None
