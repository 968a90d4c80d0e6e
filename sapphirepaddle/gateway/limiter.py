"""Interface of limiters of the rate and burst of client accounts."""

import abc

from sapphirepaddle.objects import client_account


class Limiter(abc.ABC):
    """Admits or refuses requests of client accounts."""

    @abc.abstractmethod
    async def admit(self, account: client_account.ClientAccount) -> None:
        """Count one request against the rate and burst of an account.

        Raises:
            RefusedError: If the account is over its rate.
        """


class NoLimiter(Limiter):
    """Admits every request; used in tests."""

    async def admit(self, account: client_account.ClientAccount) -> None:
        """Admit the request without counting it."""
