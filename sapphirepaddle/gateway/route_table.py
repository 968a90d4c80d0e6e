"""Finding the route of a request."""

from collections import abc

from sapphirepaddle.objects import route


class RouteTable:
    """Routes by path prefix; the longest prefix wins.

    Attributes:
        prefixes: Routes by prefix without a closing slash.
    """

    def __init__(self, routes: abc.Iterable[route.Route]) -> None:
        """Index the routes."""
        self.routes_by_prefix = {
            entry.prefix.rstrip('/'): entry for entry in routes
        }

    def find(self, path: str) -> route.Route | None:
        """Return the route with the longest prefix of a path.

        A prefix matches whole path segments only.
        """
        rest = path
        while rest:
            found = self.routes_by_prefix.get(rest)
            if found is not None:
                return found
            rest = rest.rpartition('/')[0]
        return self.routes_by_prefix.get('')
