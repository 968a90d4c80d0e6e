"""Tests of introductions between daemons."""

from sapphirepaddle.peers import count_exchange
from tests.support import pooling_case


class TestIntroductionExchange(pooling_case.PoolingCase):
    """All daemons must learn of a new one with few datagrams between zones.

    The new daemon joins three daemons of its zone and three of another. One
    that misses the introduction would ignore the counts of the new daemon.
    """

    zones = ('a',) * 3 + ('b',) * 3

    def setUp(self) -> None:
        """Create a new daemon that knows no other."""
        super().setUp()
        self.newcomer = self.create(9, 'a')
        self.network.bytes_sent = 0
        self.network.datagrams_sent = 0

    def aware_daemons(self) -> list[count_exchange.CountExchange]:
        """Return the daemons that know the new one."""
        return [
            daemon
            for daemon in self.daemons
            if self.newcomer.hub_selector.local_hash in daemon.fleet.peers
        ]

    def announce(self) -> None:
        """Add all members to the new daemon and announce it to them."""
        members = [daemon.fleet.local_member for daemon in self.daemons]
        for member in members:
            self.newcomer.fleet.add(member)
        self.newcomer.introduction_exchange.announce_to(members)

    def test_all_daemons_learn_of_newcomer(self) -> None:
        """An introduction must be forwarded within the other zone."""
        self.announce()
        self.assertEqual(self.aware_daemons(), self.daemons)

    def test_one_datagram_per_other_zone(self) -> None:
        """Traffic between zones is expensive: one copy is sent."""
        links = []
        deliver = self.network.deliver

        def record_links(body, hosts, sender: str) -> None:
            links.extend((sender, host) for host in hosts)
            deliver(body, hosts, sender)

        self.network.deliver = record_links
        self.announce()
        other_zone = {
            daemon.fleet.local_member.host for daemon in self.daemons[3:]
        }
        cross_zone_links = [
            link
            for link in links
            if (link[0] in other_zone) != (link[1] in other_zone)
        ]
        self.assertEqual(len(cross_zone_links), 1)

    def test_requested_introductions_are_answered(self) -> None:
        """A seed that does not answer would remain unknown."""
        self.newcomer.introduction_exchange.request_introductions(
            ['host-0', 'host-4']
        )
        names = {
            peer.member.name for peer in self.newcomer.fleet.peers.values()
        }
        self.assertEqual(names, {'vm-0', 'vm-4'})
        self.assertEqual(len(self.aware_daemons()), 2)

    def test_no_members_to_announce_to(self) -> None:
        """An empty list must not send datagrams."""
        self.newcomer.introduction_exchange.announce_to([])
        self.assertEqual(self.network.datagrams_sent, 0)
