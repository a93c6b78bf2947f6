"""Routes by host and longest path prefix, compiled from a configuration."""

import attrs


@attrs.frozen
class Route:
    """One route, with the tables of services that it names."""

    name: str
    path: object
    shares: tuple

    def service(self, draw: float) -> str:
        """The service that a number from 0 up to 1 falls on."""
        total = sum(share for _, share in self.shares)
        at, chosen = draw * total, self.shares[-1][0]
        for name, share in self.shares:
            if share > 0:
                chosen = name
                if at < share:
                    break
            at -= share
        return chosen


class RouteTable:
    """For each host its prefixes, longest first."""

    def __init__(self, document):
        self.hosts = {}
        for name, path in document.paths.items():
            route = Route(name, path, tuple((each.service, each.share) for each in path.services))
            self.hosts.setdefault(path.host.lower(), {})[path.prefix] = route

    def find(self, host: str, path: str):
        """The route of the longest prefix that begins a path, or None."""
        prefixes = self.hosts.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        end = len(path)
        while end > 0:
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None
