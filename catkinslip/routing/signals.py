"""What an answer says of its server, beside the answer itself."""

from attrs import frozen

from catkinslip.resting.signals import NO_REST, RestSignal
from catkinslip.throttling.signs import NO_RATE, RateSign


@frozen
class ServerSignals:
    """What one answer asks for in the name of its server."""

    rate: RateSign = NO_RATE
    rest: RestSignal = NO_REST
    #: Whether it leaves and takes no new requests.
    is_leaving: bool = False


NO_SIGNALS = ServerSignals()
