"""What an instance reports of its paths to servers."""

from attrs import frozen


@frozen
class PeerPaths:
    """The paths from an instance to servers, as of its last answer to a poll."""

    #: Token with which others may relay requests to it; empty if none may.
    relay_token: str = ''
    #: Names of the services of which it reaches no server.
    lost_services: tuple[str, ...] = ()
    #: Whether it reaches no server of any service.
    is_cut_off: bool = False

    def reaches(self, service: str) -> bool:
        """Return whether requests for a service may be relayed to the instance."""
        return bool(self.relay_token) and service not in self.lost_services
