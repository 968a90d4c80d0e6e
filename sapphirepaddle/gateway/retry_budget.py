"""Budget of retries by client account."""

import typing

BURST: typing.Final = 10.0
MOST_ACCOUNTS: typing.Final = 10000


class RetryBudget:
    """Retries stay a share of requests, so they never multiply overload.

    Attributes:
        share: Retries allowed for each request.
        left: Retries left by client account.
    """

    def __init__(self, share: float) -> None:
        """Start with full budgets."""
        self.share = share
        self.left: dict[str, float] = {}

    def note_request(self, account: str) -> None:
        """Add the share of one request."""
        if len(self.left) > MOST_ACCOUNTS:
            self.left.clear()
        left = self.left.get(account, BURST) + self.share
        self.left[account] = min(BURST, left)

    def take(self, account: str) -> bool:
        """Take one retry, if there is one left."""
        left = self.left.get(account, BURST)
        if left < 1:
            return False
        self.left[account] = left - 1
        return True
