"""Error answers as problem documents, https://www.rfc-editor.org/rfc/rfc9457."""

import math

import h11
import orjson

from catkinslip.proxy.headers import AUTHENTICATE, NOT_RUN, OUTCOME, REQUEST_ID
from catkinslip.proxy.outcomes import NotRun, Unknown

TYPE_PREFIX = 'urn:catkinslip:problem:'
REQUEST_PREFIX = 'urn:catkinslip:request:'
MEDIA_TYPE = b'application/problem+json'
DEFAULT_RETRY_AFTER_SECONDS = 1.0
#: Statuses whose answers always have Retry-After.
REFUSAL_STATUSES = frozenset({429, 503})


def problem_events(
    outcome: NotRun | Unknown,
    request_id: str,
    method: bytes = b'',
    *,
    close: bool = False,
) -> list[h11.Event]:
    """Return the problem document of an outcome as the events of an answer.

    `close` announces that the connection closes after the answer.
    """
    outcome_value = NOT_RUN if isinstance(outcome, NotRun) else b'unknown'
    reason = outcome.reason
    problem = {
        'type': TYPE_PREFIX + reason.slug,
        'title': reason.title,
        'status': reason.status,
        'detail': outcome.detail,
        'instance': REQUEST_PREFIX + request_id,
        'outcome': outcome_value.decode(),
        'request_id': request_id,
    }
    retry_after = retry_after_seconds(outcome)
    if retry_after is not None:
        problem['retry_after_ms'] = math.ceil(retry_after * 1000)
    body = orjson.dumps(problem)
    headers = [
        (b'content-type', MEDIA_TYPE),
        (b'content-length', b'%d' % len(body)),
        (OUTCOME, outcome_value),
        (REQUEST_ID, request_id.encode()),
    ]
    if reason.status == 401:
        headers.append(AUTHENTICATE)
    if retry_after is not None:
        headers.append((b'retry-after', b'%d' % max(1, math.ceil(retry_after))))
    if close:
        headers.append((b'connection', b'close'))
    response = h11.Response(status_code=reason.status, headers=headers)
    data = [] if method == b'HEAD' else [h11.Data(data=body)]
    return [response, *data, h11.EndOfMessage()]


def retry_after_seconds(outcome: NotRun | Unknown) -> float | None:
    """Return the seconds after which to retry a request; None if not specified."""
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        return outcome.retry_after
    is_refusal = outcome.reason.status in REFUSAL_STATUSES
    return DEFAULT_RETRY_AFTER_SECONDS if is_refusal else None
