"""The result of one attempt at a target."""

import dataclasses
import enum

from sapphirepaddle.proxy import http_message


class AttemptResultKind(enum.Enum):
    """What the result of an attempt says about the request.

    Attributes:
        ANSWERED: The target ran it and its answer can be passed on.
        FAILED: The target answered with a server error, which is passed on if
            no other target answers.
        NOT_RUN: It did not run and will not.
        LOST: It may have run, but there is no answer that can be trusted.
    """

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
        is_pause_stated: Whether the target asked for a pause.
    """

    kind: AttemptResultKind
    reason: str
    answer: http_message.ReceivedAnswer | None = None
    is_pause_stated: bool = False

    @property
    def final_answer(self) -> http_message.ReceivedAnswer | None:
        """The answer that ends the request; None if there is none."""
        if self.kind is AttemptResultKind.ANSWERED:
            return self.answer
        return None
