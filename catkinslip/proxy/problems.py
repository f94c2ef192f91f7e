"""Refusals as problem documents, https://www.rfc-editor.org/rfc/rfc9457."""

import h11
import orjson

from catkinslip.proxy.headers import NOT_RUN, OUTCOME, REQUEST_ID
from catkinslip.proxy.outcomes import NotRun, Unknown

TYPE_PREFIX = 'urn:catkinslip:problem:'
REQUEST_PREFIX = 'urn:catkinslip:request:'
MEDIA_TYPE = b'application/problem+json'
RETRY_AFTER_SECONDS = 1


def problem_events(
    outcome: NotRun | Unknown,
    request_id: str,
    method: bytes = b'',
    *,
    close: bool = False,
) -> list[h11.Event]:
    """Return the answer that tells a caller how a request ended."""
    word = NOT_RUN if isinstance(outcome, NotRun) else b'unknown'
    reason = outcome.reason
    body = orjson.dumps(
        {
            'type': TYPE_PREFIX + reason.slug,
            'title': reason.title,
            'status': reason.status,
            'detail': outcome.detail,
            'instance': REQUEST_PREFIX + request_id,
            'outcome': word.decode(),
            'request_id': request_id,
        }
    )
    headers = [
        (b'content-type', MEDIA_TYPE),
        (b'content-length', b'%d' % len(body)),
        (OUTCOME, word),
        (REQUEST_ID, request_id.encode()),
    ]
    if reason.status == 503:
        headers.append((b'retry-after', b'%d' % RETRY_AFTER_SECONDS))
    if close:
        headers.append((b'connection', b'close'))
    response = h11.Response(status_code=reason.status, headers=headers)
    data = [] if method == b'HEAD' else [h11.Data(data=body)]
    return [response, *data, h11.EndOfMessage()]
