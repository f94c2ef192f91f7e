"""Checks of answers' heads that are stricter than those of the codec.

Two readers must never read one answer differently, so an unusual head is none:
https://www.rfc-editor.org/rfc/rfc9112#section-5.2
"""

import h11

from catkinslip.proxy import headers as names
from catkinslip.proxy.head_checks import has_controls, is_folded

MAX_STATUS = 599
MAJOR_VERSION = b'1.'
VERSION_WITHOUT_CHUNKS = b'1.0'

AnswerHead = h11.Response | h11.InformationalResponse


def find_head_fault(head: bytes, answer: AnswerHead) -> str | None:
    """Return the fault in the head of an answer, as received and as parsed, or None."""
    if is_folded(head):
        return 'a header is folded'
    if has_controls(head):
        return 'a control character stands in the head'
    if answer.status_code > MAX_STATUS:
        return f'{answer.status_code} is no status'
    if not answer.http_version.startswith(MAJOR_VERSION):
        return 'only HTTP/1.0 and HTTP/1.1 are spoken'
    if answer.http_version != VERSION_WITHOUT_CHUNKS:
        return None
    if names.find(answer.headers, b'transfer-encoding') is not None:
        return 'HTTP/1.0 has no transfer codings'
    return None
