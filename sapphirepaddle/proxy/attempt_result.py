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
class AnswerOrigin:
    """How an answer arrived: evidence to which request it belongs.

    Attributes:
        exchange_count: Number of complete exchanges on its connection before.
        skipped_count: Number of answers to other requests that arrived before
            it, since the request was sent.
        is_identified: Whether it carries the identifier of the request.
    """

    exchange_count: int
    skipped_count: int
    is_identified: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt.

    Attributes:
        kind: What it says about the request.
        reason: Status or failure, for logs.
        answer: The target's complete answer if it can be passed on.
        is_pause_stated: Whether the target asked for a pause.
        origin: How the answer arrived; None if there was none.
    """

    kind: AttemptResultKind
    reason: str
    answer: http_message.ReceivedAnswer | None = None
    is_pause_stated: bool = False
    origin: AnswerOrigin | None = None

    @property
    def final_answer(self) -> http_message.ReceivedAnswer | None:
        """The answer that ends the request; None if there is none."""
        if self.kind is AttemptResultKind.ANSWERED:
            return self.answer
        return None
