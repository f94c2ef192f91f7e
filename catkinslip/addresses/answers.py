"""Answer callers that ask which addresses to use."""

from urllib.parse import parse_qs

import orjson
from attrs import define, frozen

from catkinslip.addresses.home import home_set
from catkinslip.membership.members import MemberTable

PATH_PREFIX = b'/.well-known/catkinslip/addresses/'
HOME_SET_SIZE = 3


@frozen
class AddressAnswer:
    """Addresses to use for a service, and for how many seconds."""

    service: str
    addresses: tuple[str, ...]
    lifetime: float

    def to_json(self) -> bytes:
        """Return the answer's body."""
        return orjson.dumps(
            {
                'service': self.service,
                'addresses': list(self.addresses),
                'lifetime_seconds': self.lifetime,
            }
        )


@define
class AddressBook:
    """Answer with the home set of a service."""

    members: MemberTable
    own_zone: str
    lifetime: float

    def answer(self, service: str, query: str) -> AddressAnswer:
        """Answer one question."""
        zone = parse_qs(query).get('zone', [self.own_zone])[0]
        members = home_set(service, zone, self.members.usable(), HOME_SET_SIZE)
        addresses = tuple(member.address for member in members)
        return AddressAnswer(service, addresses, self.lifetime)
