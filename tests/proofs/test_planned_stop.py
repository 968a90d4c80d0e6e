"""A planned stop cuts off no request."""

import asyncio
import http.client
import threading
import time
import unittest

from sapphirepaddle.replay import trace
from tests.support import balancer, fleet_case

COUNT = 1500
RATE = 100


class TestRollingRestart(fleet_case.FleetCase):
    """Every daemon is stopped and started again under load."""

    overrides = {'stop': {'announce_seconds': 1.5, 'drain_seconds': 5}}

    def restart(self, name: str) -> None:
        """Stop a daemon, wait for its end, and start it again."""
        code = self.fleet.programs[name].stop()
        self.codes.append(code)
        self.fleet.start_daemon(name)
        self.fleet.wait_ready()

    def restart_all(self) -> None:
        """Restart every daemon in turn."""
        for name in list(self.fleet.daemons):
            self.restart(name)

    def test_no_request_fails(self) -> None:
        """Requests that the client would not repeat by itself all succeed."""
        self.codes: list[int] = []
        lines = [
            trace.Request(
                at=number / RATE,
                account='guild',
                method='POST',
                path=f'/reads/{number}',
                size=100,
            )
            for number in range(COUNT)
        ]
        sending = balancer.BalancedSender(self.environment, 'restart')
        sending.fleet = self.fleet
        recorded = trace.Trace(trace.Head(trace='restart', seconds=1), lines)
        worker = threading.Thread(
            target=lambda: asyncio.run(sending.run(recorded, progress=False)),
        )
        worker.start()
        time.sleep(1)
        self.restart_all()
        worker.join()
        failed = [result for result in sending.results if result.status != 200]
        self.assertEqual(failed, [])
        self.assertEqual(set(self.codes), {0})


class TestRunningRequests(fleet_case.FleetCase):
    """Requests that run when the stop begins."""

    target_settings = {'service_ms': 1500}

    def test_slow_and_large_answers(self) -> None:
        """Slow answers and a large body in flight come whole."""
        place = self.fleet.daemons['vm1']
        headers = {'Authorization': f'Bearer {self.demo.keys["guild"]}'}
        size = 20_000_000
        opened = []
        for path in ('/reads/1', f'/reads/2?size={size}', '/reads/3'):
            connection = http.client.HTTPConnection(
                place.host, place.callers_port
            )
            self.addCleanup(connection.close)
            connection.request('GET', path, headers=headers)
            opened.append(connection)
        time.sleep(0.5)
        self.fleet.programs['vm1'].request_stop()
        answers = [connection.getresponse() for connection in opened]
        time.sleep(2)
        lengths = [len(answer.read()) for answer in answers]
        self.assertEqual([answer.status for answer in answers], [200] * 3)
        self.assertEqual(lengths[1], size)
        self.assertEqual(self.fleet.programs['vm1'].stop(), 0)


if __name__ == '__main__':
    unittest.main()
