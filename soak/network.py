"""Loopback networks, so that several soaks can run on one machine."""

import socket
import typing

FIRST_NETWORK: typing.Final = 10
LAST_NETWORK: typing.Final = 209
GUARD_HOST: typing.Final = '255.254'
GUARD_PORT: typing.Final = 17100


class LoopbackNetwork:
    """A /16 loopback network that no other soak uses until its release.

    A socket that listens on a fixed address of the network reserves it.

    Attributes:
        prefix: First two numbers of the addresses, such as "127.10".
        guard: Socket that reserves the network.
    """

    def __init__(self) -> None:
        """Reserve the first free network.

        Raises:
            OSError: If all are in use.
        """
        self.guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for number in range(FIRST_NETWORK, LAST_NETWORK + 1):
            self.prefix = f'127.{number}'
            try:
                self.guard.bind((f'{self.prefix}.{GUARD_HOST}', GUARD_PORT))
            except OSError:
                continue
            return
        self.guard.close()
        raise OSError('all loopback networks for soaks are in use')

    def release(self) -> None:
        """Release the network for other soaks."""
        self.guard.close()
