"""Callers that leave before their answer."""

import http.client
import socket
import time
import unittest

from sapphirepaddle.standins import http_call, processes
from tests.support import fleet_case

BOUND_SECONDS = 4


class TestCallerDisconnected(fleet_case.FleetCase):
    """What becomes of reads and orders."""

    target_settings = {'service_ms': 1500}

    def send(self, method: str, path: str, **headers: str) -> socket.socket:
        """Send a request and return its open connection."""
        place = self.fleet.daemons['vm1']
        connection = http.client.HTTPConnection(place.host, place.callers_port)
        key = self.demo.keys['guild']
        connection.request(
            method,
            path,
            headers={'Authorization': f'Bearer {key}', **headers},
        )
        return connection.sock

    def cancelled(self) -> int:
        """Return the runs that targets ended."""
        return sum(
            http_call.call(f'{url}/control/cancelled').json()
            for url in self.fleet.targets.values()
        )

    def test_read_is_cancelled(self) -> None:
        """A read is cancelled at its target."""
        opened = self.send('GET', '/reads/1')
        processes.wait_for(
            lambda: bool(self.fleet.executions()),
            BOUND_SECONDS,
            'the read runs',
        )
        opened.close()
        processes.wait_for(
            lambda: self.cancelled() == 1,
            BOUND_SECONDS,
            'cancelled at the target',
        )

    def test_order_goes_on(self) -> None:
        """An order goes on, once, and a repeat gets its outcome."""
        headers = {'Idempotency-Key': 'lot-7'}
        opened = self.send('POST', '/orders/1', **headers)
        time.sleep(0.5)
        opened.close()
        place = self.fleet.daemons['vm5']
        key = self.demo.keys['guild']
        answer = http_call.call(
            f'{place.callers_url}/orders/1',
            'POST',
            {'Authorization': f'Bearer {key}', **headers},
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers.get('x-replayed'), '1')
        self.assertEqual(len(self.fleet.executions()), 1)
        self.assertEqual(self.cancelled(), 0)

    def test_deadline_passed(self) -> None:
        """A request whose deadline passes in a queue does not run."""
        for name in self.fleet.targets:
            self.fleet.set_modes(name, slow_ms=2500)
        record = self.run_trace(
            [
                line.model_copy(update={'at': 0})
                for line in fleet_case.order_requests(50, 1000, prefix='d')
            ],
        )
        ran = {run.sending_id for run in record.executions}
        unrun = [
            result for result in record.results if result.run_state == 'not run'
        ]
        self.assertTrue(unrun)
        self.assertEqual([held for held in unrun if held.sending_id in ran], [])


if __name__ == '__main__':
    unittest.main()
