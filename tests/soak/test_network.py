"""Concurrent soaks must not share loopback addresses."""

import unittest

from soak import network


class TestNetwork(unittest.TestCase):
    """Reservation and release of loopback networks."""

    def test_concurrent_networks_differ(self) -> None:
        first = network.LoopbackNetwork()
        self.addCleanup(first.release)
        second = network.LoopbackNetwork()
        self.addCleanup(second.release)
        self.assertNotEqual(first.prefix, second.prefix)

    def test_released_networks_are_reusable(self) -> None:
        for _ in range(network.LAST_NETWORK - network.FIRST_NETWORK + 2):
            network.LoopbackNetwork().release()
