"""A test case whose daemons exchange their counts in memory."""

import collections
import unittest
from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.directory import account, directory, member
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import count_exchange, digest, digest_codec, fleet
from sapphirepaddle.settings import edge
from tests.routing import test_service_targets

BOUNDS = edge.Bounds(quota_slack=0, quota_excess=0)


class InMemoryNetwork:
    """Carries datagrams between daemons of one test.

    Attributes:
        daemons: Count exchange of each daemon, by host.
        is_lossy: Whether all datagrams are lost.
        bytes_sent: Bytes sent so far.
        datagrams_sent: Datagrams sent so far.
        bytes_by_sender: Bytes that each host has sent so far.
        lossy_links: Links that lose all datagrams, as hosts of sender and
            receiver; an empty sender stands for all senders.
    """

    def __init__(self) -> None:
        """Initialize without daemons."""
        self.daemons: dict[str, count_exchange.CountExchange] = {}
        self.is_lossy = False
        self.bytes_sent = 0
        self.datagrams_sent = 0
        self.bytes_by_sender: collections.Counter[str] = collections.Counter()
        self.lossy_links: set[tuple[str, str]] = set()

    def deliver(self, body: digest.Body, hosts: list[str], sender: str) -> None:
        """Deliver a datagram to each host, unless its link is lossy."""
        raw = digest_codec.encode(body)
        for host in hosts:
            self.bytes_sent += len(raw)
            self.bytes_by_sender[sender] += len(raw)
            self.datagrams_sent += 1
            is_lost = self.lossy_links & {(sender, host), ('', host)}
            if not self.is_lossy and not is_lost:
                self.daemons[host].handle_datagram(
                    digest_codec.decode(raw), sender
                )


class InMemoryDatagrams:
    """Sends the datagrams of one daemon over the network in memory.

    Attributes:
        network: The network.
        host: Host of the daemon.
    """

    def __init__(self, network: InMemoryNetwork, host: str) -> None:
        """Initialize for one daemon."""
        self.network = network
        self.host = host

    def send(self, body: digest.Body, hosts: list[str]) -> None:
        """Send a datagram to hosts."""
        self.network.deliver(body, hosts, self.host)


class PoolingCase(unittest.TestCase):
    """A test with four daemons in two zones that exchange counts.

    Attributes:
        zones: Availability zone of each daemon.
        now: Time in seconds that the clock of the daemons shows.
        network: The network between the daemons.
        daemons: Count exchange of each daemon.
    """

    zones: tuple[str, ...] = ('a', 'a', 'b', 'b')

    def setUp(self) -> None:
        """Introduce the daemons to each other and exchange counts twice."""
        self.now = 1000.0
        patch = mock.patch.object(clock, 'monotonic', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.network = InMemoryNetwork()
        self.daemons = [
            self.create(number, zone) for number, zone in enumerate(self.zones)
        ]
        for exchange in self.daemons:
            for introduced in self.daemons:
                exchange.fleet.add(introduced.fleet.local_member)
        self.send_round()
        self.now += 5
        self.send_round()

    def create(self, number: int, zone: str) -> count_exchange.CountExchange:
        """Return the count exchange of a new daemon."""
        local_directory = directory.Directory(zone, BOUNDS)
        local_directory.update_target(test_service_targets.registered('t-1'))
        local_member = member.Member(
            name=f'vm-{number}',
            zone=zone,
            host=f'host-{number}',
            incarnation=1,
        )
        local_fleet = fleet.Fleet(local_member)
        quotas = account_quotas.AccountQuotas(
            BOUNDS,
            local_fleet.elapsed_fleet_time,
            local_fleet.in_touch_ratio,
            lambda name: exchange.record_admission(name),
        )
        quotas.starts_full = True
        exchange = count_exchange.CountExchange(
            local_directory, quotas, local_fleet
        )
        exchange.datagrams = InMemoryDatagrams(self.network, local_member.host)
        exchange.digest_receiver.register_names(['t-1', 'orders', 'first'])
        quotas.configure(
            [
                account.Account(
                    name='first',
                    keys=frozenset(),
                    priority=None,
                    rate=0.001,
                    burst=50,
                ),
            ],
        )
        self.network.daemons[local_member.host] = exchange
        return exchange

    def send_round(self) -> None:
        """Advance the clock and let all daemons send what is due."""
        self.now += 2.5
        for exchange in self.daemons:
            exchange.send_due(self.now)
