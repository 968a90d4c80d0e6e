"""Introductions between daemons."""

from sapphirepaddle.peers import count_exchange
from tests.support import pooling_case


class TestGreeting(pooling_case.PoolingCase):
    """A daemon that joins three of its zone and three of another."""

    zones = ('a',) * 3 + ('b',) * 3

    def setUp(self) -> None:
        """Create the newcomer, which knows nobody."""
        super().setUp()
        self.newcomer = self.create(9, 'a')
        self.network.bytes_sent = 0
        self.network.datagrams_sent = 0

    def knowing(self) -> list[count_exchange.CountExchange]:
        """Return the daemons that know the newcomer."""
        return [
            held
            for held in self.daemons
            if self.newcomer.hub_selector.local_hash in held.fleet.peers
        ]

    def tell(self) -> None:
        """Let the newcomer learn of the others and introduce itself."""
        members = [held.fleet.local_member for held in self.daemons]
        for member in members:
            self.newcomer.fleet.add(member)
        self.newcomer.introduction_exchange.announce_to(members)

    def test_all_learn_of_it(self) -> None:
        self.tell()
        self.assertEqual(self.knowing(), self.daemons)

    def test_one_datagram_goes_to_another_zone(self) -> None:
        sent = []
        send = self.network.deliver

        def carry(body, hosts, own: str) -> None:
            sent.extend((own, host) for host in hosts)
            send(body, hosts, own)

        self.network.deliver = carry
        self.tell()
        far = {held.fleet.local_member.host for held in self.daemons[3:]}
        crossing = [
            pair for pair in sent if (pair[0] in far) != (pair[1] in far)
        ]
        self.assertEqual(len(crossing), 1)

    def test_asking_brings_an_answer(self) -> None:
        self.newcomer.introduction_exchange.request_introductions(
            ['host-0', 'host-4']
        )
        names = {
            held.member.name for held in self.newcomer.fleet.peers.values()
        }
        self.assertEqual(names, {'vm-0', 'vm-4'})
        self.assertEqual(len(self.knowing()), 2)

    def test_nobody_to_tell(self) -> None:
        self.newcomer.introduction_exchange.announce_to([])
        self.assertEqual(self.network.datagrams_sent, 0)
