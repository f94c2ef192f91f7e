"""Outcomes of requests: answered, not run, or unknown."""

from enum import Enum, unique

from attrs import frozen

from catkinslip.routing.base import AttemptResult, LoadReport, ResultKind


@unique
class Reason(Enum):
    """The reasons why no backend server answered a request."""

    BAD_REQUEST = ('bad-request', 400, 'The request is malformed.')
    SLOW_REQUEST = ('slow-request', 408, 'The request came too slowly.')
    BODY_TOO_LARGE = ('body-too-large', 413, 'The request body is too large.')
    EXPECTATION = ('expectation', 417, 'The expectation cannot be met.')
    HEAD_TOO_LARGE = ('head-too-large', 431, 'The request head is too large.')
    NOT_IMPLEMENTED = ('not-implemented', 501, 'The transfer coding is not known.')
    VERSION = ('version', 505, 'The HTTP version is not spoken here.')
    KEY_REJECTED = ('key-rejected', 401, 'The API key is missing or unknown.')
    OVER_QUOTA = ('over-quota', 429, 'The workspace sends more than its quota.')
    UNKNOWN_SERVICE = ('unknown-service', 404, 'No such service is in the register.')
    NO_BACKEND = ('no-backend', 503, 'No backend server takes new work.')
    EVACUATED = ('evacuated', 503, 'All zones with servers are evacuated.')
    COLD = (
        'cold',
        503,
        'Only cold servers are left, which bear no more now.',
    )
    THROTTLED = ('throttled', 503, 'Servers in need take no more requests now.')
    RESTING = ('resting', 503, 'All servers asked this instance for rest.')
    SERVER_LEFT = (
        'server-left',
        503,
        'The backend server takes no new work now.',
    )
    CONNECT_FAILED = ('connect-failed', 503, 'No backend server could be reached.')
    UNREACHED = (
        'unreached',
        503,
        'This instance reaches no backend server of the service.',
    )
    CONNECTION_LIMIT = ('connection-limit', 503, 'Too many connections are open.')
    SHED = ('shed', 503, 'The backend servers refused new work.')
    MISDIRECTED = ('misdirected', 503, 'Another server has the address.')
    TOO_LATE = ('too-late', 504, 'The deadline passed before the request was sent.')
    DEADLINE = ('deadline', 504, 'The deadline passed before the answer came.')
    BROKEN = ('broken', 502, 'The connection to the backend server broke.')
    CROSSED = ('crossed', 502, 'The backend server answered another request.')
    CALLER_LEFT = (
        'caller-left',
        499,
        'The caller left before the answer came.',
    )
    CONNECTION_CLOSED = (
        'connection-closed',
        502,
        'This instance closed the connection before the answer.',
    )
    OVERLOADED = (
        'overloaded',
        503,
        'The service has more work than it can answer.',
    )
    DEADLINE_UNMET = ('deadline-unmet', 503, 'The answer would come too late.')
    CRASHES = ('crashes', 503, 'The request ended backend servers; it is not sent.')
    NOT_READY = ('not-ready', 503, 'This instance has no configuration yet.')
    STOPPING = ('stopping', 503, 'This instance stops before the answer is due.')

    KEY_REQUIRED = ('key-required', 400, 'The rules ask for an Idempotency-Key.')
    KEY_NOT_ACCEPTED = (
        'key-not-accepted',
        422,
        'No address answer began this key.',
    )
    KEY_TOO_FAR_AHEAD = ('key-too-far-ahead', 422, 'The key expires too far ahead.')
    KEY_OF_OTHER_REQUEST = (
        'key-of-other-request',
        422,
        'The key belongs to another request.',
    )
    KEYS_FULL = ('keys-full', 503, 'This instance cannot take more keys now.')
    KEY_EXPIRED = ('key-expired', 409, 'The key expired; its request may have run.')
    ALREADY_SENT = ('already-sent', 409, 'A request with this key was sent before.')
    HOME_GONE = ('home-gone', 409, 'The home of the key is gone.')
    HOME_UNREACHABLE = ('home-unreachable', 503, 'The home does not answer.')
    RECORD_UNAVAILABLE = (
        'record-unavailable',
        503,
        'The platform does not tell whether the key was sent before.',
    )

    def __init__(self, slug: str, status: int, title: str) -> None:
        self.slug = slug
        self.status = status
        self.title = title


@frozen
class Answered:
    """The outcome of a request whose complete answer was forwarded to the caller."""

    status: int
    report: LoadReport | None = None

    def __str__(self) -> str:
        return f'answered with {self.status}'


@frozen
class NotRun:
    """The outcome of a request that did not run and may be sent again.

    `retry_after` is the number of seconds to wait before that, if specified.
    """

    reason: Reason
    detail: str = ''
    report: LoadReport | None = None
    retry_after: float | None = None

    def __str__(self) -> str:
        return f'not run, {self.reason.slug}'


@frozen
class Unknown:
    """The outcome of a request that may or may not have run."""

    reason: Reason
    detail: str = ''
    answer_started: bool = False

    def __str__(self) -> str:
        return f'unknown, {self.reason.slug}'


Outcome = Answered | NotRun | Unknown

SERVER_ERRORS = range(500, 600)


def attempt_result(outcome: Outcome, latency: float) -> AttemptResult:
    """Return the result that routing records for the outcome of an attempt.

    `latency` is in seconds.
    """
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
