"""Signals that a server sends along with an answer."""

from attrs import frozen

from catkinslip.resting.signals import NO_REST, RestSignal
from catkinslip.throttling.signals import NO_RATE, RateSignal


@frozen
class ServerSignals:
    """The signals of one answer about its server."""

    rate: RateSignal = NO_RATE
    rest: RestSignal = NO_REST
    #: Whether the server is leaving and accepts no new requests.
    is_leaving: bool = False


NO_SIGNALS = ServerSignals()
