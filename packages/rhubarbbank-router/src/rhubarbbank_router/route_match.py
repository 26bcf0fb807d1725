"""Matches requests with routes by host and longest path prefix.

Prefixes end with a slash, so a lookup tries the path cut after each of its
slashes, longest first. Its cost depends on the path, not on the number of
routes.
"""

from rhubarbbank_router import configuration


class RouteIndex:
    """An index of a configuration's routes by host and path prefix."""

    def __init__(self, *, routes: tuple[configuration.Route, ...]) -> None:
        self.by_prefix = {
            (route.host.lower(), route.prefix): route for route in routes
        }

    def find(self, *, host: str, path: str) -> configuration.Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path of the request, without the query.
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
    """Returns the same as `RouteIndex.find`, by a linear scan.

    Tests compare the index with it.
    """
    name = host.partition(":")[0].lower()
    fitting = [
        route
        for route in routes
        if route.host.lower() == name and path.startswith(route.prefix)
    ]
    return max(fitting, key=lambda route: len(route.prefix), default=None)
