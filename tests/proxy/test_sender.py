"""Tests of the attempts of one request at several targets."""

import asyncio
import dataclasses
import random
import typing
import unittest
from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.directory import route
from sapphirepaddle.proxy import (
    attempt_result,
    request,
    request_context,
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
        retrying_sender = sender.RetryingSender(
            typing.cast(typing.Any, attempt_runner),
            lambda _service: True,
            lambda _target: None,
            lambda _target, _is_bad: None,
            decisions.DecisionLog(counters.Counters()),
        )
        with self.assertRaises(sender.errors.RefusedError):
            await retrying_sender.run(context)
        return attempt_runner.sent


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
