"""Tests of callers that disconnect before their answer."""

import http.client
import socket
import time
import unittest

from sapphirepaddle.standins import http_call, processes
from tests.support import fleet_case

TIMEOUT_SECONDS = 4


class TestCallerDisconnected(fleet_case.FleetCase):
    """A caller disconnects, or its deadline passes, before its answer.

    Reads must be cancelled, orders must complete, and a request whose
    deadline passed must not run.
    """

    target_settings = {'service_ms': 1500}

    def send(self, method: str, path: str, **headers: str) -> socket.socket:
        """Send a request to one daemon and return its open connection."""
        addresses = self.fleet.daemons['vm1']
        connection = http.client.HTTPConnection(
            addresses.host, addresses.callers_port
        )
        key = self.demo.keys['guild']
        connection.request(
            method,
            path,
            headers={'Authorization': f'Bearer {key}', **headers},
        )
        return connection.sock

    def cancelled_count(self) -> int:
        """Return the number of executions that targets cancelled."""
        return sum(
            http_call.call(f'{url}/control/cancelled').json()
            for url in self.fleet.targets.values()
        )

    def test_read_is_cancelled(self) -> None:
        """A read that no caller waits for must not keep its target busy."""
        caller_socket = self.send('GET', '/reads/1')
        processes.wait_for(
            lambda: bool(self.fleet.executions()),
            TIMEOUT_SECONDS,
            'the read to run',
        )
        caller_socket.close()
        processes.wait_for(
            lambda: self.cancelled_count() == 1,
            TIMEOUT_SECONDS,
            'the target to cancel the read',
        )

    def test_order_completes(self) -> None:
        """An order must complete, run once and answer a repeated request."""
        headers = {'Idempotency-Key': 'lot-7'}
        caller_socket = self.send('POST', '/orders/1', **headers)
        time.sleep(0.5)
        caller_socket.close()
        addresses = self.fleet.daemons['vm5']
        key = self.demo.keys['guild']
        answer = http_call.call(
            f'{addresses.callers_url}/orders/1',
            'POST',
            {'Authorization': f'Bearer {key}', **headers},
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers.get('x-replayed'), '1')
        self.assertEqual(len(self.fleet.executions()), 1)
        self.assertEqual(self.cancelled_count(), 0)

    def test_deadline_passed(self) -> None:
        """A request whose deadline passed in a queue must not be sent.

        Slow targets make 200 simultaneous orders wait, more than can run
        before their deadline.
        """
        for name in self.fleet.targets:
            self.fleet.set_modes(name, slow_ms=2500)
        trace_result = self.run_trace(
            [
                request.model_copy(update={'at': 0})
                for request in fleet_case.order_requests(200, 1000, prefix='d')
            ],
        )
        executed = {
            execution.sending_id for execution in trace_result.executions
        }
        not_run = [
            result
            for result in trace_result.results
            if result.run_state == 'not run'
        ]
        self.assertTrue(not_run)
        self.assertEqual(
            [refusal for refusal in not_run if refusal.sending_id in executed],
            [],
        )


if __name__ == '__main__':
    unittest.main()
