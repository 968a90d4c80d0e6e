"""Loopback addresses of one soak, so that soaks can run side by side."""

import socket
import typing

FIRST: typing.Final = 10
LAST: typing.Final = 209
GUARD_HOST: typing.Final = '255.254'
GUARD_PORT: typing.Final = 17100


class LoopbackNetwork:
    """Addresses that no other soak uses until they are released.

    Attributes:
        prefix: Start of the addresses: two numbers.
    """

    def __init__(self) -> None:
        """Claim free addresses.

        Raises:
            OSError: If none are free.
        """
        self.guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for number in range(FIRST, LAST + 1):
            self.prefix = f'127.{number}'
            try:
                self.guard.bind((f'{self.prefix}.{GUARD_HOST}', GUARD_PORT))
            except OSError:
                continue
            return
        self.guard.close()
        raise OSError('all networks for soaks are in use')

    def release(self) -> None:
        """Let others have the addresses."""
        self.guard.close()
