"""Daemons of one test that pool their counts over a wire in memory."""

import unittest
from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.directory import account, directory, member
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import digest, digest_codec, fleet, count_exchange
from sapphirepaddle.settings import edge
from tests.routing import test_service_targets

BOUNDS = edge.Bounds(quota_slack=0, quota_excess=0)


class InMemoryNetwork:
    """Carries datagrams between daemons of one test.

    Attributes:
        daemons: Pooling by host.
        is_lossy: Whether datagrams are lost.
        sent: Bytes sent so far.
        datagrams: Datagrams sent so far.
        lost: Links that carry nothing: sender and receiver by host; an
            empty sender stands for all.
    """

    def __init__(self) -> None:
        """Start without daemons."""
        self.daemons: dict[str, count_exchange.CountExchange] = {}
        self.is_lossy = False
        self.bytes_sent = 0
        self.datagrams_sent = 0
        self.lossy_links: set[tuple[str, str]] = set()

    def deliver(self, body: digest.Body, hosts: list[str], own: str) -> None:
        """Carry a datagram."""
        raw = digest_codec.encode(body)
        for host in hosts:
            self.bytes_sent += len(raw)
            self.datagrams_sent += 1
            is_lost = self.lossy_links & {(own, host), ('', host)}
            if not self.is_lossy and not is_lost:
                self.daemons[host].handle_datagram(
                    digest_codec.decode(raw), own
                )


class InMemoryDatagrams:
    """One daemon's end of the wire."""

    def __init__(self, wire: InMemoryNetwork, host: str) -> None:
        """Store the parts."""
        self.network = wire
        self.host = host

    def send(self, body: digest.Body, hosts: list[str]) -> None:
        """Carry a datagram."""
        self.network.deliver(body, hosts, self.host)


class PoolingCase(unittest.TestCase):
    """Four daemons in two zones."""

    zones: tuple[str, ...] = ('a', 'a', 'b', 'b')

    def setUp(self) -> None:
        """Connect the daemons."""
        self.now = 1000.0
        patch = mock.patch.object(clock, 'monotonic', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.network = InMemoryNetwork()
        self.daemons = [
            self.create(number, zone) for number, zone in enumerate(self.zones)
        ]
        for held in self.daemons:
            for other in self.daemons:
                held.fleet.add(other.fleet.local_member)
        self.send_round()
        self.now += 5
        self.send_round()

    def create(self, number: int, zone: str) -> count_exchange.CountExchange:
        """Return the pooling of one daemon."""
        known = directory.Directory(zone, BOUNDS)
        known.update_target(test_service_targets.registered('t-1'))
        own = member.Member(
            name=f'vm-{number}',
            zone=zone,
            host=f'host-{number}',
            incarnation=1,
        )
        others = fleet.Fleet(own)
        limits = account_quotas.AccountQuotas(
            BOUNDS,
            others.elapsed_fleet_time,
            others.in_touch_ratio,
            lambda name: held.record_admission(name),
        )
        held = count_exchange.CountExchange(known, limits, others)
        held.datagrams = InMemoryDatagrams(self.network, own.host)
        held.digest_receiver.register_names(['t-1', 'orders', 'first'])
        limits.configure(
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
        self.network.daemons[own.host] = held
        return held

    def send_round(self) -> None:
        """Let all daemons send what is due, after a while."""
        self.now += 2.5
        for held in self.daemons:
            held.send_due(self.now)
