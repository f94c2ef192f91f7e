"""What answers say of the rate that their server takes."""

from enum import Enum, unique

from attrs import frozen


@unique
class AnswerKind(Enum):
    """What a server answered."""

    ANSWER = 'answer'
    #: Of a request that failed there.
    FAILURE = 'failure'
    #: The request did not run.
    REFUSAL = 'refusal'
    PROBE = 'probe'


@frozen
class RateSign:
    """What one answer says: requests a second from all instances, or nothing."""

    per_second: float | None = None
    is_malformed: bool = False


NO_RATE = RateSign()
MALFORMED_RATE = RateSign(is_malformed=True)
