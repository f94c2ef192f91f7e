"""What the quotas need of the list of instances."""

from attrs import frozen


@frozen
class FleetView:
    """The facts of an instance's own list; instances are named by their IDs."""

    #: Share of every limit that the list gives this instance; 0 without a list.
    share: float = 0.0
    #: Whether the list already held this instance when it started.
    was_listed: bool = False
    #: Instances of the home sets of all zones that may be pools, this one among them
    #: if it is ready.
    pool_ids: tuple[str, ...] = ()
    #: The other instances of the home sets of all zones, also silent ones; None without
    #: a list.
    peer_ids: frozenset[str] | None = None
