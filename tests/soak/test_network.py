"""Soaks side by side have addresses of their own."""

import unittest

from soak import network


class TestNetwork(unittest.TestCase):
    """Claimed addresses."""

    def test_two_soaks_of_one_process(self) -> None:
        first = network.LoopbackNetwork()
        self.addCleanup(first.release)
        second = network.LoopbackNetwork()
        self.addCleanup(second.release)
        self.assertNotEqual(first.prefix, second.prefix)

    def test_released(self) -> None:
        for _ in range(network.LAST - network.FIRST + 2):
            network.LoopbackNetwork().release()
