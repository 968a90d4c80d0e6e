"""Sends one request to targets: target choice, retries and hedging."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.proxy import (
    attempt,
    attempt_result,
    http_message,
    request_context,
    resend_policy,
    stop_deadline,
)
from sapphirepaddle.routing import candidate
from sapphirepaddle.telemetry import decisions

HEDGE_LATENCY_FACTOR: typing.Final = 3.0
"""Multiple of the typical latency after which a hedged attempt is started."""
HEDGE_OBJECTIVE_RATIO: typing.Final = 0.75
"""Part of the latency objective that passes before a hedged attempt at the
earliest."""
RETRY_AFTER_SECONDS: typing.Final = 0.5
"""Retry hint for callers when no target accepted a request; evidence and load
reports are updated by then."""
MAX_UNCOUNTED_PAUSE_SECONDS: typing.Final = 0.5
"""Longest pause after which a request is sent again without being counted again
in the retry budget."""
DEADLINE_MARGIN_SECONDS: typing.Final = 0.05
"""Time before the deadline within which a failure may be the target's own
timeout."""

AttemptResultKind = attempt_result.AttemptResultKind
TryAcquireRetry = abc.Callable[[str], bool]
RecordRetry = abc.Callable[[str], None]
OnSendStart = abc.Callable[[candidate.Candidate], None]
OnSendEnd = abc.Callable[[candidate.Candidate, bool], None]


def ignore_retry(_service: str) -> None:
    """Do nothing: by default delayed retries are not counted."""


class RetryingSender:
    """Sends requests to targets, with retries and hedging.

    Attributes:
        attempt_runner: Runs single attempts.
        try_acquire_retry: Takes a retry from the budget of a service and
            returns whether it is allowed.
        record_delayed_retry: Counts a retry of a service that is sent long
            after it was taken.
        on_send_start: Called when a request is sent to a target.
        on_send_end: Called when the attempt ends, with whether the result
            indicates a fault of the target.
        decisions: Log of decisions.
        stop_deadline: When the daemon ends the requests that still run.
    """

    def __init__(
        self,
        attempt_runner: attempt.AttemptRunner,
        try_acquire_retry: TryAcquireRetry,
        on_send_start: OnSendStart,
        on_send_end: OnSendEnd,
        decision_log: decisions.DecisionLog,
    ) -> None:
        """Initialize with the runner, the callbacks and the log."""
        self.attempt_runner = attempt_runner
        self.try_acquire_retry = try_acquire_retry
        self.record_delayed_retry: RecordRetry = ignore_retry
        self.on_send_start = on_send_start
        self.on_send_end = on_send_end
        self.decisions = decision_log
        self.stop_deadline = stop_deadline.StopDeadline()

    async def run(
        self, context: request_context.RequestContext
    ) -> http_message.ReceivedAnswer:
        """Send a request until a target answers it or the daemon stops.

        Returns:
            The answer to pass on, which may be a target's own failure.

        Raises:
            RefusedError: If there is none; its code states whether the
                request may have run.
        """
        running: set[asyncio.Task[attempt_result.AttemptResult]] = set()
        try:
            return await self.run_until_stopped(context, running)
        except errors.RefusedError:
            self.log_unanswered(context)
            raise
        finally:
            await cancel_attempts(running)

    async def run_until_stopped(
        self,
        context: request_context.RequestContext,
        running: set[asyncio.Task[attempt_result.AttemptResult]],
    ) -> http_message.ReceivedAnswer:
        """Send a request until it is answered or the daemon stops.

        Args:
            context: State of the request.
            running: Updated with the tasks of the running attempts.
        """
        try:
            async with self.stop_deadline.limit():
                return await self.run_until_answered(context, running)
        except TimeoutError:
            for result in await cancel_attempts(running):
                context.record_failure(result)
                if result.final_answer is not None:
                    return result.final_answer
            return answer_at_stop(context)

    async def run_until_answered(
        self,
        context: request_context.RequestContext,
        running: set[asyncio.Task[attempt_result.AttemptResult]],
    ) -> http_message.ReceivedAnswer:
        """Start attempts until one is answered.

        Args:
            context: State of the request.
            running: Updated with the tasks of the running attempts.
        """
        running.add(self.start(context))
        while running:
            done, _ = await asyncio.wait(
                running,
                timeout=self.hedge_timeout(context, running),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                running.remove(task)
                result = task.result()
                context.record_failure(result)
                if result.final_answer is not None:
                    return result.final_answer
            if await self.may_start(context, is_hedge=bool(running)):
                running.add(self.start(context))
            elif not done:
                await asyncio.wait(running)
        return final_answer(context)

    async def may_start(
        self, context: request_context.RequestContext, is_hedge: bool
    ) -> bool:
        """Return whether to start a further attempt, possibly after a wait."""
        if self.may_retry(context, is_hedge):
            return True
        return not is_hedge and await self.wait_for_room(context)

    async def wait_for_room(
        self, context: request_context.RequestContext
    ) -> bool:
        """Wait until a request that did not run may be sent again.

        Returns:
            Whether it may be sent; False without a wait if it cannot be
            answered before its deadline and the end of the daemon, or if no
            target may accept it.
        """
        targets = context.service_targets
        now = clock.monotonic()
        if context.may_have_run or not targets.may_have_room(now):
            return False
        pause_seconds = resend_policy.resend_pause(
            context.resend_count,
            min(
                context.remaining_seconds, self.stop_deadline.remaining_seconds
            ),
            targets.typical_seconds,
            context.route.latency_objective_seconds,
            targets.seconds_until_room(now),
            targets.rng,
        )
        if pause_seconds is None or not self.try_acquire_retry(context.service):
            return False
        self.decisions.log_decision(
            'wait',
            request=context.identifier,
            service=context.service,
            seconds=round(pause_seconds, 3),
            sends=context.send_count,
            left=round(context.remaining_seconds, 3),
        )
        await asyncio.sleep(pause_seconds)
        if pause_seconds > MAX_UNCOUNTED_PAUSE_SECONDS:
            self.record_delayed_retry(context.service)
        context.prepare_resend()
        return True

    def hedge_timeout(
        self,
        context: request_context.RequestContext,
        running: abc.Collection[typing.Any],
    ) -> float | None:
        """Return the seconds until a hedged attempt; None for no hedging."""
        if not context.route.is_idempotent or len(running) > 1:
            return None
        if context.is_attempt_limit_reached:
            return None
        return max(
            context.service_targets.typical_seconds * HEDGE_LATENCY_FACTOR,
            context.route.latency_objective_seconds * HEDGE_OBJECTIVE_RATIO,
        )

    def may_retry(
        self, context: request_context.RequestContext, is_hedge: bool
    ) -> bool:
        """Return whether a request may be sent once more.

        If nothing else prevents it, a retry is taken from the budget of the
        service.
        """
        if context.may_have_run or is_hedge:
            is_safe = context.route.is_idempotent
        else:
            is_safe = True
        if not is_safe or context.remaining_seconds <= 0:
            return False
        if context.is_attempt_limit_reached or not self.has_time(context):
            return False
        if not context.service_targets.has_alternative(
            context.tried_targets, clock.monotonic(), context.zones
        ):
            return False
        is_allowed = self.try_acquire_retry(context.service)
        self.decisions.log_decision(
            'repeat',
            request=context.identifier,
            service=context.service,
            allowed=is_allowed,
            hedge=is_hedge,
            sends=context.send_count,
            left=round(context.remaining_seconds, 3),
        )
        return is_allowed

    def has_time(self, context: request_context.RequestContext) -> bool:
        """Return whether a typical answer arrives before the daemon stops."""
        return (
            self.stop_deadline.remaining_seconds
            > context.service_targets.typical_seconds
        )

    def start(
        self, context: request_context.RequestContext
    ) -> asyncio.Task[attempt_result.AttemptResult]:
        """Start an attempt, which counts against the limit from now on."""
        context.connecting_count += 1
        return asyncio.create_task(self.run_attempt(context))

    async def run_attempt(
        self, context: request_context.RequestContext
    ) -> attempt_result.AttemptResult:
        """Connect to a target and send the request to it."""
        try:
            connect_result = await self.connect_to_target(context)
        finally:
            context.connecting_count -= 1
        if isinstance(connect_result, attempt_result.AttemptResult):
            return connect_result
        return await self.send(context, *connect_result)

    async def connect_to_target(
        self,
        context: request_context.RequestContext,
    ) -> tuple[candidate.Candidate, typing.Any] | attempt_result.AttemptResult:
        """Return a target with its connection, or the result if none."""
        while context.remaining_seconds > 0:
            now = clock.monotonic()
            target = context.service_targets.choose(
                context.tried_targets,
                context.cost_weights,
                now,
                context.zones,
            )
            if target is None:
                return attempt_result.AttemptResult(
                    AttemptResultKind.NOT_RUN, 'no target'
                )
            context.tried_targets.add(target.registration.name)
            self.log_choice(context, target, now)
            try:
                connection = await self.attempt_runner.connect(context, target)
            except errors.TargetError as error:
                self.record_unreachable(context, target, error)
                continue
            if context.service_targets.is_usable(target, clock.monotonic()):
                return target, connection
            connection.close()
            context.tried_targets.discard(target.registration.name)
        return attempt_result.AttemptResult(
            AttemptResultKind.NOT_RUN, 'deadline passed'
        )

    async def send(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        connection: typing.Any,
    ) -> attempt_result.AttemptResult:
        """Send the request to the chosen target and record the result."""
        context.send_count += 1
        context.sent_targets.add(target.registration.name)
        started_at = clock.monotonic()
        target.local_outstanding += 1
        target.record_request(started_at)
        self.on_send_start(target)
        is_bad = False
        try:
            result = await self.attempt_runner.send(context, target, connection)
            if result.kind is AttemptResultKind.NOT_RUN:
                context.refusal_count += 1
            is_bad = self.record_result(context, target, result, started_at)
        except asyncio.CancelledError:
            self.log_cancelled(context, target, started_at)
            raise
        finally:
            target.local_outstanding -= 1
            self.on_send_end(target, is_bad)
        return result

    def record_result(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        result: attempt_result.AttemptResult,
        started_at: float,
    ) -> bool:
        """Record the result of an attempt as evidence.

        A refusal indicates a fault only if the target had free slots and
        stated no pause. A failure reported by the target near the deadline
        says nothing: the request may just take long.

        Returns:
            Whether the result indicates a fault of the target.
        """
        now = clock.monotonic()
        seconds = now - started_at
        has_free_slots = target.outstanding(now) <= target.registration.slots
        is_bad = result.kind is AttemptResultKind.LOST or (
            result.kind is AttemptResultKind.FAILED
            and context.remaining_seconds > DEADLINE_MARGIN_SECONDS
        )
        if result.kind is AttemptResultKind.NOT_RUN:
            is_bad = has_free_slots and not result.is_pause_stated
        if is_bad or result.kind is AttemptResultKind.ANSWERED:
            target.record_answer(not is_bad, now)
        if result.kind is AttemptResultKind.ANSWERED:
            context.service_targets.record_latency(seconds)
        self.decisions.log_decision(
            'attempt',
            request=context.identifier,
            target=target.registration.name,
            fate=result.kind.value,
            reason=result.reason,
            seconds=round(seconds, 3),
            suspicion=round(target.target_estimator.fault_probability(now), 2),
            **origin_fields(result),
        )
        return is_bad

    def log_choice(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        now: float,
    ) -> None:
        """Log which target was chosen and on what evidence."""
        self.decisions.log_decision(
            'choice',
            request=context.identifier,
            target=target.registration.name,
            zone=target.registration.zone,
            suspicion=round(target.target_estimator.fault_probability(now), 2),
            path=round(target.path_failure_probability(now), 2),
            evidence_age=round(
                min(
                    now - target.target_estimator.updated_at,
                    NO_EVIDENCE_AGE_SECONDS,
                ),
                2,
            ),
            outstanding=target.outstanding(now),
            overdue=round(
                context.service_targets.overdue_seconds(target, now), 2
            ),
            candidates=len(context.service_targets.candidates),
            zone_reason=context.service_targets.zone_choice.last_reason,
        )

    def log_unanswered(self, context: request_context.RequestContext) -> None:
        """Log how often a request without an answer was sent and refused."""
        self.decisions.log_decision(
            'unanswered',
            request=context.identifier,
            service=context.service,
            sends=context.send_count,
            refusals=context.refusal_count,
            may_have_run=context.may_have_run,
        )

    def log_cancelled(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        started_at: float,
    ) -> None:
        """Log an attempt cancelled by another answer or a disconnect."""
        self.decisions.log_decision(
            'cut',
            request=context.identifier,
            target=target.registration.name,
            seconds=round(clock.monotonic() - started_at, 3),
        )

    def record_unreachable(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        error: errors.TargetError,
    ) -> None:
        """Record that a connection to a target failed."""
        target.record_path_fault(clock.monotonic())
        self.decisions.log_decision(
            'unreachable',
            request=context.identifier,
            target=target.registration.name,
            reason=error.detail,
        )


def origin_fields(
    result: attempt_result.AttemptResult,
) -> dict[str, int | bool]:
    """Return the log fields that tell how an answer arrived."""
    if result.origin is None:
        return {}
    return {
        'exchanges': result.origin.exchange_count,
        'skipped': result.origin.skipped_count,
        'identified': result.origin.is_identified,
    }


async def cancel_attempts(
    running: abc.Collection[asyncio.Task[attempt_result.AttemptResult]],
) -> list[attempt_result.AttemptResult]:
    """Cancel attempts and return the results of those that had ended."""
    for task in running:
        task.cancel()
    results = await asyncio.gather(*running, return_exceptions=True)
    return [
        result
        for result in results
        if isinstance(result, attempt_result.AttemptResult)
    ]


def answer_at_stop(
    context: request_context.RequestContext,
) -> http_message.ReceivedAnswer:
    """Return the answer to pass on when the daemon stops.

    Raises:
        RefusedError: If there is nothing to pass on.
    """
    if context.may_have_run and context.failure_answer is None:
        raise errors.RefusedError(codes.STOPPED_WAITING, context.service)
    return final_answer(context)


def final_answer(
    context: request_context.RequestContext,
) -> http_message.ReceivedAnswer:
    """Return the answer to pass on when no target answered.

    Raises:
        RefusedError: If there is nothing to pass on.
    """
    if context.failure_answer is not None:
        return context.failure_answer
    if not context.may_have_run:
        raise errors.RefusedError(
            codes.NO_TARGET,
            context.service,
            retry_after(context),
        )
    if context.remaining_seconds <= 0:
        raise errors.RefusedError(codes.ANSWER_TIMEOUT, context.service)
    raise errors.RefusedError(codes.ANSWER_BROKEN, context.service)


def retry_after(context: request_context.RequestContext) -> float:
    """Return the seconds after which a target may accept the request.

    If all targets are paused, it is when the first pause ends.
    """
    room_seconds = context.service_targets.seconds_until_room(clock.monotonic())
    return max(RETRY_AFTER_SECONDS, room_seconds)


NO_EVIDENCE_AGE_SECONDS: typing.Final = 999.0
"""Age in seconds that is logged when there is no evidence."""
