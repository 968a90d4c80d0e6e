"""Budget of retries by client account."""

import typing

MAX_SAVED_RETRIES: typing.Final = 10.0
MAX_ACCOUNTS: typing.Final = 10000


class RetryBudget:
    """Retries stay a share of requests, so they never multiply overload.

    Attributes:
        share: Retries allowed for each request.
        left: Retries left by client account.
    """

    def __init__(self, share: float) -> None:
        """Start with full budgets."""
        self.retry_ratio = share
        self.retries_left: dict[str, float] = {}

    def record_request(self, account: str) -> None:
        """Add the share of one request."""
        if len(self.retries_left) > MAX_ACCOUNTS:
            self.retries_left.clear()
        left = (
            self.retries_left.get(account, MAX_SAVED_RETRIES) + self.retry_ratio
        )
        self.retries_left[account] = min(MAX_SAVED_RETRIES, left)

    def try_acquire(self, account: str) -> bool:
        """Take one retry, if there is one left."""
        left = self.retries_left.get(account, MAX_SAVED_RETRIES)
        if left < 1:
            return False
        self.retries_left[account] = left - 1
        return True
