"""Tests that withdrawn keys stop working and that no key leaks."""

import http.client
import itertools
import time
import unittest

from sapphirepaddle import operators_client
from sapphirepaddle.standins import http_call, processes
from tests.support import fleet_case, operator, relay

IN_FORCE_TIMEOUT_SECONDS = 4
"""Requirement: a change is in force at every daemon within 4 s."""


class KeyCase(fleet_case.FleetCase):
    """A test that uses a key on connections that stay open."""

    def setUp(self) -> None:
        """Create a connection to every daemon."""
        super().setUp()
        self.secret = self.demo.keys['guild']
        self.connections = {
            name: http.client.HTTPConnection(
                addresses.host, addresses.callers_port
            )
            for name, addresses in self.fleet.daemons.items()
        }
        for connection in self.connections.values():
            self.addCleanup(connection.close)

    def send_with_key(self, name: str) -> int:
        """Send a request with the key to a daemon; return the status."""
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
        """Wait until all named daemons refuse the key; return the seconds."""
        return processes.wait_for(
            lambda: {self.send_with_key(name) for name in names} <= {401, 503},
            IN_FORCE_TIMEOUT_SECONDS,
            'the key to be refused',
        )


class TestWithdrawn(KeyCase):
    """A withdrawn key must be refused at every daemon within 4 s.

    Open connections, waiting requests, outages and restarts must not keep it
    usable.
    """

    def test_connected_callers(self) -> None:
        """A key checked only once per connection would stay usable.

        Every open connection must refuse it.
        """
        for name in self.connections:
            self.assertEqual(self.send_with_key(name), 200)
        self.withdraw_key()
        self.wait_key_refused(list(self.connections))
        time.sleep(1)
        for name in self.connections:
            self.assertEqual(self.send_with_key(name), 401)

    def test_platform_outage(self) -> None:
        """A withdrawal in an outage of the platform must spread by gossip."""
        self.fleet.set_platform_faults(down=True)
        self.withdraw_key()
        self.wait_key_refused(list(self.connections))

    def test_started_from_peers(self) -> None:
        """A daemon started in an outage must get withdrawals from its peers.

        The withdrawal was accepted before the outage.
        """
        self.withdraw_key()
        self.fleet.set_platform_faults(down=True)
        self.wait_key_refused(list(self.connections))
        self.connections['vm6'].close()
        self.fleet.programs['vm6'].kill()
        self.fleet.start_daemon('vm6')
        self.fleet.wait_ready()
        self.assertEqual(self.send_with_key('vm6'), 401)

    def test_withdrawal_only_by_gossip(self) -> None:
        """A withdrawal not yet accepted must reach a newly started daemon.

        The platform is out of service from before the withdrawal on, so only
        peers can send it.
        """
        self.fleet.set_platform_faults(down=True)
        self.withdraw_key()
        self.connections['vm6'].close()
        self.fleet.programs['vm6'].kill()
        self.fleet.start_daemon('vm6')
        self.fleet.wait_ready()
        self.wait_key_refused(['vm6'])

    def test_waiting_request(self) -> None:
        """A key withdrawn while a request waits must be checked before sending.

        Slow targets make 60 simultaneous requests wait for a slot.
        """
        for name in self.fleet.targets:
            self.fleet.set_modes(name, slow_ms=2500)
        addresses = self.fleet.daemons['vm2']
        connections = [
            http.client.HTTPConnection(addresses.host, addresses.callers_port)
            for _ in range(60)
        ]
        headers = {'Authorization': f'Bearer {self.secret}'}
        for connection in connections:
            self.addCleanup(connection.close)
            connection.request('GET', '/reads/1', headers=headers)
        time.sleep(1)
        self.withdraw_key()
        statuses = [
            connection.getresponse().status for connection in connections
        ]
        self.assertIn(401, statuses)
        before = len(self.fleet.executions())
        time.sleep(1)
        self.assertEqual(len(self.fleet.executions()), before)


class TestPartitionedDaemon(KeyCase):
    """A daemon that receives no messages must stop accepting keys.

    It would serve keys whose withdrawal it does not receive.
    """

    def setUp(self) -> None:
        """Start the fleet with a relay in front of every peer listener."""
        self.relay = relay.Relay()
        self.addCleanup(self.relay.close)
        with relay.relay_all_peers(self.relay):
            super().setUp()

    def test_inbound_partition(self) -> None:
        """A daemon without platform and peers misses withdrawals.

        It must refuse every key.
        """
        hosts = {
            name: addresses.host
            for name, addresses in self.fleet.daemons.items()
        }
        links = itertools.product(hosts.values(), [hosts['vm6']])
        self.fleet.set_platform_faults(blocked=['vm6'], hang=True)
        for source, destination in links:
            self.relay.partition(source, destination)
        self.withdraw_key()
        self.wait_key_refused(list(self.connections))


class TestKeyNotLeaked(KeyCase):
    """Keys must not reach targets, logs or metrics.

    Callers may send a key in several headers.
    """

    def test_targets_logs_and_metrics(self) -> None:
        """No target, log or metric may contain a key from any header."""
        addresses = self.fleet.daemons['vm1']
        header_names = ('Authorization', 'X-Api-Key', 'Proxy-Authorization')
        for name in header_names:
            header_value = f'Bearer {self.secret}'
            credential = self.secret if name == 'X-Api-Key' else header_value
            http_call.call(
                f'{addresses.callers_url}/reads/1',
                headers={name: credential},
            )
            http_call.call(
                f'{addresses.callers_url}/nowhere',
                headers={name: credential},
            )
        self.assertTrue(self.fleet.executions())
        leaked = [
            execution
            for execution in self.fleet.executions()
            if execution['saw_key']
        ]
        self.assertEqual(leaked, [])
        metrics = http_call.call(f'{addresses.operators_url}/metrics').body
        self.assertNotIn(self.secret.encode(), metrics)
        for log_path in self.fleet.folder.glob('*.log'):
            self.assertNotIn(self.secret, log_path.read_text())


if __name__ == '__main__':
    unittest.main()
