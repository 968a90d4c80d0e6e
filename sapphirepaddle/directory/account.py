"""Client accounts with their API keys and quotas."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """One client account.

    Attributes:
        name: Account name, also sent to targets.
        keys: API keys that authenticate the account.
        priority: Priority that overrides the one of the route; None for no
            override.
        rate: Quota in requests per second over all VMs; 0 for no limit.
        burst: Requests that may exceed the rate at one time.
        home_regions: Regions whose targets may run requests; empty for all.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float
    home_regions: frozenset[str] = frozenset()
