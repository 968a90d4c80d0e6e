"""A configuration as the checks see it, whatever form it was written in."""

import dataclasses

from sapphirepaddle.checks import finding


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckedRoute:
    """A route.

    Attributes:
        place: Place in the file.
        name: Name of the route.
        host: Host name; empty if routes have none.
        prefix: Path prefix.
        shares: Services with their weights.
        timeout_seconds: Time within which a request is answered.
        objective_seconds: Latency objective.
        attempts: Maximum number of targets for one request; 0 if the
            configuration does not state it.
        priority: Priority; 0 is the highest.
        is_keyed: Whether requests need an API key.
    """

    place: str
    name: str
    host: str
    prefix: str
    shares: tuple[tuple[str, float], ...]
    timeout_seconds: float
    objective_seconds: float
    attempts: int = 0
    priority: int = 0
    is_keyed: bool = True

    @property
    def label(self) -> str:
        """Host and prefix, by which operators know the route."""
        return f'{self.host}{self.prefix}'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckedService:
    """A service.

    Attributes:
        place: Place in the file.
        name: Name of the service.
        target_zones: Zone of each target that takes requests; None if the
            configuration does not list targets.
        slots: Slots of one target; 0 if it does not state them.
    """

    place: str
    name: str
    target_zones: tuple[str, ...] | None = None
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckedAccount:
    """A client account.

    Attributes:
        place: Place in the file.
        name: Name of the account.
        keys: API keys, or their digests.
        rate: Quota in requests per second; 0 for no limit.
        burst: Burst in requests.
        priority: Priority that replaces that of the routes; None for none.
    """

    place: str
    name: str
    keys: tuple[str, ...]
    rate: float
    burst: float
    priority: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class CheckedConfiguration:
    """A configuration.

    Attributes:
        routes: All routes that could be read.
        services: All services that could be read.
        accounts: All client accounts that could be read.
        limits: Limits on callers by name.
        emptied_zones: Availability zones that get no requests.
        memory_bytes: Memory limit of a daemon; 0 if unknown.
        has_closing_slashes: Whether prefixes must end with a slash.
        lists_keys: Whether the configuration contains the keys of accounts.
        errors: What could not be read.
    """

    routes: list[CheckedRoute] = dataclasses.field(default_factory=list)
    services: list[CheckedService] = dataclasses.field(default_factory=list)
    accounts: list[CheckedAccount] = dataclasses.field(default_factory=list)
    limits: dict[str, float] = dataclasses.field(default_factory=dict)
    emptied_zones: frozenset[str] = frozenset()
    memory_bytes: int = 0
    has_closing_slashes: bool = True
    lists_keys: bool = True
    errors: list[finding.Finding] = dataclasses.field(default_factory=list)
