"""How a request ended: answered, not run, or unknown."""

from enum import Enum, unique

from attrs import frozen

from catkinslip.routing.base import AttemptResult, LoadReport, ResultKind


@unique
class Reason(Enum):
    """Why a request was not answered by a backend server."""

    BAD_REQUEST = ('bad-request', 400, 'The request is malformed.')
    UNKNOWN_SERVICE = ('unknown-service', 404, 'No such service is in the register.')
    NO_BACKEND = ('no-backend', 503, 'No backend server takes new work.')
    CONNECT_FAILED = ('connect-failed', 503, 'No backend server could be reached.')
    SHED = ('shed', 503, 'The backend servers refused new work.')
    TOO_LATE = ('too-late', 504, 'The deadline passed before the request was sent.')
    DEADLINE = ('deadline', 504, 'The deadline passed before the answer came.')
    BROKEN = ('broken', 502, 'The connection to the backend server broke.')
    NOT_READY = ('not-ready', 503, 'This instance has no configuration yet.')

    def __init__(self, slug: str, status: int, title: str) -> None:
        self.slug = slug
        self.status = status
        self.title = title


@frozen
class Answered:
    """A backend server answered and the whole answer was passed on."""

    status: int
    report: LoadReport | None = None


@frozen
class NotRun:
    """The request did not run anywhere; it may be sent again."""

    reason: Reason
    detail: str = ''
    report: LoadReport | None = None


@frozen
class Unknown:
    """The request may have run; it is not known whether it did."""

    reason: Reason
    detail: str = ''
    answer_started: bool = False


Outcome = Answered | NotRun | Unknown

SERVER_ERRORS = range(500, 600)


def attempt_result(outcome: Outcome, latency: float) -> AttemptResult:
    """Return what an outcome says about its backend server."""
    match outcome:
        case Answered(status, report):
            failed = status in SERVER_ERRORS
            kind = ResultKind.FAILED if failed else ResultKind.ANSWERED
            return AttemptResult(kind, latency, report)
        case NotRun(Reason.SHED, _, report):
            return AttemptResult(ResultKind.SHED, latency, report)
        case NotRun(Reason.CONNECT_FAILED) | Unknown(Reason.BROKEN):
            return AttemptResult(ResultKind.FAILED, latency)
        case _:
            return AttemptResult(ResultKind.CANCELLED, latency)
