"""What became of the requests of a replay."""

import dataclasses

from sapphirepaddle.replay import trace


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestResult:
    """One request and its answer.

    Attributes:
        request: The request.
        identifier: Idempotency key or identifier of the sending; runs are
            counted by it.
        sending: Identifier of this sending.
        at: When it was sent, from the start of the trace.
        status: HTTP status; 0 if there was no whole answer.
        code: Result code of a refusal; 0 for none.
        run: What a refusal states about the run.
        seconds: Time to the whole answer.
        echoed: Whether the answer names this request.
    """

    request: trace.Request
    identifier: str
    sending_id: str
    at: float
    status: int
    code: int
    run_state: str
    seconds: float
    is_echoed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One run in a target's execution log.

    Attributes:
        identifier: Idempotency key or identifier of the sending.
        sending: Identifier of the sending that ran.
        account: Client account that the sender noted.
        at: Seconds from the start of the trace.
        saw_key: Whether the target saw a key.
    """

    identifier: str
    sending_id: str
    account: str
    at: float
    saw_key: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ejection:
    """One ejection in the audit trail.

    Attributes:
        target: Name of the target.
        at: Seconds from the start of the trace.
    """

    target: str
    at: float
