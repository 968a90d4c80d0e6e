"""Running one request at targets: choice, repeats, the end."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.proxy import (
    attempt,
    request_context,
    http_message,
    attempt_result,
)
from sapphirepaddle.routing import candidate
from sapphirepaddle.telemetry import decisions

HEDGE_LATENCY_FACTOR: typing.Final = 3.0
"""Usual answer times after which a silent target is given company."""
HEDGE_OBJECTIVE_RATIO: typing.Final = 0.75
"""Part of the objective before which that does not happen."""
RETRY_AFTER_SECONDS: typing.Final = 0.5
"""Hint to callers when no target took a request; evidence and loads are
new by then."""

DEADLINE_MARGIN_SECONDS: typing.Final = 0.05
"""Time before the end within which a target gives up for lack of time."""

AttemptResultKind = attempt_result.AttemptResultKind
TryAcquireRetry = abc.Callable[[str], bool]
OnSendStart = abc.Callable[[candidate.Candidate], None]
OnSendEnd = abc.Callable[[candidate.Candidate, bool], None]


class RetryingSender:
    """Runs requests at targets.

    Attributes:
        attempts: Sends to one target.
        allow_repeat: Takes a repeat from the budget of a service.
        note_start: Called when a request was sent to a target.
        note_end: Called when it ended, with whether that speaks for a
            fault.
        decisions: Log of decisions.
    """

    def __init__(
        self,
        attempts: attempt.AttemptRunner,
        allow_repeat: TryAcquireRetry,
        note_start: OnSendStart,
        note_end: OnSendEnd,
        log: decisions.DecisionLog,
    ) -> None:
        """Store the parts."""
        self.attempt_runner = attempts
        self.try_acquire_retry = allow_repeat
        self.on_send_start = note_start
        self.on_send_end = note_end
        self.decisions = log

    async def run(
        self, wanted: request_context.RequestContext
    ) -> http_message.ReceivedAnswer:
        """Run a request until a target answers it.

        Returns:
            The answer to pass on, which may be a target's own failure.

        Raises:
            RefusedError: If there is none; its code tells the truth about
                whether the request may have run.
        """
        running: set[asyncio.Task[attempt_result.AttemptResult]] = set()
        try:
            return await self.run_until_answered(wanted, running)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def run_until_answered(
        self,
        wanted: request_context.RequestContext,
        running: set[asyncio.Task[attempt_result.AttemptResult]],
    ) -> http_message.ReceivedAnswer:
        """Start attempts until one is answered.

        Args:
            wanted: The request.
            running: Filled with the attempts that run.
        """
        running.add(self.start(wanted))
        while running:
            done, _ = await asyncio.wait(
                running,
                timeout=self.hedge_timeout(wanted, running),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                running.remove(task)
                seen = task.result()
                wanted.record_result(seen)
                if (
                    seen.kind is AttemptResultKind.ANSWERED
                    and seen.answer is not None
                ):
                    return seen.answer
            if self.may_retry(wanted, is_hedge=bool(running)):
                running.add(self.start(wanted))
            elif not done:
                await asyncio.wait(running)
        return final_answer(wanted)

    def hedge_timeout(
        self,
        wanted: request_context.RequestContext,
        running: abc.Collection[typing.Any],
    ) -> float | None:
        """Return the wait for an attempt before another is started."""
        if not wanted.route.is_idempotent or len(running) > 1:
            return None
        if wanted.is_attempt_limit_reached:
            return None
        return max(
            wanted.service_targets.typical_seconds * HEDGE_LATENCY_FACTOR,
            wanted.route.latency_objective_seconds * HEDGE_OBJECTIVE_RATIO,
        )

    def may_retry(
        self, wanted: request_context.RequestContext, is_hedge: bool
    ) -> bool:
        """Tell whether a request may be sent once more."""
        if wanted.may_have_run or is_hedge:
            legal = wanted.route.is_idempotent
        else:
            legal = True
        if not legal or wanted.remaining_seconds <= 0:
            return False
        if wanted.is_attempt_limit_reached:
            return False
        if not wanted.service_targets.has_alternative(wanted.tried_targets):
            return False
        allowed = self.try_acquire_retry(wanted.service)
        self.decisions.log_decision(
            'repeat',
            request=wanted.identifier,
            service=wanted.service,
            allowed=allowed,
            hedge=is_hedge,
            sends=wanted.send_count,
            left=round(wanted.remaining_seconds, 3),
        )
        return allowed

    def start(
        self, wanted: request_context.RequestContext
    ) -> asyncio.Task[attempt_result.AttemptResult]:
        """Start an attempt, which counts from now on."""
        wanted.connecting += 1
        return asyncio.create_task(self.run_attempt(wanted))

    async def run_attempt(
        self, wanted: request_context.RequestContext
    ) -> attempt_result.AttemptResult:
        """Choose a target that can be reached and send the request there."""
        try:
            reached = await self.connect_to_target(wanted)
        finally:
            wanted.connecting -= 1
        if isinstance(reached, attempt_result.AttemptResult):
            return reached
        return await self.send(wanted, *reached)

    async def connect_to_target(
        self,
        wanted: request_context.RequestContext,
    ) -> tuple[candidate.Candidate, typing.Any] | attempt_result.AttemptResult:
        """Return a target and a connection, or why there is none."""
        while wanted.remaining_seconds > 0:
            now = clock.monotonic()
            chosen = wanted.service_targets.choose(
                wanted.tried_targets,
                wanted.cost_weights,
                now,
            )
            if chosen is None:
                return attempt_result.AttemptResult(
                    AttemptResultKind.NOT_RUN, 'no target'
                )
            wanted.tried_targets.add(chosen.registration.name)
            self.log_choice(wanted, chosen, now)
            try:
                used = await self.attempt_runner.connect(wanted, chosen)
            except errors.TargetError as error:
                self.record_unreachable(wanted, chosen, error)
                continue
            return chosen, used
        return attempt_result.AttemptResult(
            AttemptResultKind.NOT_RUN, 'time is over'
        )

    async def send(
        self,
        wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
        used: typing.Any,
    ) -> attempt_result.AttemptResult:
        """Send the request to the chosen target and take in the result."""
        wanted.send_count += 1
        started = clock.monotonic()
        chosen.local_outstanding += 1
        chosen.record_request(started)
        self.on_send_start(chosen)
        is_bad = False
        try:
            seen = await self.attempt_runner.send(wanted, chosen, used)
            is_bad = self.record_result(wanted, chosen, seen, started)
        except asyncio.CancelledError:
            self.log_cancelled(wanted, chosen, started)
            raise
        finally:
            chosen.local_outstanding -= 1
            self.on_send_end(chosen, is_bad)
        return seen

    def record_result(
        self,
        wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
        seen: attempt_result.AttemptResult,
        started: float,
    ) -> bool:
        """Take the end of an attempt as evidence.

        A refusal speaks for a fault only if the target had room. A target's
        own word that the time is over says nothing: the request may just
        be long.

        Returns:
            Whether it speaks for a fault of the target.
        """
        now = clock.monotonic()
        seconds = now - started
        has_room = chosen.outstanding(now) <= chosen.registration.slots
        is_bad = seen.kind is AttemptResultKind.LOST or (
            seen.kind is AttemptResultKind.FAILED
            and wanted.remaining_seconds > DEADLINE_MARGIN_SECONDS
        )
        if seen.kind is AttemptResultKind.NOT_RUN:
            is_bad = has_room
        if is_bad or seen.kind is AttemptResultKind.ANSWERED:
            chosen.record_answer(not is_bad, now)
        if seen.kind is AttemptResultKind.ANSWERED:
            wanted.service_targets.record_latency(seconds)
        self.decisions.log_decision(
            'attempt',
            request=wanted.identifier,
            target=chosen.registration.name,
            fate=seen.kind.value,
            reason=seen.reason,
            seconds=round(seconds, 3),
            suspicion=round(chosen.target_estimator.fault_probability(now), 2),
        )
        return is_bad

    def log_choice(
        self,
        wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
        now: float,
    ) -> None:
        """Log which target was chosen and on what evidence."""
        self.decisions.log_decision(
            'choice',
            request=wanted.identifier,
            target=chosen.registration.name,
            zone=chosen.registration.zone,
            suspicion=round(chosen.target_estimator.fault_probability(now), 2),
            path=round(chosen.path_failure_probability(now), 2),
            evidence_age=round(
                min(
                    now - chosen.target_estimator.updated,
                    NO_EVIDENCE_AGE_SECONDS,
                ),
                2,
            ),
            outstanding=chosen.outstanding(now),
            overdue=round(
                wanted.service_targets.overdue_seconds(chosen, now), 2
            ),
            candidates=len(wanted.service_targets.candidates),
        )

    def log_cancelled(
        self,
        wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
        started: float,
    ) -> None:
        """Log that a send was cut: another answered or the caller left."""
        self.decisions.log_decision(
            'cut',
            request=wanted.identifier,
            target=chosen.registration.name,
            seconds=round(clock.monotonic() - started, 3),
        )

    def record_unreachable(
        self,
        wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
        error: errors.TargetError,
    ) -> None:
        """Take in that a target could not be reached."""
        chosen.record_path_fault(clock.monotonic())
        self.decisions.log_decision(
            'unreachable',
            request=wanted.identifier,
            target=chosen.registration.name,
            reason=error.detail,
        )


def final_answer(
    wanted: request_context.RequestContext,
) -> http_message.ReceivedAnswer:
    """Return the best that is left when no target answered.

    Raises:
        RefusedError: If there is nothing to pass on.
    """
    if wanted.failure_answer is not None:
        return wanted.failure_answer
    if not wanted.may_have_run:
        raise errors.RefusedError(
            codes.NO_TARGET,
            wanted.service,
            RETRY_AFTER_SECONDS,
        )
    if wanted.remaining_seconds <= 0:
        raise errors.RefusedError(codes.ANSWER_TIMEOUT, wanted.service)
    raise errors.RefusedError(codes.ANSWER_BROKEN, wanted.service)


NO_EVIDENCE_AGE_SECONDS: typing.Final = 999.0
"""Age that logs show for evidence that does not exist, in seconds."""
