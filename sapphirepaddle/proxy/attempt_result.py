"""What became of one attempt at a target."""

import dataclasses
import enum

from sapphirepaddle.proxy import http_message


class AttemptResultKind(enum.Enum):
    """What an attempt says about the request."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    NOT_RUN = 'not run'
    LOST = 'may have run'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt.

    Attributes:
        fate: What it says about the request.
        reason: What was met, for logs.
        received: The target's whole answer, if there is one to pass on.
    """

    kind: AttemptResultKind
    reason: str
    answer: http_message.ReceivedAnswer | None = None
