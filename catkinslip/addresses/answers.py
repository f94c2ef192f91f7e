"""Answer callers that ask which addresses to use."""

from urllib.parse import parse_qs

import orjson
from attrs import Factory, define, frozen

from catkinslip.addresses.home import home_set
from catkinslip.membership.members import MemberTable
from catkinslip.tickets.keys import KeyIssuer

PATH_PREFIX = b'/.well-known/catkinslip/addresses/'
HOME_SET_SIZE = 3


@frozen
class AddressAnswer:
    """Addresses to use for a service, and for how many seconds."""

    service: str
    addresses: tuple[str, ...]
    lifetime: float
    key_prefix_by_address: dict[str, str] = Factory(dict)

    def to_json(self) -> bytes:
        """Return the answer's body."""
        return orjson.dumps(
            {
                'service': self.service,
                'addresses': list(self.addresses),
                'lifetime_seconds': self.lifetime,
                'key_prefix_by_address': self.key_prefix_by_address,
            }
        )


@define
class AddressBook:
    """Answer with the home set of a service."""

    members: MemberTable
    own_zone: str
    lifetime: float
    key_issuer: KeyIssuer

    def count_home_instances(self) -> int:
        """Return how many instances share one service."""
        return min(HOME_SET_SIZE, len(self.members.live()))

    def answer(self, service: str, query: str) -> AddressAnswer:
        """Answer one question."""
        zone = parse_qs(query).get('zone', [self.own_zone])[0]
        members = home_set(service, zone, self.members.live(), HOME_SET_SIZE)
        addresses = tuple(member.address for member in members)
        prefixes = {each.address: self.key_issuer.prefix(each) for each in members}
        return AddressAnswer(service, addresses, self.lifetime, prefixes)
