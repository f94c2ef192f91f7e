"""What an answer says of its server, beside the answer itself."""

from attrs import frozen

from catkinslip.resting.signs import NO_REST, RestSign
from catkinslip.throttling.signals import NO_RATE, RateSignal


@frozen
class ServerWords:
    """What one answer asks for in the name of its server."""

    rate: RateSignal = NO_RATE
    rest: RestSign = NO_REST
    #: Whether it leaves and takes no new requests.
    is_leaving: bool = False


NO_WORDS = ServerWords()
