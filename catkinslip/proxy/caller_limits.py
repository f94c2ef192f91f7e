"""Limits on callers' requests and connections."""

from attrs import field, frozen
from attrs.validators import ge

from catkinslip.proxy.pipelining import PipelineLimits


@frozen
class CallerLimits:
    """Limits on callers' requests and connections; times are in seconds."""

    request_timeout: float = 10.0
    head_timeout: float = 10.0
    body_timeout: float = 10.0
    idle_timeout: float = 75.0
    max_body_bytes: int = 64 << 20
    max_connections: int = 4096
    uses_wall_clock: bool = True
    #: Requests of one connection in flight at once; 1 disables pipelining.
    max_pipelined_requests: int = field(default=1, validator=ge(1))
    #: Bytes of pipelined requests and held answers, of one connection ...
    max_pipelined_bytes: int = field(default=256 << 10, validator=ge(0))
    #: ... and of the whole instance.
    max_instance_pipelined_bytes: int = field(default=4 << 20, validator=ge(0))

    def pipeline_limits(self) -> PipelineLimits:
        """Return the limits on pipelined requests."""
        return PipelineLimits(
            self.max_pipelined_requests,
            self.max_pipelined_bytes,
            self.max_instance_pipelined_bytes,
        )
