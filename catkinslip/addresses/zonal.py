"""Which instances a caller of a zone should use, where any instance serves it."""

from random import Random

from attrs import Factory, define, field, frozen

from catkinslip.config.documents import Document
from catkinslip.config.holder import ConfigHolder
from catkinslip.discovery.instances import InstanceTable

MAX_ADDRESSES = 64


@frozen
class CallerLocation:
    """Where a caller stands, and for which host it asks."""

    zone: str
    region: str = ''
    host: str = ''


@frozen
class ZoneAnswer:
    """Addresses to use, each host:port, and for how many seconds."""

    addresses: tuple[str, ...]
    lifetime: float


@define
class ZoneAddresses:
    """Answer with the instances of the caller's own zone while one serves there."""

    instances: InstanceTable
    lifetime: float
    random: Random
    config: ConfigHolder = Factory(ConfigHolder)
    #: The regions that routes of a host are bound to, of the document of now.
    regions_by_host: dict[str, frozenset[str]] = Factory(dict)
    _document: Document | None = field(default=None, init=False)

    def answer(self, caller: CallerLocation) -> ZoneAnswer:
        """Answer a caller.

        Bodies for a host that is bound to regions go to no third one: else another
        region would be named when the caller's own has no instance.
        """
        regions = self._find_regions(caller.host)
        entries = self.instances.usable(caller.zone, caller.region, regions)
        if len(entries) > MAX_ADDRESSES:
            entries = self.random.sample(entries, MAX_ADDRESSES)
        addresses = tuple(entry.caller_address for entry in entries)
        return ZoneAnswer(addresses, self.lifetime)

    def _find_regions(self, host: str) -> frozenset[str]:
        document = self.config.current.document
        if document is not self._document:
            self._document = document
            self.regions_by_host = find_regions(document)
        return self.regions_by_host.get(host.lower(), frozenset())


def find_regions(document: Document) -> dict[str, frozenset[str]]:
    """Return the regions that routes are bound to, by host; no others are named.

    Where routes of a host are bound to different regions, only what they share is fit
    for all of them; where they share none, any of them.
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
