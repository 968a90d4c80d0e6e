"""A withdrawn key stops working within seconds; no target sees a key."""

import http.client
import itertools
import time
import unittest

from sapphirepaddle import operators_client
from sapphirepaddle.standins import http_call, processes
from tests.support import operator, fleet_case, relay

BOUND_SECONDS = 4
"""The letter: a change is in force everywhere within 4 s."""


class KeyCase(fleet_case.FleetCase):
    """A key used on connections that stay open."""

    def setUp(self) -> None:
        """Open a connection to every daemon."""
        super().setUp()
        self.secret = self.demo.keys['guild']
        self.connections = {
            name: http.client.HTTPConnection(place.host, place.callers_port)
            for name, place in self.fleet.daemons.items()
        }
        for connection in self.connections.values():
            self.addCleanup(connection.close)

    def send_with_key(self, name: str) -> int:
        """Use the key on a daemon's open connection."""
        connection = self.connections[name]
        headers = {'Authorization': f'Bearer {self.secret}'}
        connection.request('GET', '/reads/1', headers=headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status

    def withdraw_key(self) -> None:
        """Withdraw the key through an operator's plan."""
        digest = operators_client.key.digest(self.secret.encode())
        operator.run_intent(self.fleet, 'vm1', 'withdraw-key', digest=digest)

    def wait_key_refused(self, names: list[str]) -> float:
        """Return the seconds until every named daemon refuses the key."""
        return processes.wait_for(
            lambda: {self.send_with_key(name) for name in names} <= {401, 503},
            BOUND_SECONDS,
            'key stopped',
        )


class TestWithdrawn(KeyCase):
    """Callers stay connected while their key is withdrawn."""

    def test_connected_callers(self) -> None:
        """Every open connection is refused."""
        for name in self.connections:
            self.assertEqual(self.send_with_key(name), 200)
        self.withdraw_key()
        self.wait_key_refused(list(self.connections))
        time.sleep(1)
        for name in self.connections:
            self.assertEqual(self.send_with_key(name), 401)

    def test_platform_silent(self) -> None:
        """The platform is silent before the withdrawal is accepted."""
        self.fleet.set_platform_faults(down=True)
        self.withdraw_key()
        self.wait_key_refused(list(self.connections))

    def test_started_from_peers(self) -> None:
        """A daemon that starts while the platform is silent refuses it."""
        self.withdraw_key()
        self.fleet.set_platform_faults(down=True)
        self.wait_key_refused(list(self.connections))
        self.connections['vm6'].close()
        self.fleet.programs['vm6'].kill()
        self.fleet.start_daemon('vm6')
        self.fleet.wait_ready()
        self.assertEqual(self.send_with_key('vm6'), 401)

    def test_stopped_only_by_news(self) -> None:
        """A daemon that starts before acceptance learns it from peers."""
        self.fleet.set_platform_faults(down=True)
        self.withdraw_key()
        self.connections['vm6'].close()
        self.fleet.programs['vm6'].kill()
        self.fleet.start_daemon('vm6')
        self.fleet.wait_ready()
        self.wait_key_refused(['vm6'])

    def test_waiting_request(self) -> None:
        """A request that waits for room is refused when its turn comes."""
        for name in self.fleet.targets:
            self.fleet.set_modes(name, slow_ms=2500)
        place = self.fleet.daemons['vm2']
        waiting = [
            http.client.HTTPConnection(place.host, place.callers_port)
            for _ in range(60)
        ]
        headers = {'Authorization': f'Bearer {self.secret}'}
        for connection in waiting:
            self.addCleanup(connection.close)
            connection.request('GET', '/reads/1', headers=headers)
        time.sleep(1)
        self.withdraw_key()
        statuses = [connection.getresponse().status for connection in waiting]
        self.assertIn(401, statuses)
        before = len(self.fleet.executions())
        time.sleep(1)
        self.assertEqual(len(self.fleet.executions()), before)


class TestPartitionedDaemon(KeyCase):
    """A daemon that cannot hear stops serving keys."""

    def setUp(self) -> None:
        """Put a relay before every peer listener."""
        self.relay = relay.Relay()
        self.addCleanup(self.relay.close)
        with relay.relay_all_peers(self.relay):
            super().setUp()

    def test_inbound_cut(self) -> None:
        """It hears neither platform nor peers, and refuses."""
        hosts = {name: place.host for name, place in self.fleet.daemons.items()}
        cut = itertools.product(hosts.values(), [hosts['vm6']])
        self.fleet.set_platform_faults(blocked=['vm6'], hang=True)
        for source, destination in cut:
            self.relay.partition(source, destination)
        self.withdraw_key()
        self.wait_key_refused(list(self.connections))


class TestKeyNotLeaked(KeyCase):
    """Keys show nowhere."""

    def test_targets_logs_and_metrics(self) -> None:
        """No target, no log and no metric holds a key."""
        place = self.fleet.daemons['vm1']
        names = ('Authorization', 'X-Api-Key', 'Proxy-Authorization')
        for name in names:
            value = f'Bearer {self.secret}'
            plain = self.secret if name == 'X-Api-Key' else value
            http_call.call(
                f'{place.callers_url}/reads/1',
                headers={name: plain},
            )
            http_call.call(
                f'{place.callers_url}/nowhere',
                headers={name: plain},
            )
        self.assertTrue(self.fleet.executions())
        seen = [run for run in self.fleet.executions() if run['saw_key']]
        self.assertEqual(seen, [])
        metrics = http_call.call(f'{place.operators_url}/metrics').body
        self.assertNotIn(self.secret.encode(), metrics)
        for log in self.fleet.folder.glob('*.log'):
            self.assertNotIn(self.secret, log.read_text())


if __name__ == '__main__':
    unittest.main()
