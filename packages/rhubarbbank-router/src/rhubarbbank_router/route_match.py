"""Finds the route of a request by host and longest path prefix.

Prefixes end with a slash, so that a lookup walks the path's own slashes from
the last to the first: its cost grows with the path, not with the routes.
"""

from rhubarbbank_router import configuration


class RouteIndex:
    """The routes of one configuration, by host and prefix."""

    def __init__(self, *, routes: tuple[configuration.Route, ...]) -> None:
        self.by_prefix = {
            (route.host.lower(), route.prefix): route for route in routes
        }

    def find(self, *, host: str, path: str) -> configuration.Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: The Host header; a port is ignored.
            path: The path without its query.
        """
        name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def find_by_scan(
    routes: tuple[configuration.Route, ...], *, host: str, path: str
) -> configuration.Route | None:
    """Returns the same as `RouteIndex.find`, naively: the test's reference."""
    name = host.partition(":")[0].lower()
    fitting = [
        route
        for route in routes
        if route.host.lower() == name and path.startswith(route.prefix)
    ]
    return max(fitting, key=lambda route: len(route.prefix), default=None)
