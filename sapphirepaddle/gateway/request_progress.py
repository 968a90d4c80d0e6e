"""What was tried for one request, and what it says of the target."""

import dataclasses
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import answer, attempt, request_context
from sapphirepaddle.routing import result, target_view, fair_queue

Fault = attempt.Fault

CODES_BY_FAULT: typing.Final[dict[Fault, codes.ResultCode]] = {  # noqa: WPS407
    Fault.UNREACHABLE: codes.TARGET_UNREACHABLE,
    Fault.REFUSED: codes.TARGET_REFUSED,
    Fault.TIMEOUT: codes.ANSWER_TIMEOUT,
    Fault.BROKEN: codes.ANSWER_BROKEN,
    Fault.CROSSED: codes.ANSWER_CROSSED,
}
RESULTS_BY_FAULT: typing.Final[dict[Fault, result.Result]] = {  # noqa: WPS407
    Fault.UNREACHABLE: result.Result.UNREACHABLE,
    Fault.REFUSED: result.Result.SHED,
    Fault.TIMEOUT: result.Result.STALL,
    Fault.BROKEN: result.Result.BROKEN,
    Fault.CROSSED: result.Result.BROKEN,
}


@dataclasses.dataclass(slots=True)
class AttemptInFlight:
    """One attempt in flight.

    Attributes:
        view: Its target.
        started: When it was sent.
        slow_at: When it counts as stalled.
        noted: Whether that was noted.
    """

    target_view: target_view.TargetView
    started_at: float
    stall_deadline: float
    is_recorded: bool = False


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """What was tried for one request.

    Attributes:
        room: Waiting room of the service.
        wait_until: End of the patience.
        run_until: End of the deadline.
        tries: Attempts that failed.
        excluded: Targets that failed.
        may_have_run: Whether an attempt may have run.
        last: Error answer of an attempt, passed on if nothing is better.
    """

    queue: fair_queue.FairQueue
    wait_deadline: float
    run_deadline: float
    failed_attempts: int = 0
    excluded_targets: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    last_error_answer: answer.Answer | None = None


def check_before_send(
    request: request_context.RequestContext, progress: RequestProgress
) -> None:
    """Check, just before a request is sent, that it still may be.

    A process that was paused finds its deadline passed here.

    Raises:
        RefusedError: If the key was withdrawn or the deadline passed.
    """
    request.recheck_access()
    if clock.monotonic() >= progress.run_deadline:
        raise errors.RefusedError(codes.WAIT_TIMEOUT, 'deadline passed')


def can_repeat(request: request_context.RequestContext) -> bool:
    """Tell whether a request may run more than once."""
    return request.route.idempotent and request.is_replayable


def final_refusal(
    progress: RequestProgress,
    error: attempt.AttemptFailedError,
) -> errors.RefusedError:
    """Return the truthful refusal after the last attempt."""
    code = CODES_BY_FAULT[error.fault]
    if progress.may_have_run and error.not_run:
        code = codes.ANSWER_BROKEN
    return errors.RefusedError(code, error.detail)


def record_load_hints(
    received: answer.Answer, chosen: target_view.TargetView, now: float
) -> None:
    """Take in what the answer says of the target's load and draining."""
    for name, value in received.headers:
        if name == b'x-load':
            chosen.record_load(parse_load(value))
        elif name == b'x-draining':
            chosen.record_draining(now)


def parse_load(value: bytes) -> float:
    """Read a reported load; a malformed one counts as none."""
    return int(value) if value.isdigit() else 0
