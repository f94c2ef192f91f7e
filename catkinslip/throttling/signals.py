"""The rate signals that answers of servers carry."""

from enum import Enum, unique

from attrs import frozen


@unique
class AnswerKind(Enum):
    """The kind of an answer from a server."""

    ANSWER = 'answer'
    #: The request failed at the server.
    FAILURE = 'failure'
    #: The request did not run.
    REFUSAL = 'refusal'
    PROBE = 'probe'


@frozen
class RateSignal:
    """The rate in one answer: requests per second from all instances, or None."""

    per_second: float | None = None
    is_malformed: bool = False


NO_RATE = RateSignal()
MALFORMED_RATE = RateSignal(is_malformed=True)
