"""Choice of instances by the caller's zone, where any instance serves any caller."""

from random import Random

from attrs import Factory, define, field, frozen

from catkinslip.config.documents import Document
from catkinslip.config.holder import ConfigHolder
from catkinslip.discovery.instances import InstanceTable

MAX_ADDRESSES = 64


@frozen
class CallerLocation:
    """The zone and region of a caller, and the host that it requests."""

    zone: str
    region: str = ''
    host: str = ''


@frozen
class ZoneAnswer:
    """The addresses to use, each as host:port, and their lifetime in seconds."""

    addresses: tuple[str, ...]
    lifetime: float


@define
class ZoneAddresses:
    """Resolver that prefers the serving instances of the caller's zone.

    `lifetime` is the number of seconds for which callers may cache an answer.
    """

    instances: InstanceTable
    lifetime: float
    random: Random
    config: ConfigHolder = Factory(ConfigHolder)
    #: Regions that the routes of each host are bound to in the current document.
    regions_by_host: dict[str, frozenset[str]] = Factory(dict)
    _document: Document | None = field(default=None, init=False)

    def answer(self, caller: CallerLocation) -> ZoneAnswer:
        """Return the addresses for a caller.

        If the caller's region has no ready instance, the regions that the host is bound
        to are preferred to others, so that request bodies do not pass through a third
        region.
        """
        regions = self._allowed_regions(caller.host)
        entries = self.instances.usable(caller.zone, caller.region, regions)
        if len(entries) > MAX_ADDRESSES:
            entries = self.random.sample(entries, MAX_ADDRESSES)
        addresses = tuple(entry.caller_address for entry in entries)
        return ZoneAnswer(addresses, self.lifetime)

    def _allowed_regions(self, host: str) -> frozenset[str]:
        document = self.config.current.document
        if document is not self._document:
            self._document = document
            self.regions_by_host = find_regions(document)
        return self.regions_by_host.get(host.lower(), frozenset())


def find_regions(document: Document) -> dict[str, frozenset[str]]:
    """Return the regions that routes are bound to, by host; unbound hosts are omitted.

    If the routes of a host are bound to different regions, only the regions that all of
    them share are used; if they share none, the regions of any of them.
    """
    bound_by_host: dict[str, list[frozenset[str]]] = {}
    for route in document.rules.routes.values():
        if route.regions:
            bound = bound_by_host.setdefault(route.host.lower(), [])
            bound.append(frozenset(route.regions))
    return {
        host: frozenset.intersection(*bound) or frozenset.union(*bound)
        for host, bound in bound_by_host.items()
    }
