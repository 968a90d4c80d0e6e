"""Logs and metrics that explain a request afterwards."""

import asyncio
import io
import os
import unittest

from sapphirepaddle.telemetry import counters, decisions, writer
from tests.support import edge_daemon_case, scripted_target

request = edge_daemon_case.request

FIELDS = {
    'admission': {'request', 'account', 'admitted', 'tokens', 'share'},
    'choice': {'request', 'target', 'suspicion', 'evidence_age', 'overdue'},
    'attempt': {'request', 'target', 'fate', 'reason', 'seconds'},
    'repeat': {'request', 'service', 'allowed', 'sends', 'left'},
    'refusal': {'request', 'code', 'detail', 'configuration'},
    'answer': {'request', 'status', 'seconds'},
}
"""Fields that docs/OPERATIONS.md relies on, by kind of line."""


class Recorder:
    """Takes the lines of a log.

    Attributes:
        lines: Fields of each line, the event among them.
    """

    def __init__(self) -> None:
        """Start without lines."""
        self.lines: list[dict] = []

    def info(self, event: str, **inputs: object) -> None:
        """Take a line."""
        self.lines.append({'event': event, **inputs})


class TestDecisions(edge_daemon_case.EdgeDaemonCase):
    """One line for each decision."""

    async def asyncSetUp(self) -> None:
        """Start a daemon before a target that fails."""
        await super().asyncSetUp()

        async def fail(asked: scripted_target.ReceivedRequest) -> None:
            asked.answer(500, b'')

        await self.add_target('t-1', 'reads', fail)
        await self.add_target('t-2', 'reads', fail)
        self.daemon = await self.start_daemon()

    async def lines(self, raw: bytes) -> list[dict]:
        """Return the lines written for one request."""
        recorder = Recorder()
        self.daemon.components.forwarder.decisions.logger = recorder
        await self.send_raw(self.daemon, raw)
        return recorder.lines

    async def test_failed_request_leads_to_its_cause(self) -> None:
        written = await self.lines(request('/reads/x', 'why'))
        own = [line for line in written if line.get('request') == 'why']
        kinds = [line['event'] for line in own]
        self.assertEqual(
            kinds,
            [
                'admission',
                'choice',
                'attempt',
                'repeat',
                'choice',
                'attempt',
                'answer',
            ],
        )
        for line in own:
            self.assertLessEqual(FIELDS[line['event']], line.keys())

    async def test_send_that_is_cut_is_named(self) -> None:
        async def hang(_asked: scripted_target.ReceivedRequest) -> None:
            await asyncio.sleep(5)

        self.targets['t-1'].script = hang
        self.targets['t-2'].script = hang
        recorder = Recorder()
        self.daemon.components.forwarder.decisions.logger = recorder
        _, caller = await self.connect(self.daemon)
        caller.write(request('/reads/x', 'left'))
        await asyncio.sleep(0.1)
        caller.close()
        await self.wait_until(
            lambda: any(line['event'] == 'cut' for line in recorder.lines),
        )

    async def test_refusal_names_its_reason(self) -> None:
        written = await self.lines(request('/none/', 'none'))
        refusals = [line for line in written if line['event'] == 'refusal']
        self.assertEqual(refusals[0]['code'], 'route-unknown')
        self.assertLessEqual(FIELDS['refusal'], refusals[0].keys())

    async def test_metrics_are_served(self) -> None:
        await self.send_raw(self.daemon, request('/reads/x'))
        place = self.daemon.settings.metrics
        reader, caller = await asyncio.open_connection(place.host, place.port)
        caller.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
        reply = await edge_daemon_case.read_reply(reader)
        caller.close()
        text = reply.body.decode()
        self.assertIn('paddle_requests_total{label="500"', text)
        self.assertIn('paddle_request_seconds_bucket{le="0.005"}', text)
        self.assertIn('paddle_state{label="members"', text)


class TestBounds(unittest.TestCase):
    """Lines are bounded and never block."""

    def test_lines_of_a_kind_are_bounded_and_counted(self) -> None:
        totals = counters.Counters()
        log = decisions.DecisionLog(totals)
        recorder = Recorder()
        log.logger = recorder
        for _ in range(500):
            log.log_decision('choice', request='r')
        self.assertLess(len(recorder.lines), 500)
        dropped = totals.totals['log_lines_dropped']['choice']
        self.assertEqual(dropped + len(recorder.lines), 500)

    def test_unread_output_blocks_nobody(self) -> None:
        reading, writing = os.pipe()
        stream = io.TextIOWrapper(io.FileIO(writing, 'w'))
        lines = writer.LineWriter(stream)
        for _ in range(writer.MAX_QUEUED_LINES * 3):
            lines.msg('x' * 100)
        self.assertGreater(lines.dropped_lines, 0)
        lines.close()
        os.close(reading)
        lines.thread.join(5)
        self.assertFalse(lines.thread.is_alive())
