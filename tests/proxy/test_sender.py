"""Tests of the attempts of one request at several targets."""

import asyncio
import dataclasses
import random
import sys
import typing
import unittest
from unittest import mock

from sapphirepaddle import clock, codes
from sapphirepaddle.directory import route
from sapphirepaddle.proxy import (
    attempt_result,
    request,
    request_context,
    resend_policy,
    sender,
)
from sapphirepaddle.routing import candidate, cost_weights, service_targets
from sapphirepaddle.telemetry import counters, decisions
from tests.routing import test_service_targets

OBJECTIVE_SECONDS = 0.02
"""Latency objective of the route; it is short so that hedging starts early."""


class SlowAttempts:
    """Attempts with slow connections that all fail.

    Attributes:
        connect_seconds: Seconds that each connection takes to open, in order.
        sent: Names of the targets that got the request.
    """

    def __init__(self, connect_seconds: list[float]) -> None:
        """Initialize without attempts."""
        self.connect_seconds = connect_seconds
        self.sent: list[str] = []

    async def connect(
        self, _context: request_context.RequestContext, _target: object
    ) -> None:
        """Open a connection."""
        await asyncio.sleep(self.connect_seconds.pop(0))

    async def send(
        self,
        _context: request_context.RequestContext,
        target: candidate.Candidate,
        _connection: object,
    ) -> attempt_result.AttemptResult:
        """Fail a request at once."""
        self.sent.append(target.registration.name)
        return attempt_result.AttemptResult(
            attempt_result.AttemptResultKind.LOST, 'broken'
        )


class LeavingWhileConnecting(SlowAttempts):
    """Attempts whose first target leaves while the connection opens.

    Attributes:
        leave: Called with the first target.
        left: Name of the first target.
        closed_connections: Number of connections closed unused.
    """

    def __init__(
        self, leave: typing.Callable[[candidate.Candidate], None]
    ) -> None:
        """Initialize without attempts."""
        super().__init__([])
        self.leave = leave
        self.left = ''
        self.closed_connections = 0

    async def connect(
        self, _context: request_context.RequestContext, target: object
    ) -> mock.Mock:
        """Open a connection; the first target leaves meanwhile."""
        assert isinstance(target, candidate.Candidate)
        if not self.left:
            self.left = target.registration.name
            self.leave(target)
        connection = mock.Mock()
        connection.close = self.record_close
        return connection

    def record_close(self) -> None:
        """Record that a connection was closed."""
        self.closed_connections += 1


class SenderCase(unittest.IsolatedAsyncioTestCase):
    """A test that sends one request to several targets."""

    def build_context(self) -> request_context.RequestContext:
        """Return the state of a new request."""
        targets = service_targets.ServiceTargets('a', random.Random(1))
        for number in range(4):
            registration = test_service_targets.registered(f't-{number}')
            targets.apply_registration(registration, clock.monotonic())
        return request_context.RequestContext(
            identifier='r1',
            request=request.Request(
                method=b'GET',
                target=b'/x',
                headers=[],
                host='host',
                body=b'',
                has_body=False,
                received_at=clock.monotonic(),
            ),
            route=route.Route(
                name='reads',
                host='host',
                prefix='/',
                weighted_services=(route.WeightedService('reads', 1),),
                is_idempotent=True,
                timeout_seconds=2,
                latency_objective_seconds=OBJECTIVE_SECONDS,
                priority=1,
                attempts=2,
                is_auth_exempt=True,
            ),
            account=None,
            service='reads',
            service_targets=targets,
            cost_weights=cost_weights.CostWeights(
                objective_seconds=OBJECTIVE_SECONDS, failure=1
            ),
            deadline=clock.monotonic() + 2,
        )

    async def run_attempts(
        self,
        attempt_runner: SlowAttempts,
        context: request_context.RequestContext,
    ) -> list[str]:
        """Return the targets that got a request."""
        with self.assertRaises(sender.errors.RefusedError):
            await self.build_sender(attempt_runner).run(context)
        return attempt_runner.sent

    def build_sender(
        self, attempt_runner: SlowAttempts
    ) -> sender.RetryingSender:
        """Return a sender whose retries are all allowed."""
        return sender.RetryingSender(
            typing.cast(typing.Any, attempt_runner),
            lambda _service: True,
            lambda _target: None,
            lambda _target, _is_bad: None,
            decisions.DecisionLog(counters.Counters()),
        )


