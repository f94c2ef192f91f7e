"""A caller's request as the request path handles it."""

from math import inf

from attrs import define, field

from catkinslip.clock import Clock
from catkinslip.proxy.bodies import BodyRemainder
from catkinslip.proxy.headers import Header
from catkinslip.proxy.outcomes import NotRun
from catkinslip.proxy.relayed import RelayHead


@define
class Call:
    """One request of a caller.

    `deadline` is in seconds on the monotonic clock, `wall_deadline` in Unix seconds.
    """

    request_id: str
    service: str
    method: bytes
    target: bytes
    #: Without the headers of API keys and workspaces.
    headers: list[Header] = field(repr=False)
    body: bytes = field(repr=False)
    repeatable: bool
    deadline: float
    attempt: int = 1
    wall_deadline: float = inf
    peer: str = ''
    body_remainder: BodyRemainder | None = None
    #: Name of the matching route; empty if no route matched.
    route: str = ''
    #: Target latency in seconds, from the caller's first attempt; a later answer is of
    #: little use.
    target_latency: float = inf
    #: End of the target latency, in seconds on the monotonic clock.
    target_deadline: float = inf
    #: Estimated seconds that the caller had waited before this attempt.
    spent: float = 0.0
    #: Timeout in seconds that the caller declared; None if it declared none.
    caller_timeout: float | None = None
    #: End of the caller's timeout, or the deadline if it declared none, in seconds on
    #: the monotonic clock.
    caller_deadline: float = inf
    #: Priority of the request; 0 is the most urgent.
    priority: int = 0
    #: Name of the caller's workspace; empty without one.
    workspace: str = ''
    #: When the permit of its workspace's quota expires, in seconds on the monotonic
    #: clock; 0 without one.
    permit_expires_at: float = 0.0
    #: Why the call is refused without being forwarded; None if it is not.
    refusal: NotRun | None = None
    #: Maximum number of backend servers that the request is sent to; None for the
    #: limit of the settings.
    max_attempts: int | None = None
    #: Regions in which the request may run; empty for any region.
    regions: tuple[str, ...] = ()
    #: Whether servers crashed while running the same request, so that at most one
    #: server may run this one.
    is_suspect: bool = False
    #: What another instance sent with the call that it relayed; None for a caller's.
    relayed: RelayHead | None = None
    #: Number of times that the call may have run.
    runs: int = 0
    #: Whether its attempts were ended as this instance reaches no server, and a token
    #: was taken if it may have run.
    is_diverted: bool = False

    def record_spent(self, seconds: float) -> None:
        """Record the seconds that the caller had waited before this attempt.

        The target deadline becomes earlier by as much.
        """
        self.spent = seconds
        self.target_deadline -= seconds

    @property
    def is_resendable(self) -> bool:
        """Return whether the whole request can still be sent to a server."""
        return self.body_remainder is None or not self.body_remainder.is_started

    def is_expired(self, clock: Clock) -> bool:
        """Return whether the deadline has passed on either clock.

        Either clock may lag: the wall clock after being set back, the monotonic
        clock on systems where it does not count suspensions.
        """
        return clock.monotonic() >= self.deadline or clock.wall() >= self.wall_deadline
