"""The configuration in force."""

import dataclasses
import functools
import itertools
from collections import abc

from sapphirepaddle.directory import account, caller_limits, route


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the whole configuration.

    Attributes:
        version: Rises with each version.
        routes: All routes.
        accounts: All client accounts; empty if keys are not used.
        services: Names of the services.
        limits: Bounds on callers.
    """

    version: int
    routes: tuple[route.Route, ...]
    accounts: tuple[account.Account, ...]
    services: frozenset[str]
    limits: caller_limits.CallerLimits

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[route.Route]]:
        """Return the routes of each host, longest prefix first."""
        ordered = sorted(
            self.routes,
            key=lambda held: (held.host, -len(held.prefix)),
        )
        return {
            host: list(group)
            for host, group in itertools.groupby(
                ordered,
                key=lambda held: held.host,
            )
        }

    @functools.cached_property
    def account_by_key(self) -> dict[str, account.Account]:
        """Return the account of each key."""
        return {key: held for held in self.accounts for key in held.keys}

    def find_route(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest prefix of a path.

        Args:
            host: Host that the caller named, perhaps with a port.
            path: Path without the query.
        """
        name = host.rpartition(':')[0] if ':' in host else host
        candidates: abc.Iterable[route.Route] = self.routes_by_host.get(
            name.lower(),
            (),
        )
        return next(
            (held for held in candidates if path.startswith(held.prefix)),
            None,
        )
