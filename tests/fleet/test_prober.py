"""Tests of the health probes of targets."""

import asyncio
from unittest import mock

from sapphirepaddle.fleet import prober
from sapphirepaddle.routing import result
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters
from tests.gateway import test_target_client
from tests.support import endless_target

PROBE_SECONDS = 0.5
PAUSE_SECONDS = 0.01


class TestEndlessProbeAnswers(test_target_client.TargetClientCase):
    """A target that answers a probe without end must not pass for healthy.

    The daemon has to close the connection itself.
    """

    async def probe(self, kind: str, pause_seconds: float) -> mock.Mock:
        """Probe an endless target; return the view with its results."""
        target = endless_target.EndlessTarget(
            *endless_target.ENDLESS_ANSWERS[kind], pause_seconds
        )
        await self.start_target(target)
        dispatcher = mock.Mock(identifier_prefix='vm')
        dispatcher.get_client.return_value = self.client
        queue = mock.Mock()
        queue.pool.service.probe_path = '/health'
        view = mock.Mock()
        target_prober = prober.Prober(
            entry.RoutingSettings(probe_timeout_seconds=PROBE_SECONDS),
            dispatcher,
            mock.Mock(),
            counters.Counters(),
        )
        await target_prober.probe(queue, view)
        async with asyncio.timeout(20):
            while not target.closed_count:
                await asyncio.sleep(0.01)
        return view

    async def check(self, pause_seconds: float) -> None:
        """Check that each kind of endless answer counts as a failure.

        Answers to another request are no evidence: they may be late ones.
        """
        for kind in endless_target.ENDLESS_ANSWERS:
            with self.subTest(kind):
                view = await self.probe(kind, pause_seconds)
                is_evidence = kind != 'answers to another request'
                self.assertEqual(
                    [call.args[0] for call in view.record_result.mock_calls],
                    [result.Result.UNREACHABLE] * is_evidence,
                )

    async def test_fast_sender(self) -> None:
        await self.check(0)

    async def test_slow_sender(self) -> None:
        await self.check(PAUSE_SECONDS)
