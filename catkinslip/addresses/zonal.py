"""Which instances a caller of a zone should use, where any instance serves it."""

from random import Random

from attrs import define, frozen

from catkinslip.discovery.instances import InstanceTable

MAX_ADDRESSES = 64


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

    def answer(self, zone: str) -> ZoneAnswer:
        """Answer a caller of a zone."""
        entries = self.instances.usable(zone)
        if len(entries) > MAX_ADDRESSES:
            entries = self.random.sample(entries, MAX_ADDRESSES)
        addresses = tuple(entry.caller_address for entry in entries)
        return ZoneAnswer(addresses, self.lifetime)
