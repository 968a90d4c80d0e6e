"""Running a request at targets, with retries where they are legal."""

import asyncio
import itertools
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import (
    answer,
    attempt,
    call,
    headers,
    retry_budget,
    target_client,
    tries,
)
from sapphirepaddle.objects import service
from sapphirepaddle.routing import result, routing_table, target_view
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

MILLISECONDS: typing.Final = 1000
SERVER_ERROR: typing.Final = 500
CUT_FACTOR: typing.Final = 2
STALL_FACTOR: typing.Final = 1.5
ENOUGH_SAMPLES: typing.Final = 8

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
        settings: entry.Routing,
        services: routing_table.RoutingTable,
        totals: counters.Counters,
        prefix: str,
    ) -> None:
        """Start without clients."""
        self.settings = settings
        self.table = services
        self.counters = totals
        self.budget = retry_budget.RetryBudget(settings.retry_share)
        self.clients: dict[str, target_client.TargetClient] = {}
        self.running: dict[int, tries.Running] = {}
        self.daemons = 1
        self.prefix = prefix
        self.numbers = itertools.count(1)

    async def run(self, request: call.Call) -> answer.Answer:
        """Run a request at targets until one gives a whole answer.

        Raises:
            RefusedError: If none does; the code states whether the request
                may have run.
        """
        progress = self.begin(request)
        self.budget.note_request(request.account_name)
        try:
            return await self.repeat(request, progress)
        except errors.RefusedError:
            if progress.last is None:
                raise
            return progress.last

    async def repeat(
        self,
        request: call.Call,
        progress: tries.Progress,
    ) -> answer.Answer:
        """Make attempts until one gives a whole answer worth returning.

        Raises:
            RefusedError: If none does.
        """
        while True:
            try:
                received = await self.try_once(request, progress)
            except attempt.AttemptFailedError as error:
                self.consider(request, progress, error)
                continue
            if not self.wants_better(request, progress, received):
                return received
            progress.last = received

    def begin(self, request: call.Call) -> tries.Progress:
        """Start the limits of a request.

        Raises:
            RefusedError: If its service is not there.
        """
        room = self.table.queues.get(request.route.service)
        if room is None:
            raise errors.RefusedError(codes.NO_TARGET, request.route.service)
        now = clock.monotonic()
        wait_until = now + request.route.patience_ms / MILLISECONDS
        deadline = request.route.deadline_ms / MILLISECONDS
        return tries.Progress(room, wait_until, wait_until + deadline)

    async def try_once(
        self,
        request: call.Call,
        progress: tries.Progress,
    ) -> answer.Answer:
        """Wait for a target and make one attempt there.

        Raises:
            AttemptFailedError: If it gave no whole answer.
            RefusedError: If there was no room in time.
        """
        chosen = await self.wait(request, progress)
        number = next(self.numbers)
        running = attempt.Attempt(f'{self.prefix}-{number}')
        pool = progress.room.pool
        slow = pool.slow_threshold(request.route.name)
        started = clock.monotonic()
        self.running[number] = tries.Running(
            chosen,
            started,
            started + slow * STALL_FACTOR,
        )
        seconds = self.attempt_seconds(request, progress, slow)
        try:
            received = await self.client(chosen, pool.service).send(
                target_client.Sending(
                    request.head.method,
                    request.head.url,
                    headers.forward(request.head),
                    request.body,
                    seconds,
                    running,
                ),
            )
        except attempt.AttemptFailedError as error:
            self.note_failure(number, progress, error)
            raise
        finally:
            progress.room.release(chosen)
            self.running.pop(number, None)
        self.note_answer(request, progress, received, chosen, started)
        return received

    async def wait(
        self, request: call.Call, progress: tries.Progress
    ) -> target_view.TargetView:
        """Wait for a target with room.

        Raises:
            RefusedError: If there was none in time; the code keeps to the
                truth about earlier attempts.
        """
        try:
            return await self.acquire(request, progress)
        except errors.RefusedError as error:
            if progress.may_have_run:
                raise errors.RefusedError(codes.ANSWER_BROKEN) from error
            raise

    async def acquire(
        self,
        request: call.Call,
        progress: tries.Progress,
    ) -> target_view.TargetView:
        """Wait for a target; the key is checked again after the wait.

        Raises:
            RefusedError: If there is no room or the key was withdrawn.
        """
        patience = progress.wait_until - clock.monotonic()
        chosen = await progress.room.acquire(
            request.account_name,
            request.weight,
            max(0, patience),
            progress.excluded,
        )
        try:
            tries.check_start(request, progress)
        except errors.RefusedError:
            progress.room.release(chosen)
            raise
        return chosen

    def attempt_seconds(
        self,
        request: call.Call,
        progress: tries.Progress,
        slow: float,
    ) -> float:
        """Return the limit of one attempt.

        A read is cut early while it can still be tried elsewhere.
        """
        now = clock.monotonic()
        deadline = request.route.deadline_ms / MILLISECONDS
        remaining = min(deadline, progress.run_until - now)
        baseline = progress.room.pool.baseline(request.route.name)
        usual = len(baseline.samples) >= ENOUGH_SAMPLES
        last = progress.tries + 1 >= self.settings.attempts
        if usual and not last and tries.can_repeat(request):
            return min(remaining, slow * CUT_FACTOR)
        return max(0, remaining)

    def client(
        self,
        chosen: target_view.TargetView,
        configured: service.Service,
    ) -> target_client.TargetClient:
        """Return the client of a target of a service."""
        place = chosen.target
        base = f'http://{place.address}:{place.port}'
        held = self.clients.get(base)
        if held is None:
            fair = configured.connections // max(1, self.daemons)
            held = target_client.TargetClient(
                base,
                self.settings.connect_seconds,
                max(fair, configured.slots),
                configured.echo,
            )
            self.clients[base] = held
        return held

    def note_failure(
        self,
        number: int,
        progress: tries.Progress,
        error: attempt.AttemptFailedError,
    ) -> None:
        """Take a failed attempt as evidence, unless it was before."""
        running = self.running[number]
        self.counters.add('attempt_faults', error.fault.value)
        if error.detail == attempt.DRAINING:
            running.view.record_draining(clock.monotonic())
            progress.room.pool.refreshed = -1
        if error.fault is not Fault.REFUSED:
            progress.excluded.add(running.view.target.name)
        if not running.noted:
            running.view.record_result(
                tries.RESULTS[error.fault], clock.monotonic()
            )

    def note_answer(
        self,
        request: call.Call,
        progress: tries.Progress,
        received: answer.Answer,
        chosen: target_view.TargetView,
        started: float,
    ) -> None:
        """Take an answer as evidence."""
        now = clock.monotonic()
        seconds = now - started
        name = request.route.name
        slow = seconds > progress.room.pool.slow_threshold(name)
        progress.room.pool.baseline(name).add(seconds)
        seen = result.Result.SLOW if slow else result.Result.GOOD
        if received.status >= SERVER_ERROR:
            seen = result.Result.ERROR
        chosen.record_result(seen, now)
        tries.note_hints(received, chosen, now)

    def note_stalls(self, now: float) -> None:
        """Note attempts in flight that take too long."""
        for running in self.running.values():
            if now > running.slow_at and not running.noted:
                running.noted = True
                running.view.record_result(result.Result.STALL, now)

    def consider(
        self,
        request: call.Call,
        progress: tries.Progress,
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
        progress.tries += 1
        if not (legal and self.may_retry(request, progress)):
            raise tries.refusal(progress, error)

    def may_retry(self, request: call.Call, progress: tries.Progress) -> bool:
        """Tell whether bounds and budget leave another attempt."""
        if progress.tries >= self.settings.attempts:
            return False
        if clock.monotonic() >= progress.wait_until:
            return False
        return self.budget.take(request.account_name)

    def wants_better(
        self,
        request: call.Call,
        progress: tries.Progress,
        received: answer.Answer,
    ) -> bool:
        """Tell whether an error answer to a read is tried elsewhere."""
        if received.status < SERVER_ERROR or received.stream is not None:
            return False
        if not tries.can_repeat(request):
            return False
        progress.tries += 1
        progress.may_have_run = True
        return self.may_retry(request, progress)

    async def close(self) -> None:
        """Close the connections to all targets."""
        closing = (client.close() for client in self.clients.values())
        await asyncio.gather(*closing)
