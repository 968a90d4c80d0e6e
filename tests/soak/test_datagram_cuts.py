"""Cuts of datagrams between daemons of a soak."""

import pathlib
import random
import tempfile
import typing
import unittest

from sapphirepaddle.peers import datagrams
from soak import datagram_partitions


class Transport:
    """A socket that notes where it sends."""

    def __init__(self) -> None:
        """Start without datagrams."""
        self.sent: list[str] = []

    def get_extra_info(self, _name: str) -> tuple[str, int]:
        """Return the own address."""
        return '127.9.0.1', 1


class TestDatagramCuts(unittest.TestCase):
    """The file, and the code that heeds it."""

    def setUp(self) -> None:
        """Create the file and a daemon's socket."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cuts = datagram_partitions.DatagramPartitions(
            pathlib.Path(folder.name)
        )
        self.transport = Transport()
        whole = datagrams.DatagramEndpoint.send
        self.addCleanup(setattr, datagrams.DatagramEndpoint, 'send', whole)
        datagrams.DatagramEndpoint.send = (  # type: ignore[method-assign]
            lambda held, _body, hosts: held.transport.sent.extend(hosts)
        )
        exec(self.cuts.prelude(), {})  # noqa: S102

    def reached(self) -> list[str]:
        """Return which of two daemons a datagram reaches."""
        self.transport.sent.clear()
        send: typing.Any = datagrams.DatagramEndpoint.send
        send(self, b'', ['127.9.0.2', '127.9.0.3'])
        return self.transport.sent

    def test_only_the_cut_direction_is_dropped(self) -> None:
        self.assertEqual(len(self.reached()), 2)
        self.cuts.replace_links([('127.9.0.1', '127.9.0.2')])
        self.assertEqual(self.reached(), ['127.9.0.3'])
        self.cuts.replace_links([('127.9.0.2', '127.9.0.1')])
        self.assertEqual(len(self.reached()), 2)
        self.cuts.replace_links([])
        self.assertEqual(len(self.reached()), 2)

    def test_draws_leave_links(self) -> None:
        hosts = [f'127.9.0.{number}' for number in range(1, 7)]
        for seed in range(50):
            drawn = datagram_partitions.draw_links(random.Random(seed), hosts)
            self.assertTrue(drawn)
            self.assertLess(len(drawn), 30)