class TestAttemptLimit(SenderCase):
    """A route that allows two attempts must not send a request to a third.

    An attempt that is still connecting counts: a hedged attempt that starts
    meanwhile could otherwise exceed the limit.
    """

    async def run_with(self, connect_seconds: list[float]) -> list[str]:
        """Return the targets that got a request."""
        return await self.run_attempts(
            SlowAttempts(connect_seconds), self.build_context()
        )

    async def test_both_attempts_are_used(self) -> None:
        self.assertEqual(len(await self.run_with([0, 0, 0])), 2)

    async def test_attempt_that_still_connects_counts(self) -> None:
        sent = await self.run_with([0.1, 0.4, 0, 0])
        self.assertEqual(len(sent), 2)


class TestLeavingTargets(SenderCase):
    """A request must not be sent to a target that left while it connected."""

    async def check(
        self,
        context: request_context.RequestContext,
        leave: typing.Callable[[candidate.Candidate], None],
    ) -> None:
        """Run a request whose first target leaves, and check where it went."""
        attempt_runner = LeavingWhileConnecting(leave)
        sent = await self.run_attempts(attempt_runner, context)
        self.assertNotIn(attempt_runner.left, sent)
        self.assertEqual(len(sent), 2)
        self.assertEqual(attempt_runner.closed_connections, 1)

    async def test_target_removed_while_connecting(self) -> None:
        context = self.build_context()
        await self.check(
            context,
            lambda target: context.service_targets.remove(
                target.registration.name
            ),
        )

    async def test_target_paused_while_connecting(self) -> None:
        context = self.build_context()
        await self.check(
            context, lambda target: target.record_pause(30, clock.monotonic())
        )

    async def test_leaving_target_passes_its_bound_while_connecting(
        self,
    ) -> None:
        context = self.build_context()
        await self.check(
            context,
            lambda target: context.service_targets.record_leaving(
                target, clock.monotonic()
            ),
        )

    async def test_target_draining_while_connecting(self) -> None:
        context = self.build_context()
        await self.check(
            context,
            lambda target: context.service_targets.apply_registration(
                dataclasses.replace(target.registration, is_draining=True),
                clock.monotonic(),
            ),
        )


class RefusingAttempts(SlowAttempts):
    """Attempts that targets turn away until one has room.

    Attributes:
        room_after: Number of sendings before the first that is accepted.
        connected: Names of the targets connected to, with whether the request
            had been sent there before.
    """

    def __init__(self, room_after: int) -> None:
        """Initialize without attempts."""
        super().__init__([])
        self.room_after = room_after
        self.connected: list[tuple[str, bool]] = []

    async def connect(
        self, context: request_context.RequestContext, target: object
    ) -> None:
        """Open a connection."""
        assert isinstance(target, candidate.Candidate)
        name = target.registration.name
        self.connected.append((name, name in context.sent_targets))

    async def send(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        connection: object,
    ) -> attempt_result.AttemptResult:
        """Turn a request away, or lose its answer once there is room."""
        if len(self.sent) >= self.room_after:
            return await super().send(context, target, connection)
        self.sent.append(target.registration.name)
        return attempt_result.AttemptResult(
            attempt_result.AttemptResultKind.NOT_RUN, 'refused 503'
        )


