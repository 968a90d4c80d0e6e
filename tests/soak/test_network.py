"""Concurrent soaks must not share loopback addresses."""

import unittest

from soak import network


class TestNetwork(unittest.TestCase):
    """Two soaks at a time must not get the same loopback network.

    Their daemons would listen on the same addresses. A network that is not
    released can never be reserved again.
    """

    def test_concurrent_networks_differ(self) -> None:
        first = network.LoopbackNetwork()
        self.addCleanup(first.release)
        second = network.LoopbackNetwork()
        self.addCleanup(second.release)
        self.assertNotEqual(first.prefix, second.prefix)

    def test_released_networks_are_reusable(self) -> None:
        for _ in range(network.LAST_NETWORK - network.FIRST_NETWORK + 2):
            network.LoopbackNetwork().release()
