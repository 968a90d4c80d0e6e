"""Contract of what limits rate and burst of client accounts."""

import abc

from sapphirepaddle.objects import client_account


class Limiter(abc.ABC):
    """Admits requests of client accounts."""

    @abc.abstractmethod
    async def admit(self, account: client_account.ClientAccount) -> None:
        """Take one request of the account's rate and burst.

        Raises:
            RefusedError: If the account is over its rate.
        """


class NoLimiter(Limiter):
    """Admits everything: for tests of other parts."""

    async def admit(self, account: client_account.ClientAccount) -> None:
        """Admit the request."""
