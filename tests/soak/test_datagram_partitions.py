"""Partitions of datagrams between the daemons of a soak."""

import pathlib
import random
import tempfile
import typing
import unittest

from sapphirepaddle.peers import datagrams
from soak import datagram_partitions


class RecordingTransport:
    """A transport that records the receivers of datagrams."""

    def __init__(self) -> None:
        """Initialize a transport without sent datagrams."""
        self.sent: list[str] = []

    def get_extra_info(self, _name: str) -> tuple[str, int]:
        """Return the address of the sender."""
        return '127.9.0.1', 1


class TestDatagramPartitions(unittest.TestCase):
    """The prelude must drop datagrams on exactly the links in the file.

    Otherwise a soak runs without partitions, or with daemons fully isolated.
    """

    def setUp(self) -> None:
        """Create the file and run the prelude on a recording transport."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.partitions = datagram_partitions.DatagramPartitions(
            pathlib.Path(folder.name)
        )
        self.transport = RecordingTransport()
        original_send = datagrams.DatagramEndpoint.send
        self.addCleanup(
            setattr, datagrams.DatagramEndpoint, 'send', original_send
        )
        datagrams.DatagramEndpoint.send = (  # type: ignore[method-assign]
            lambda endpoint, _body, hosts: endpoint.transport.sent.extend(hosts)
        )
        exec(self.partitions.prelude(), {})  # noqa: S102

    def reached_hosts(self) -> list[str]:
        """Return which of two hosts a datagram reaches."""
        self.transport.sent.clear()
        send: typing.Any = datagrams.DatagramEndpoint.send
        send(self, b'', ['127.9.0.2', '127.9.0.3'])
        return self.transport.sent

    def test_only_partitioned_direction_is_dropped(self) -> None:
        self.assertEqual(len(self.reached_hosts()), 2)
        self.partitions.replace_links([('127.9.0.1', '127.9.0.2')])
        self.assertEqual(self.reached_hosts(), ['127.9.0.3'])
        self.partitions.replace_links([('127.9.0.2', '127.9.0.1')])
        self.assertEqual(len(self.reached_hosts()), 2)
        self.partitions.replace_links([])
        self.assertEqual(len(self.reached_hosts()), 2)

    def test_drawn_links_are_some_but_not_all(self) -> None:
        hosts = [f'127.9.0.{number}' for number in range(1, 7)]
        for seed in range(50):
            links = datagram_partitions.draw_links(random.Random(seed), hosts)
            self.assertTrue(links)
            self.assertLess(len(links), 30)
