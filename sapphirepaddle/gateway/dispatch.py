"""Forwarding of requests to targets, with retries where they are safe."""

import asyncio
import itertools
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import (
    answer,
    attempt,
    headers,
    request_context,
    request_progress,
    retry_budget,
    target_client,
)
from sapphirepaddle.objects import service
from sapphirepaddle.routing import result, routing_table, target_view
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

MILLISECONDS_PER_SECOND: typing.Final = 1000
MIN_SERVER_ERROR_STATUS: typing.Final = 500
EARLY_TIMEOUT_FACTOR: typing.Final = 2
"""Timeout of an attempt that may still be retried, as a multiple of the time
from which an answer is slow."""
STALL_FACTOR: typing.Final = 1.5
"""Time after which an attempt in flight counts as stalled, as a multiple of the
time from which an answer is slow."""
MIN_BASELINE_SAMPLES: typing.Final = 8
"""Number of latencies of a route needed to shorten the timeout of attempts."""

Fault = attempt.Fault


class Dispatcher:
    """Sends requests to targets and records how the targets behave.

    Attributes:
        settings: Thresholds and limits.
        routing_table: Target pools and queues by service.
        counters: Counters for metrics.
        retry_budget: Limits the retries of each client account.
        clients: HTTP client of each target by base URL.
        attempts_in_flight: Attempts in flight by number.
        daemon_count: Number of daemons that share the connections of a
            target.
        identifier_prefix: Prefix of attempt identifiers.
        attempt_numbers: Generates the number of each attempt.
    """

    def __init__(
        self,
        settings: entry.RoutingSettings,
        table: routing_table.RoutingTable,
        totals: counters.Counters,
        identifier_prefix: str,
    ) -> None:
        """Initialize without connections to targets."""
        self.settings = settings
        self.routing_table = table
        self.counters = totals
        self.retry_budget = retry_budget.RetryBudget(settings.retry_share)
        self.clients: dict[str, target_client.TargetClient] = {}
        self.attempts_in_flight: dict[
            int, request_progress.AttemptInFlight
        ] = {}
        self.daemon_count = 1
        self.identifier_prefix = identifier_prefix
        self.attempt_numbers = itertools.count(1)

    async def run(
        self, request: request_context.RequestContext
    ) -> answer.Answer:
        """Run a request at targets until one yields a complete answer.

        If every attempt fails, the last error answer of a target, if any,
        is returned in place of a refusal.

        Raises:
            RefusedError: If there is no answer; the code states whether
                the request may have run.
        """
        progress = self.start_progress(request)
        self.retry_budget.record_request(request.account_name)
        try:
            return await self.run_attempts(request, progress)
        except errors.RefusedError:
            if progress.last_error_answer is None:
                raise
            return progress.last_error_answer

    async def run_attempts(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ) -> answer.Answer:
        """Make attempts until one yields an answer that is not retried.

        Raises:
            RefusedError: If no further attempt may be made.
        """
        while True:
            try:
                target_answer = await self.try_once(request, progress)
            except attempt.AttemptFailedError as error:
                self.check_may_retry(request, progress, error)
                continue
            if not self.should_retry_answer(request, progress, target_answer):
                return target_answer
            progress.last_error_answer = target_answer

    def start_progress(
        self, request: request_context.RequestContext
    ) -> request_progress.RequestProgress:
        """Return the initial progress of a request, with its deadlines.

        Raises:
            RefusedError: If its service is not configured.
        """
        queue = self.routing_table.queues.get(request.route.service)
        if queue is None:
            raise errors.RefusedError(codes.NO_TARGET, request.route.service)
        now = clock.monotonic()
        wait_deadline = (
            now + request.route.patience_ms / MILLISECONDS_PER_SECOND
        )
        run_seconds = request.route.deadline_ms / MILLISECONDS_PER_SECOND
        return request_progress.RequestProgress(
            queue, wait_deadline, wait_deadline + run_seconds
        )

    async def try_once(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ) -> answer.Answer:
        """Wait for a target and make one attempt there.

        Raises:
            AttemptFailedError: If the attempt yielded no complete answer.
            RefusedError: If no target had capacity in time.
        """
        view = await self.wait_for_target(request, progress)
        attempt_number = next(self.attempt_numbers)
        current_attempt = attempt.Attempt(
            f'{self.identifier_prefix}-{attempt_number}'
        )
        pool = progress.queue.pool
        slow_seconds = pool.slow_threshold(request.route.name)
        started_at = clock.monotonic()
        self.attempts_in_flight[attempt_number] = (
            request_progress.AttemptInFlight(
                view,
                started_at,
                started_at + slow_seconds * STALL_FACTOR,
            )
        )
        current_attempt.body_seconds = remaining_run_seconds(request, progress)
        timeout_seconds = self.attempt_timeout_seconds(
            request, progress, slow_seconds
        )
        try:
            target_answer = await self.get_client(view, pool.service).send(
                target_client.OutgoingRequest(
                    request.head.method,
                    request.head.url,
                    headers.filter_request_headers(request.head),
                    request.body,
                    timeout_seconds,
                    current_attempt,
                ),
            )
        except attempt.AttemptFailedError as error:
            self.record_failure(attempt_number, progress, error)
            raise
        finally:
            progress.queue.release(view)
            self.attempts_in_flight.pop(attempt_number, None)
        self.record_answer(request, progress, target_answer, view, started_at)
        return target_answer

    async def wait_for_target(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ) -> target_view.TargetView:
        """Wait for a target with capacity.

        Raises:
            RefusedError: If there was none in time. After an attempt that
                may have run the request, the code says so.
        """
        try:
            return await self.acquire_target(request, progress)
        except errors.RefusedError as error:
            if progress.may_have_run:
                raise errors.RefusedError(codes.ANSWER_BROKEN) from error
            raise

    async def acquire_target(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ) -> target_view.TargetView:
        """Wait for a target, then check key and deadline again.

        Raises:
            RefusedError: If no target had capacity in time, the key was
                withdrawn meanwhile or the deadline passed.
        """
        wait_seconds = progress.wait_deadline - clock.monotonic()
        view = await progress.queue.acquire(
            request.account_name,
            request.weight,
            max(0, wait_seconds),
            progress.excluded_targets,
        )
        try:
            request_progress.check_before_send(request, progress)
        except errors.RefusedError:
            progress.queue.release(view)
            raise
        return view

    def attempt_timeout_seconds(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        slow_seconds: float,
    ) -> float:
        """Return the timeout of one attempt in seconds.

        Once enough latencies of the route are known, a request that may be
        retried gets a shorter timeout on all but its last attempt, so that
        another target can still be tried.
        """
        remaining_seconds = remaining_run_seconds(request, progress)
        baseline = progress.queue.pool.baseline(request.route.name)
        has_baseline = len(baseline.samples) >= MIN_BASELINE_SAMPLES
        is_last_attempt = progress.failed_attempts + 1 >= self.settings.attempts
        if (
            has_baseline
            and not is_last_attempt
            and request_progress.can_repeat(request)
        ):
            return min(remaining_seconds, slow_seconds * EARLY_TIMEOUT_FACTOR)
        return max(0, remaining_seconds)

    def get_client(
        self,
        view: target_view.TargetView,
        target_service: service.Service,
    ) -> target_client.TargetClient:
        """Return the HTTP client of a target, created on first use.

        Its connection limit is this daemon's share of the connections that
        the target accepts from all, but at least the number of its slots.
        """
        target = view.target
        base_url = f'http://{target.address}:{target.port}'
        client = self.clients.get(base_url)
        if client is None:
            connection_share = target_service.connections // max(
                1, self.daemon_count
            )
            client = target_client.TargetClient(
                base_url,
                self.settings.connect_seconds,
                max(connection_share, target_service.slots),
                target_service.echo,
            )
            self.clients[base_url] = client
        return client

    def record_failure(
        self,
        attempt_number: int,
        progress: request_progress.RequestProgress,
        error: attempt.AttemptFailedError,
    ) -> None:
        """Count a failed attempt and record its result for the target.

        The result is not recorded if the attempt was already recorded as
        stalled. The request is not sent to the target again unless the
        target refused it.
        """
        in_flight = self.attempts_in_flight[attempt_number]
        self.counters.add('attempt_faults', error.fault.value)
        if error.detail == attempt.DRAINING_DETAIL:
            in_flight.target_view.record_draining(clock.monotonic())
            progress.queue.pool.refreshed_at = -1
        if error.fault is not Fault.REFUSED:
            progress.excluded_targets.add(in_flight.target_view.target.name)
        if not in_flight.is_stall_recorded:
            in_flight.target_view.record_result(
                request_progress.RESULTS_BY_FAULT[error.fault],
                clock.monotonic(),
            )

    def record_answer(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        target_answer: answer.Answer,
        view: target_view.TargetView,
        started_at: float,
    ) -> None:
        """Record latency, result and load hints of an answer."""
        now = clock.monotonic()
        latency_seconds = now - started_at
        route_name = request.route.name
        is_slow = latency_seconds > progress.queue.pool.slow_threshold(
            route_name
        )
        progress.queue.pool.baseline(route_name).add(latency_seconds)
        attempt_result = result.Result.SLOW if is_slow else result.Result.GOOD
        if target_answer.status >= MIN_SERVER_ERROR_STATUS:
            attempt_result = result.Result.ERROR
        view.record_result(attempt_result, now)
        request_progress.record_load_hints(target_answer, view, now)

    def record_stalls(self, now: float) -> None:
        """Record a stall for each attempt in flight past its stall deadline."""
        for in_flight in self.attempts_in_flight.values():
            if (
                now > in_flight.stall_deadline
                and not in_flight.is_stall_recorded
            ):
                in_flight.is_stall_recorded = True
                in_flight.target_view.record_result(result.Result.STALL, now)

    def check_may_retry(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        error: attempt.AttemptFailedError,
    ) -> None:
        """Check whether a request may be retried after a failed attempt.

        A retry is taken from the budget of the account. After a refusal by
        the target, the request is retried without counting a failed attempt
        or taking a retry from the budget.

        Raises:
            RefusedError: If the request may not be retried.
        """
        if not error.not_run:
            progress.may_have_run = True
        may_resend = request.is_replayable and (
            error.not_run or request.route.idempotent
        )
        if error.fault is Fault.REFUSED and may_resend:
            return
        progress.failed_attempts += 1
        if not (may_resend and self.try_acquire_retry(request, progress)):
            raise request_progress.final_refusal(progress, error)

    def try_acquire_retry(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ) -> bool:
        """Take a retry from the budget; return whether one is allowed."""
        if progress.failed_attempts >= self.settings.attempts:
            return False
        if clock.monotonic() >= progress.wait_deadline:
            return False
        return self.retry_budget.try_acquire(request.account_name)

    def should_retry_answer(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        target_answer: answer.Answer,
    ) -> bool:
        """Return whether a request is retried after a server error answer.

        If so, a retry is taken from the budget of the account.
        """
        if (
            target_answer.status < MIN_SERVER_ERROR_STATUS
            or target_answer.stream is not None
        ):
            return False
        if not request_progress.can_repeat(request):
            return False
        progress.failed_attempts += 1
        progress.may_have_run = True
        return self.try_acquire_retry(request, progress)

    async def close(self) -> None:
        """Close the connections to all targets."""
        close_calls = (client.close() for client in self.clients.values())
        await asyncio.gather(*close_calls)


def remaining_run_seconds(
    request: request_context.RequestContext,
    progress: request_progress.RequestProgress,
) -> float:
    """Return the seconds that are left for running a request."""
    run_seconds = request.route.deadline_ms / MILLISECONDS_PER_SECOND
    return min(run_seconds, progress.run_deadline - clock.monotonic())
