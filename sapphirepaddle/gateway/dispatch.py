"""Running a request at targets, with retries where they are legal."""

import asyncio
import itertools
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import (
    answer,
    attempt,
    request_context,
    headers,
    retry_budget,
    target_client,
    request_progress,
)
from sapphirepaddle.objects import service
from sapphirepaddle.routing import result, routing_table, target_view
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

MILLISECONDS_PER_SECOND: typing.Final = 1000
MIN_SERVER_ERROR_STATUS: typing.Final = 500
EARLY_TIMEOUT_FACTOR: typing.Final = 2
STALL_FACTOR: typing.Final = 1.5
MIN_BASELINE_SAMPLES: typing.Final = 8

Fault = attempt.Fault


class Dispatcher:
    """Sends requests to targets.

    Attributes:
        settings: Thresholds and bounds.
        table: The services.
        counters: Totals for metrics.
        budget: Retries left by client account.
        clients: Client of each target by address.
        running: Attempts in flight.
        daemons: Daemons that share the connections of a target.
        prefix: Start of the identifiers of attempts.
        numbers: Numbers of attempts.
    """

    def __init__(
        self,
        settings: entry.RoutingSettings,
        services: routing_table.RoutingTable,
        totals: counters.Counters,
        prefix: str,
    ) -> None:
        """Start without clients."""
        self.settings = settings
        self.routing_table = services
        self.counters = totals
        self.retry_budget = retry_budget.RetryBudget(settings.retry_share)
        self.clients: dict[str, target_client.TargetClient] = {}
        self.attempts_in_flight: dict[
            int, request_progress.AttemptInFlight
        ] = {}
        self.daemon_count = 1
        self.identifier_prefix = prefix
        self.attempt_numbers = itertools.count(1)

    async def run(
        self, request: request_context.RequestContext
    ) -> answer.Answer:
        """Run a request at targets until one gives a whole answer.

        Raises:
            RefusedError: If none does; the code states whether the request
                may have run.
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
        """Make attempts until one gives a whole answer worth returning.

        Raises:
            RefusedError: If none does.
        """
        while True:
            try:
                received = await self.try_once(request, progress)
            except attempt.AttemptFailedError as error:
                self.check_may_retry(request, progress, error)
                continue
            if not self.should_retry_answer(request, progress, received):
                return received
            progress.last_error_answer = received

    def start_progress(
        self, request: request_context.RequestContext
    ) -> request_progress.RequestProgress:
        """Start the limits of a request.

        Raises:
            RefusedError: If its service is not there.
        """
        room = self.routing_table.queues.get(request.route.service)
        if room is None:
            raise errors.RefusedError(codes.NO_TARGET, request.route.service)
        now = clock.monotonic()
        wait_until = now + request.route.patience_ms / MILLISECONDS_PER_SECOND
        deadline = request.route.deadline_ms / MILLISECONDS_PER_SECOND
        return request_progress.RequestProgress(
            room, wait_until, wait_until + deadline
        )

    async def try_once(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ) -> answer.Answer:
        """Wait for a target and make one attempt there.

        Raises:
            AttemptFailedError: If it gave no whole answer.
            RefusedError: If there was no room in time.
        """
        chosen = await self.wait_for_target(request, progress)
        number = next(self.attempt_numbers)
        running = attempt.Attempt(f'{self.identifier_prefix}-{number}')
        pool = progress.queue.pool
        slow = pool.slow_threshold(request.route.name)
        started = clock.monotonic()
        self.attempts_in_flight[number] = request_progress.AttemptInFlight(
            chosen,
            started,
            started + slow * STALL_FACTOR,
        )
        seconds = self.attempt_timeout_seconds(request, progress, slow)
        try:
            received = await self.get_client(chosen, pool.service).send(
                target_client.OutgoingRequest(
                    request.head.method,
                    request.head.url,
                    headers.filter_request_headers(request.head),
                    request.body,
                    seconds,
                    running,
                ),
            )
        except attempt.AttemptFailedError as error:
            self.record_failure(number, progress, error)
            raise
        finally:
            progress.queue.release(chosen)
            self.attempts_in_flight.pop(number, None)
        self.record_answer(request, progress, received, chosen, started)
        return received

    async def wait_for_target(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ) -> target_view.TargetView:
        """Wait for a target with room.

        Raises:
            RefusedError: If there was none in time; the code keeps to the
                truth about earlier attempts.
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
        """Wait for a target; the key is checked again after the wait.

        Raises:
            RefusedError: If there is no room or the key was withdrawn.
        """
        patience = progress.wait_deadline - clock.monotonic()
        chosen = await progress.queue.acquire(
            request.account_name,
            request.weight,
            max(0, patience),
            progress.excluded_targets,
        )
        try:
            request_progress.check_before_send(request, progress)
        except errors.RefusedError:
            progress.queue.release(chosen)
            raise
        return chosen

    def attempt_timeout_seconds(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        slow: float,
    ) -> float:
        """Return the limit of one attempt.

        A read is cut early while it can still be tried elsewhere.
        """
        now = clock.monotonic()
        deadline = request.route.deadline_ms / MILLISECONDS_PER_SECOND
        remaining = min(deadline, progress.run_deadline - now)
        baseline = progress.queue.pool.baseline(request.route.name)
        usual = len(baseline.samples) >= MIN_BASELINE_SAMPLES
        last = progress.failed_attempts + 1 >= self.settings.attempts
        if usual and not last and request_progress.can_repeat(request):
            return min(remaining, slow * EARLY_TIMEOUT_FACTOR)
        return max(0, remaining)

    def get_client(
        self,
        chosen: target_view.TargetView,
        configured: service.Service,
    ) -> target_client.TargetClient:
        """Return the client of a target of a service."""
        place = chosen.target
        base = f'http://{place.address}:{place.port}'
        held = self.clients.get(base)
        if held is None:
            fair = configured.connections // max(1, self.daemon_count)
            held = target_client.TargetClient(
                base,
                self.settings.connect_seconds,
                max(fair, configured.slots),
                configured.echo,
            )
            self.clients[base] = held
        return held

    def record_failure(
        self,
        number: int,
        progress: request_progress.RequestProgress,
        error: attempt.AttemptFailedError,
    ) -> None:
        """Take a failed attempt as evidence, unless it was before."""
        running = self.attempts_in_flight[number]
        self.counters.add('attempt_faults', error.fault.value)
        if error.detail == attempt.DRAINING_DETAIL:
            running.target_view.record_draining(clock.monotonic())
            progress.queue.pool.refreshed = -1
        if error.fault is not Fault.REFUSED:
            progress.excluded_targets.add(running.target_view.target.name)
        if not running.is_recorded:
            running.target_view.record_result(
                request_progress.RESULTS_BY_FAULT[error.fault],
                clock.monotonic(),
            )

    def record_answer(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        received: answer.Answer,
        chosen: target_view.TargetView,
        started: float,
    ) -> None:
        """Take an answer as evidence."""
        now = clock.monotonic()
        seconds = now - started
        name = request.route.name
        slow = seconds > progress.queue.pool.slow_threshold(name)
        progress.queue.pool.baseline(name).add(seconds)
        seen = result.Result.SLOW if slow else result.Result.GOOD
        if received.status >= MIN_SERVER_ERROR_STATUS:
            seen = result.Result.ERROR
        chosen.record_result(seen, now)
        request_progress.record_load_hints(received, chosen, now)

    def record_stalls(self, now: float) -> None:
        """Note attempts in flight that take too long."""
        for running in self.attempts_in_flight.values():
            if now > running.stall_deadline and not running.is_recorded:
                running.is_recorded = True
                running.target_view.record_result(result.Result.STALL, now)

    def check_may_retry(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        error: attempt.AttemptFailedError,
    ) -> None:
        """Decide whether a failed request is tried again.

        Raises:
            RefusedError: If it is not.
        """
        if not error.not_run:
            progress.may_have_run = True
        legal = request.is_replayable and (
            error.not_run or request.route.idempotent
        )
        if error.fault is Fault.REFUSED and legal:
            return
        progress.failed_attempts += 1
        if not (legal and self.try_acquire_retry(request, progress)):
            raise request_progress.final_refusal(progress, error)

    def try_acquire_retry(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ) -> bool:
        """Tell whether bounds and budget leave another attempt."""
        if progress.failed_attempts >= self.settings.attempts:
            return False
        if clock.monotonic() >= progress.wait_deadline:
            return False
        return self.retry_budget.try_acquire(request.account_name)

    def should_retry_answer(
        self,
        request: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        received: answer.Answer,
    ) -> bool:
        """Tell whether an error answer to a read is tried elsewhere."""
        if (
            received.status < MIN_SERVER_ERROR_STATUS
            or received.stream is not None
        ):
            return False
        if not request_progress.can_repeat(request):
            return False
        progress.failed_attempts += 1
        progress.may_have_run = True
        return self.try_acquire_retry(request, progress)

    async def close(self) -> None:
        """Close the connections to all targets."""
        closing = (client.close() for client in self.clients.values())
        await asyncio.gather(*closing)
