"""Answers to callers that request the addresses to use for a service."""

from urllib.parse import parse_qs, unquote

import h11
import orjson
from attrs import Factory, asdict, define, field, frozen

from catkinslip.addresses.home import (
    HomeSetLimits,
    choose_home_set,
    home_set_size,
    zone_first,
)
from catkinslip.config.documents import ConfigVersion, Service
from catkinslip.config.holder import ConfigHolder
from catkinslip.membership.members import Member, MemberTable
from catkinslip.proxy.base import LocalPages
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.tickets.keys import KeyIssuer

PATH_PREFIX = b'/.well-known/catkinslip/addresses/'


@frozen
class AddressEntry:
    """An instance that a caller may use, and the prefix of keys whose home it is."""

    address: str
    zone: str
    instance: str
    key_prefix: str


@frozen
class AddressAnswer:
    """The instances to use for a service, those in the caller's zone first.

    `lifetime` is the number of seconds for which the answer may be cached.
    """

    service: str
    entries: tuple[AddressEntry, ...]
    lifetime: float
    config_version: ConfigVersion = ConfigVersion()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all entries, in the same order."""
        return tuple(entry.address for entry in self.entries)

    @property
    def key_prefix_by_address(self) -> dict[str, str]:
        """Return, by address, the prefix of keys whose home is the instance there."""
        return {entry.address: entry.key_prefix for entry in self.entries}

    def to_json(self) -> bytes:
        """Return the body of the answer as JSON."""
        return orjson.dumps(
            {
                'service': self.service,
                'addresses': self.addresses,
                'instances': self.entries,
                'lifetime_seconds': self.lifetime,
                'key_prefix_by_address': self.key_prefix_by_address,
                'config_version': self.config_version,
            },
            default=asdict,
        )


@frozen
class UnknownService:
    """The answer for a service that is not in the configuration in force."""

    service: str


@define
class AddressResolver:
    """Resolver from a service to the addresses of its home set.

    `lifetime` is the number of seconds for which callers may cache an answer.
    """

    members: MemberTable
    own_zone: str
    lifetime: float
    key_issuer: KeyIssuer
    config: ConfigHolder = Factory(ConfigHolder)
    limits: HomeSetLimits = Factory(HomeSetLimits)
    _home_set_by_service_and_region: dict[tuple[str, str], list[Member]] = field(
        factory=dict, init=False
    )
    _cached_state: tuple | None = field(default=None, init=False)

    def count_home_instances(self, service: str) -> int:
        """Return the number of a service's home instances in this instance's region."""
        configured = self.config.current.document.register.services.get(service)
        return len(self.home_members(service, self.own_zone, configured or Service()))

    def answer(self, service: str, query: str) -> AddressAnswer | UnknownService:
        """Return the answer for a service, URL-encoded as in the path, and a query."""
        service = unquote(service)
        current = self.config.current
        configured = current.document.register.services.get(service)
        is_configured = current.version > ConfigVersion()
        if configured is None and is_configured:
            return UnknownService(service)
        zone = parse_qs(query).get('zone', [self.own_zone])[0]
        members = self.home_members(service, zone, configured or Service())
        entries = tuple(self._entry(each) for each in zone_first(members, zone))
        return AddressAnswer(service, entries, self.lifetime, current.version)

    def _entry(self, member: Member) -> AddressEntry:
        prefix = self.key_issuer.prefix(member)
        return AddressEntry(member.address, member.zone, member.member_id, prefix)

    def home_members(
        self, service: str, zone: str, configured: Service
    ) -> list[Member]:
        """Return the home set of a service in the region of a zone.

        The region of a zone without members is that of this instance.
        """
        self._clear_cache_if_changed()
        region = self._region_of(zone)
        found = self._home_set_by_service_and_region.get((service, region))
        if found is None:
            # Any instance serves any service, so leaving instances are used if no
            # others exist.
            usable = self.members.usable() or self.members.live()
            size = home_set_size(configured, self._count_backends(service), self.limits)
            found = choose_home_set(service, region, usable, size)
            self._home_set_by_service_and_region[service, region] = found
        return found

    def _clear_cache_if_changed(self) -> None:
        state = (
            self.members.version,
            self.members.silent_zones,
            self.config.current.version,
        )
        if self._cached_state != state:
            self._cached_state = state
            self._home_set_by_service_and_region = {}

    def _region_of(self, zone: str) -> str:
        for member in self.members.live():
            if member.zone == zone:
                return member.region
        return self.members.own.region

    def _count_backends(self, service: str) -> int:
        backends = self.config.current.document.register.backends.values()
        return sum(each.service == service for each in backends)


@define
class AddressPages(LocalPages):
    """Pages with the addresses to use for each service."""

    resolver: AddressResolver

    def has(self, target: bytes) -> bool:
        """Return whether a request target is an address page."""
        return target.startswith(PATH_PREFIX)

    def answer(self, request: RequestHead) -> tuple[h11.Event, ...] | NotRun:
        """Return the addresses of the service that the request path names."""
        target = request.target.decode('latin-1').removeprefix(PATH_PREFIX.decode())
        service, _, query = target.partition('?')
        answer = self.resolver.answer(service, query)
        if isinstance(answer, UnknownService):
            return NotRun(Reason.UNKNOWN_SERVICE, answer.service)
        body = answer.to_json()
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
            (b'cache-control', b'max-age=%d' % answer.lifetime),
        ]
        data = () if request.method == b'HEAD' else (h11.Data(data=body),)
        response = h11.Response(status_code=200, headers=headers)
        return response, *data, h11.EndOfMessage()
