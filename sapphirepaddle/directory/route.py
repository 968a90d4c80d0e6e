"""A route from a host and a path prefix to a service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One route.

    Attributes:
        name: Name of the route.
        host: Host that callers name, in lower case.
        prefix: Prefix of the path, with a slash at both ends.
        parts: Services with their weights.
        is_idempotent: Whether a request may run more than once.
        timeout: Seconds within which a request gets its final answer.
        objective: Seconds within which an answer earns its full payoff.
        priority: Rank, 0 is the highest.
        attempts: Targets to which one request may be sent.
        is_open: Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    is_idempotent: bool
    timeout_seconds: float
    latency_objective_seconds: float
    priority: int
    attempts: int
    is_auth_exempt: bool
