"""Limit on the retries of each client account."""

import typing

MAX_SAVED_RETRIES: typing.Final = 10.0
"""Largest and initial budget of an account."""
MAX_ACCOUNTS: typing.Final = 10000
"""Number of accounts above which all budgets are reset."""


class RetryBudget:
    """Limits retries to a ratio of requests, so they cannot amplify overload.

    Attributes:
        retry_ratio: Retries earned by each request.
        retries_left: Retries left by name of the client account.
    """

    def __init__(self, retry_ratio: float) -> None:
        """Initialize with a full budget for every account."""
        self.retry_ratio = retry_ratio
        self.retries_left: dict[str, float] = {}

    def record_request(self, account: str) -> None:
        """Add what one request earns to the budget of its account.

        All budgets are reset when there are too many accounts, which bounds
        the memory.
        """
        if len(self.retries_left) > MAX_ACCOUNTS:
            self.retries_left.clear()
        remaining_retries = (
            self.retries_left.get(account, MAX_SAVED_RETRIES) + self.retry_ratio
        )
        self.retries_left[account] = min(MAX_SAVED_RETRIES, remaining_retries)

    def try_acquire(self, account: str) -> bool:
        """Use up one retry; return False if none is left."""
        remaining_retries = self.retries_left.get(account, MAX_SAVED_RETRIES)
        if remaining_retries < 1:
            return False
        self.retries_left[account] = remaining_retries - 1
        return True
