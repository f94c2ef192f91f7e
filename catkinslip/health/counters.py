"""Event counters of the health checks."""

from attrs import define


@define
class HealthCounters:
    """Event counts since the start of this instance."""

    calls: int = 0
    probes_sent: int = 0
    probes_answered: int = 0
    probes_held_back: int = 0
    drain_words_sent: int = 0
    drain_words_received: int = 0
    servers_left: int = 0
    servers_returned: int = 0
    connects_refused: int = 0
    reports_sent: int = 0
    reports_received: int = 0
