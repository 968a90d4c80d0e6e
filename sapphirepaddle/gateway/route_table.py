"""Lookup of routes by request path."""

from collections import abc

from sapphirepaddle.objects import route


class RouteTable:
    """Routes by path prefix; the longest matching prefix wins.

    Attributes:
        routes_by_prefix: Routes by prefix without a trailing slash.
    """

    def __init__(self, routes: abc.Iterable[route.Route]) -> None:
        """Index the routes by prefix."""
        self.routes_by_prefix = {
            configured_route.prefix.rstrip('/'): configured_route
            for configured_route in routes
        }

    def find(self, path: str) -> route.Route | None:
        """Return the route with the longest matching prefix, or None.

        A prefix matches whole path segments only.
        """
        prefix = path
        while prefix:
            matching_route = self.routes_by_prefix.get(prefix)
            if matching_route is not None:
                return matching_route
            prefix = prefix.rpartition('/')[0]
        return self.routes_by_prefix.get('')