class TestTurnedAway(SenderCase):
    """A request turned away at all its targets is sent again after a pause.

    It goes to no further target than the route allows, and only while none
    may have run it.
    """

    async def asyncSetUp(self) -> None:
        """Allow pauses of the length that real objectives allow."""
        self.enterContext(
            mock.patch.object(sys.modules[__name__], 'OBJECTIVE_SECONDS', 1)
        )

    async def test_sent_again_to_the_same_targets(self) -> None:
        attempts = RefusingAttempts(room_after=3)
        context = self.build_context()
        sent = await self.run_attempts(attempts, context)
        self.assertEqual(len(sent), 4)
        self.assertEqual(len(set(sent)), context.route.attempts)
        self.assertEqual(
            [was_sent for _, was_sent in attempts.connected],
            [False, False, True, True],
        )

    async def test_not_sent_again_after_it_may_have_run(self) -> None:
        sent = await self.run_attempts(
            RefusingAttempts(room_after=2), self.build_context()
        )
        self.assertEqual(len(sent), 3)

    async def test_number_of_resends_is_bounded(self) -> None:
        context = self.build_context()
        sent = await self.run_attempts(RefusingAttempts(room_after=99), context)
        self.assertEqual(
            len(sent), context.route.attempts + resend_policy.MAX_RESENDS
        )
        self.assertFalse(context.may_have_run)

    async def test_refused_at_once_without_time_for_an_answer(self) -> None:
        context = self.build_context()
        context.service_targets.record_latency(5)
        sent = await self.run_attempts(RefusingAttempts(room_after=99), context)
        self.assertEqual(len(sent), 2)

    async def test_refused_at_once_if_no_target_may_be_used(self) -> None:
        context = self.build_context()
        for target in context.service_targets.candidates.values():
            target.record_pause(30, clock.monotonic())
        sent = await self.run_attempts(RefusingAttempts(room_after=99), context)
        self.assertEqual(sent, [])

    async def test_waits_until_a_pause_ends(self) -> None:
        context = self.build_context()
        for target in context.service_targets.candidates.values():
            target.record_pause(0.2, clock.monotonic())
        sent = await self.run_attempts(RefusingAttempts(room_after=0), context)
        self.assertEqual(len(sent), 2)


class FailingAttempts(SlowAttempts):
    """Attempts that end with an error after the request was sent.

    Attributes:
        error: The error.
    """

    def __init__(self, error: Exception) -> None:
        """Initialize without attempts."""
        super().__init__([0])
        self.error = error

    async def send(
        self,
        _context: request_context.RequestContext,
        target: candidate.Candidate,
        _connection: object,
    ) -> attempt_result.AttemptResult:
        """Raise the error."""
        self.sent.append(target.registration.name)
        raise self.error


class TestAttemptWithoutResult(SenderCase):
    """A request counts as run unless its target states otherwise.

    An attempt may end without a result after the request was sent.
    """

    async def test_refusal_promises_nothing(self) -> None:
        retrying_sender = self.build_sender(FailingAttempts(TimeoutError()))
        with self.assertRaises(sender.errors.RefusedError) as caught:
            await retrying_sender.run(self.build_context())
        self.assertEqual(
            caught.exception.code.run_statement, codes.MAY_HAVE_RUN
        )


class TestResendPolicy(unittest.TestCase):
    """Pauses grow, differ between requests and leave time for an answer."""

    def pauses(self, resend_count: int, **changed: float) -> list[float | None]:
        """Return pauses drawn for many requests."""
        fields = {
            'remaining_seconds': 5.0,
            'typical_seconds': 0.2,
            'objective_seconds': 1.0,
            'room_seconds': 0.0,
        } | changed
        rng = random.Random(1)
        return [
            resend_policy.resend_pause(resend_count, **fields, rng=rng)
            for _ in range(50)
        ]

    def test_range(self) -> None:
        for count, longest in enumerate((0.1, 0.2, 0.4)):
            pauses = self.pauses(count)
            self.assertTrue(
                all(longest / 2 <= pause <= longest for pause in pauses)
            )
            self.assertGreater(len(set(pauses)), 40)

    def test_starts_when_there_is_room(self) -> None:
        pauses = self.pauses(0, room_seconds=0.5)
        self.assertTrue(all(0.55 <= pause <= 0.6 for pause in pauses))

    def test_none_if_too_long(self) -> None:
        for changed in (
            {'room_seconds': 1.0},
            {'remaining_seconds': 0.24},
            {'typical_seconds': 4.96},
        ):
            self.assertEqual(set(self.pauses(0, **changed)), {None})
        self.assertEqual(set(self.pauses(resend_policy.MAX_RESENDS)), {None})
