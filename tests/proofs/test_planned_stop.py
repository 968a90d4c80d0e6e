"""Tests that a planned stop of a daemon interrupts no request."""

import asyncio
import http.client
import threading
import time
import unittest

from sapphirepaddle.replay import trace
from tests.support import balancer, fleet_case

REQUEST_COUNT = 1500
REQUESTS_PER_SECOND = 100


class TestRollingRestart(fleet_case.FleetCase):
    """A rolling restart must not fail any request.

    The balancer notices late that a daemon stops and still sends to it.
    """

    overrides = {'stop': {'announce_seconds': 1.5, 'drain_seconds': 5}}

    def restart(self, name: str) -> None:
        """Stop a daemon, wait for its exit, and start it again."""
        exit_code = self.fleet.programs[name].stop()
        self.exit_codes.append(exit_code)
        self.fleet.start_daemon(name)
        self.fleet.wait_ready()

    def restart_all(self) -> None:
        """Restart every daemon in turn."""
        for name in list(self.fleet.daemons):
            self.restart(name)

    def test_no_request_fails(self) -> None:
        """Requests sent before the balancer notices a stop must succeed.

        The requests are POST, which the client does not retry by itself.
        """
        self.exit_codes: list[int] = []
        requests = [
            trace.Request(
                at=number / REQUESTS_PER_SECOND,
                account='guild',
                method='POST',
                path=f'/reads/{number}',
                size=100,
            )
            for number in range(REQUEST_COUNT)
        ]
        balanced_sender = balancer.BalancedSender(self.environment, 'restart')
        balanced_sender.fleet = self.fleet
        request_trace = trace.Trace(
            trace.Head(trace='restart', seconds=1), requests
        )
        worker = threading.Thread(
            target=lambda: asyncio.run(
                balanced_sender.run(request_trace, progress=False)
            ),
        )
        worker.start()
        time.sleep(1)
        self.restart_all()
        worker.join()
        failures = [
            result for result in balanced_sender.results if result.status != 200
        ]
        self.assertEqual(failures, [])
        self.assertEqual(set(self.exit_codes), {0})


class TestRunningRequests(fleet_case.FleetCase):
    """A stop must wait for requests that are in progress when it begins."""

    target_settings = {'service_ms': 1500}

    def test_slow_and_large_answers(self) -> None:
        """A stop that does not wait would truncate slow and large answers."""
        addresses = self.fleet.daemons['vm1']
        headers = {'Authorization': f'Bearer {self.demo.keys["guild"]}'}
        size = 20_000_000
        connections = []
        for path in ('/reads/1', f'/reads/2?size={size}', '/reads/3'):
            connection = http.client.HTTPConnection(
                addresses.host, addresses.callers_port
            )
            self.addCleanup(connection.close)
            connection.request('GET', path, headers=headers)
            connections.append(connection)
        time.sleep(0.5)
        self.fleet.programs['vm1'].request_stop()
        answers = [connection.getresponse() for connection in connections]
        time.sleep(2)
        lengths = [len(answer.read()) for answer in answers]
        self.assertEqual([answer.status for answer in answers], [200] * 3)
        self.assertEqual(lengths[1], size)
        self.assertEqual(self.fleet.programs['vm1'].stop(), 0)


if __name__ == '__main__':
    unittest.main()
