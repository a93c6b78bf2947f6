"""Routes by host and longest path prefix, compiled from a configuration."""

import attrs


@attrs.frozen
class Route:
    """A route with the services that it splits calls between, by share."""

    name: str
    path: object
    shares: tuple

    def service(self, draw: float) -> str:
        """Return the service for a random number in [0, 1)."""
        total = sum(share for _, share in self.shares)
        position, chosen = draw * total, self.shares[-1][0]
        for name, share in self.shares:
            if share > 0:
                chosen = name
                if position < share:
                    break
            position -= share
        return chosen


class RouteTable:
    """The routes of a configuration by host and path prefix."""

    def __init__(self, document):
        self.hosts = {}
        for name, path in document.paths.items():
            route = Route(name, path, tuple((each.service, each.share) for each in path.services))
            self.hosts.setdefault(path.host.lower(), {})[path.prefix] = route

    def find(self, host: str, path: str):
        """Return the route with the longest prefix of a path, or None.

        Prefixes are matched at slashes, and a port of the host is ignored.
        """
        prefixes = self.hosts.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        end = len(path)
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
