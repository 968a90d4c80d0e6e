"""Tests that logs and metrics explain what happened to a request."""

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
"""Fields that docs/OPERATIONS.md relies on, by log event."""


class Recorder:
    """Records log lines.

    Attributes:
        lines: Fields of each line, including the event.
    """

    def __init__(self) -> None:
        """Initialize without lines."""
        self.lines: list[dict] = []

    def info(self, event: str, **fields: object) -> None:
        """Record a line."""
        self.lines.append({'event': event, **fields})


class TestDecisions(edge_daemon_case.EdgeDaemonCase):
    """Every decision about a request must write one log line.

    Without the line an operator could not tell why a request failed.
    """

    async def asyncSetUp(self) -> None:
        """Start a daemon with two targets that fail."""
        await super().asyncSetUp()

        async def fail(received: scripted_target.ReceivedRequest) -> None:
            received.answer(500, b'')

        await self.add_target('t-1', 'reads', fail)
        await self.add_target('t-2', 'reads', fail)
        self.daemon = await self.start_daemon()

    async def lines(self, raw_request: bytes) -> list[dict]:
        """Return the lines that are logged while one request is served."""
        recorder = Recorder()
        self.daemon.components.forwarder.decisions.logger = recorder
        await self.send_raw(self.daemon, raw_request)
        return recorder.lines

    async def test_failed_request_logs_every_decision(self) -> None:
        lines = await self.lines(request('/reads/x', 'why'))
        request_lines = [line for line in lines if line.get('request') == 'why']
        events = [line['event'] for line in request_lines]
        self.assertEqual(
            events,
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
        for line in request_lines:
            self.assertLessEqual(FIELDS[line['event']], line.keys())

    async def test_refusals_of_targets_log_how_they_arrived(self) -> None:
        async def refuse(received: scripted_target.ReceivedRequest) -> None:
            received.refuse()

        for target in self.targets.values():
            target.script = refuse
        lines = await self.lines(request('/reads/x', 'why'))
        refused = [line for line in lines if line['event'] == 'attempt']
        self.assertEqual(
            [
                (line['exchanges'], line['skipped'], line['identified'])
                for line in refused
            ],
            [(0, 0, True)] * len(refused),
        )
        unanswered = [line for line in lines if line['event'] == 'unanswered']
        self.assertEqual(unanswered[0]['sends'], len(refused))
        self.assertEqual(unanswered[0]['refusals'], len(refused))
        self.assertFalse(unanswered[0]['may_have_run'])

    async def test_cancelled_send_is_logged(self) -> None:
        async def hang(_received: scripted_target.ReceivedRequest) -> None:
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

    async def test_refusal_logs_its_reason(self) -> None:
        lines = await self.lines(request('/none/', 'none'))
        refusals = [line for line in lines if line['event'] == 'refusal']
        self.assertEqual(refusals[0]['code'], 'route-unknown')
        self.assertLessEqual(FIELDS['refusal'], refusals[0].keys())

    async def test_metrics_are_served(self) -> None:
        await self.send_raw(self.daemon, request('/reads/x'))
        address = self.daemon.settings.metrics
        reader, caller = await asyncio.open_connection(
            address.host, address.port
        )
        caller.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
        reply = await edge_daemon_case.read_reply(reader)
        caller.close()
        text = reply.body.decode()
        self.assertIn('paddle_requests_total{label="500"', text)
        self.assertIn('paddle_request_seconds_bucket{le="0.005"}', text)
        self.assertIn('paddle_state{label="members"', text)


class TestLogLimits(unittest.TestCase):
    """Logging must not slow down or block the daemon.

    Under load each request writes several lines, and the reader of the log
    may stall.
    """

    def test_lines_per_event_are_limited_and_counted(self) -> None:
        totals = counters.Counters()
        log = decisions.DecisionLog(totals)
        recorder = Recorder()
        log.logger = recorder
        for _ in range(500):
            log.log_decision('choice', request='r')
        self.assertLess(len(recorder.lines), 500)
        dropped = totals.totals['log_lines_dropped']['choice']
        self.assertEqual(dropped + len(recorder.lines), 500)

    def test_unread_output_does_not_block(self) -> None:
        read_fd, write_fd = os.pipe()
        stream = io.TextIOWrapper(io.FileIO(write_fd, 'w'))
        line_writer = writer.LineWriter(stream)
        for _ in range(writer.MAX_QUEUED_LINES * 3):
            line_writer.msg('x' * 100)
        self.assertGreater(line_writer.dropped_lines, 0)
        line_writer.close()
        os.close(read_fd)
        line_writer.thread.join(5)
        self.assertFalse(line_writer.thread.is_alive())
