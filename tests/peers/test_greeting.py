"""Introductions between daemons."""

from sapphirepaddle.peers import pooling
from tests.support import pooled_daemons


class TestGreeting(pooled_daemons.PoolingCase):
    """A daemon that joins three of its zone and three of another."""

    zones = ('a',) * 3 + ('b',) * 3

    def setUp(self) -> None:
        """Create the newcomer, which knows nobody."""
        super().setUp()
        self.newcomer = self.create(9, 'a')
        self.wire.sent = 0
        self.wire.datagrams = 0

    def knowing(self) -> list[pooling.Pooling]:
        """Return the daemons that know the newcomer."""
        return [
            held
            for held in self.daemons
            if self.newcomer.uplink.key in held.fleet.peers
        ]

    def tell(self) -> None:
        """Let the newcomer learn of the others and introduce itself."""
        members = [held.fleet.own for held in self.daemons]
        for member in members:
            self.newcomer.fleet.add(member)
        self.newcomer.greeting.tell(members)

    def test_all_learn_of_it(self) -> None:
        self.tell()
        self.assertEqual(self.knowing(), self.daemons)

    def test_one_datagram_goes_to_another_zone(self) -> None:
        sent = []
        send = self.wire.carry

        def carry(body, hosts, own: str) -> None:
            sent.extend((own, host) for host in hosts)
            send(body, hosts, own)

        self.wire.carry = carry
        self.tell()
        far = {held.fleet.own.host for held in self.daemons[3:]}
        crossing = [
            pair for pair in sent if (pair[0] in far) != (pair[1] in far)
        ]
        self.assertEqual(len(crossing), 1)

    def test_asking_brings_an_answer(self) -> None:
        self.newcomer.greeting.ask(['host-0', 'host-4'])
        names = {
            held.member.name for held in self.newcomer.fleet.peers.values()
        }
        self.assertEqual(names, {'vm-0', 'vm-4'})
        self.assertEqual(len(self.knowing()), 2)

    def test_nobody_to_tell(self) -> None:
        self.newcomer.greeting.tell([])
        self.assertEqual(self.wire.datagrams, 0)
