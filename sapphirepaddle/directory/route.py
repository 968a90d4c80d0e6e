"""Routes from a host and a path prefix to services."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route with its share of the requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the weights of the other services.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route and the rules for its requests.

    Attributes:
        name: Name of the route.
        host: Host name in requests, in lower case.
        prefix: Path prefix, with a slash at both ends.
        weighted_services: Services with their weights.
        is_idempotent: Whether a request may be run more than once.
        timeout_seconds: Time within which a request gets its final answer.
        latency_objective_seconds: Time within which an answer has its full
            value.
        priority: Priority; 0 is the highest.
        attempts: Maximum number of targets that one request is sent to.
        is_auth_exempt: Whether requests need no API key.
        home_regions: Regions whose targets may run requests; empty for all.
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
    home_regions: frozenset[str] = frozenset()
