"""Progress of a request over its attempts."""

import dataclasses
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import answer, attempt, request_context
from sapphirepaddle.routing import fair_queue, result, target_view

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
    """An attempt that has no outcome yet; times are monotonic seconds.

    Attributes:
        target_view: The target that it was sent to.
        started_at: Time when it was sent.
        stall_deadline: Time from which it counts as stalled.
        is_recorded: Whether its stall was recorded for the target.
    """

    target_view: target_view.TargetView
    started_at: float
    stall_deadline: float
    is_stall_recorded: bool = False


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """Deadlines and failed attempts of a request.

    Attributes:
        queue: Queue of the service, where requests wait for a target.
        wait_deadline: Monotonic time until which the request may wait or
            be retried.
        run_deadline: Monotonic time until which the request may run.
        failed_attempts: Number of failed attempts.
        excluded_targets: Names of the targets that the request is not sent to
            again, as an attempt there failed.
        may_have_run: Whether an attempt may have run the request.
        last_error_answer: Last error answer of a target, returned if no
            later attempt succeeds.
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
    """Check key and deadline of a request just before it is sent.

    This also stops a request whose deadline passed while the process was
    paused.

    Raises:
        RefusedError: If the key was withdrawn or the deadline passed.
    """
    request.recheck_access()
    if clock.monotonic() >= progress.run_deadline:
        raise errors.RefusedError(
            codes.WAIT_TIMEOUT, 'deadline passed before sending'
        )


def can_repeat(request: request_context.RequestContext) -> bool:
    """Return whether a request may run more than once."""
    return request.route.idempotent and request.is_replayable


def final_refusal(
    progress: RequestProgress,
    error: attempt.AttemptFailedError,
) -> errors.RefusedError:
    """Return the refusal after the last attempt.

    If an earlier attempt may have run the request, the code says so, even
    if the last attempt did not run it.
    """
    code = CODES_BY_FAULT[error.fault]
    if progress.may_have_run and error.not_run:
        code = codes.ANSWER_BROKEN
    return errors.RefusedError(code, error.detail)


def record_load_hints(
    target_answer: answer.Answer, view: target_view.TargetView, now: float
) -> None:
    """Record the load and draining state in the headers of an answer."""
    for name, value in target_answer.headers:
        if name == b'x-load':
            view.record_load(parse_load(value))
        elif name == b'x-draining':
            view.record_draining(now)


def parse_load(value: bytes) -> float:
    """Return a reported load; 0 if it is malformed."""
    return int(value) if value.isdigit() else 0
