"""Records of a replay: results, executions and ejections."""

import dataclasses

from sapphirepaddle.replay import trace


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestResult:
    """The result of one request.

    Attributes:
        request: Request of the trace.
        identifier: Idempotency key, or `sending_id` if there is none;
            executions are counted by it.
        sending_id: Identifier of the sent request, unique over replays.
        at: Time of sending in seconds from the start of the trace.
        status: HTTP status; 0 if there was no complete response.
        code: Result code of a refusal; 0 for none.
        run_state: What a refusal states about the execution (X-Run).
        seconds: Time until the complete response.
        is_echoed: Whether the response belongs to this request.
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
    """One entry of a target's execution log.

    Attributes:
        identifier: Idempotency key, or `sending_id` if there is none.
        sending_id: Identifier of the executed request.
        account: Client account that the sender stated.
        at: Start in seconds from the start of the trace.
        saw_key: Whether the target received the key of an account.
    """

    identifier: str
    sending_id: str
    account: str
    at: float
    saw_key: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ejection:
    """One ejection in the audit log.

    Attributes:
        target: Name of the target.
        at: Seconds from the start of the trace.
    """

    target: str
    at: float
