"""Routes, client accounts, services and limits of one version."""

import dataclasses
import functools
import itertools
from collections import abc

from sapphirepaddle.directory import account, caller_limits, route
from sapphirepaddle.limits import quota_order


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the whole configuration.

    Attributes:
        version: Version number; a newer configuration has a higher one.
        routes: All routes.
        accounts: All client accounts; empty if API keys are not used.
        services: Names of all services.
        limits: Limits on callers.
        warmup_rates: Requests per second that a cold target bears over all
            daemons, by service; absent for services that state none.
    """

    version: int
    routes: tuple[route.Route, ...]
    accounts: tuple[account.Account, ...]
    services: frozenset[str]
    limits: caller_limits.CallerLimits
    warmup_rates: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[route.Route]]:
        """Return the routes by host, longest path prefix first."""
        sorted_routes = sorted(
            self.routes,
            key=lambda configured_route: (
                configured_route.host,
                -len(configured_route.prefix),
            ),
        )
        return {
            host: list(group)
            for host, group in itertools.groupby(
                sorted_routes,
                key=lambda configured_route: configured_route.host,
            )
        }

    @functools.cached_property
    def account_by_key(self) -> dict[str, account.Account]:
        """Return the client accounts by API key."""
        return {
            key: client_account
            for client_account in self.accounts
            for key in client_account.keys
        }

    @functools.cached_property
    def priority_ranks(self) -> dict[int, float]:
        """Return the rank of each priority of a route, 0 for the highest."""
        return quota_order.rank_priorities(
            configured_route.priority for configured_route in self.routes
        )

    def find_route(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest matching path prefix.

        Args:
            host: Host of the request, optionally with a port; compared without
                regard to case.
            path: Path without the query string.

        Returns:
            The route, or None if no route matches.
        """
        host_name = host.rpartition(':')[0] if ':' in host else host
        candidates: abc.Iterable[route.Route] = self.routes_by_host.get(
            host_name.lower(),
            (),
        )
        return next(
            (
                candidate
                for candidate in candidates
                if path.startswith(candidate.prefix)
            ),
            None,
        )
