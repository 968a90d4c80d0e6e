"""Attempts of one request at several targets."""

import asyncio
import random
import typing
import unittest

from sapphirepaddle import clock
from sapphirepaddle.directory import route
from sapphirepaddle.proxy import (
    request_context,
    attempt_result,
    request,
    sender,
)
from sapphirepaddle.routing import candidate, cost_weights, service_targets
from sapphirepaddle.telemetry import counters, decisions
from tests.routing import test_service_targets

OBJECTIVE = 0.02
"""Objective of the route in seconds: a silent target soon gets company."""


class SlowAttempts:
    """Attempts whose connections take their time, and that all fail.

    Attributes:
        waits: Seconds until each connection is open, in order.
        sent: Targets that got the request.
    """

    def __init__(self, waits: list[float]) -> None:
        """Start without attempts."""
        self.waits = waits
        self.sent: list[str] = []

    async def connect(
        self, _wanted: request_context.RequestContext, _chosen: object
    ) -> None:
        """Open a connection."""
        await asyncio.sleep(self.waits.pop(0))

    async def send(
        self,
        _wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
        _used: object,
    ) -> attempt_result.AttemptResult:
        """Fail a request at once."""
        self.sent.append(chosen.registration.name)
        return attempt_result.AttemptResult(
            attempt_result.AttemptResultKind.LOST, 'broken'
        )


class TestAttempts(unittest.IsolatedAsyncioTestCase):
    """A route that allows two targets for a request."""

    def wanted(self) -> request_context.RequestContext:
        """Return a request."""
        held = service_targets.ServiceTargets('a', random.Random(1))
        for number in range(4):
            entry = test_service_targets.registered(f't-{number}')
            held.apply_registration(entry, clock.monotonic())
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
                latency_objective_seconds=OBJECTIVE,
                priority=1,
                attempts=2,
                is_auth_exempt=True,
            ),
            account=None,
            service='reads',
            service_targets=held,
            cost_weights=cost_weights.CostWeights(
                objective_seconds=OBJECTIVE, failure=1
            ),
            deadline=clock.monotonic() + 2,
        )

    async def run_with(self, waits: list[float]) -> list[str]:
        """Return the targets that got a request."""
        attempts = SlowAttempts(waits)
        sending = sender.RetryingSender(
            typing.cast(typing.Any, attempts),
            lambda _service: True,
            lambda _chosen: None,
            lambda _chosen, _is_bad: None,
            decisions.DecisionLog(counters.Counters()),
        )
        with self.assertRaises(sender.errors.RefusedError):
            await sending.run(self.wanted())
        return attempts.sent

    async def test_both_are_used(self) -> None:
        self.assertEqual(len(await self.run_with([0, 0, 0])), 2)

    async def test_one_that_still_connects_counts(self) -> None:
        sent = await self.run_with([0.1, 0.4, 0, 0])
        self.assertEqual(len(sent), 2)
