"""Routes of requests, and the split of each route among its services."""

from random import Random

from attrs import Factory, define

from catkinslip.config.documents import Document, Route


@define
class RouteTurns:
    """Division of the requests of one route among its services by weight.

    This is smooth weighted round robin: any run of requests is divided by the weights
    to within one request of each service.
    """

    name: str
    route: Route
    credit_by_service: dict[str, float] = Factory(dict)

    def next_service(self) -> str:
        """Return the service of the next request."""
        parts = self.route.parts
        if len(parts) == 1:
            return parts[0].service
        credits = self.credit_by_service
        total = 0
        for part in parts:
            credits[part.service] = credits.get(part.service, 0.0) + part.weight
            total += part.weight
        chosen = max(parts, key=lambda part: (credits[part.service], part.weight))
        credits[chosen.service] -= total
        return chosen.service


def start_turns(name: str, route: Route, random: Random) -> RouteTurns:
    """Return the turns of a route from a random start.

    Many instances share one route, and would otherwise all start with one service.
    """
    total = sum(part.weight for part in route.parts)
    return RouteTurns(
        name, route, {part.service: random.uniform(0, total) for part in route.parts}
    )


@define
class RouteTable:
    """The routes of one configuration, by host."""

    random: Random
    document: Document = Factory(Document)
    turns_by_name: dict[str, RouteTurns] = Factory(dict)
    #: Routes of each host, the longest path prefix first.
    turns_by_host: dict[str, list[RouteTurns]] = Factory(dict)

    def update(self, document: Document) -> None:
        """Apply a configuration; an unchanged route keeps its turns."""
        if document is self.document:
            return
        self.document = document
        turns_before = self.turns_by_name
        self.turns_by_name = {}
        self.turns_by_host = {}
        for name, route in document.rules.routes.items():
            turns = turns_before.get(name)
            if turns is None or turns.route != route:
                turns = start_turns(name, route, self.random)
            self.turns_by_name[name] = turns
            self.turns_by_host.setdefault(route.host.lower(), []).append(turns)
        for routes in self.turns_by_host.values():
            routes.sort(key=lambda each: len(each.route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> RouteTurns | None:
        """Return the route with the longest matching prefix of a path, or None."""
        for turns in self.turns_by_host.get(host.lower(), ()):
            if path.startswith(turns.route.path_prefix):
                return turns
        return None
