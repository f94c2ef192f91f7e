"""Checks of request heads that are stricter than those of the codec.

A head that two servers could parse differently is refused:
https://www.rfc-editor.org/rfc/rfc9112#section-11.2
"""

import re
from urllib.parse import unquote

from catkinslip.proxy import headers as names
from catkinslip.proxy.outcomes import NotRun, Reason

CRLF = b'\r\n'
CONTROLS = bytes(set(range(32)) - set(b'\t\r\n')) + b'\x7f'
FRAMING = re.compile(
    rb'\n(content-length|transfer-encoding)[ \t]*:([^\r\n]*)', re.IGNORECASE
)
LENGTH = re.compile(rb'[0-9]{1,15}\Z')
HOST = re.compile(rb'([A-Za-z0-9._~-]*|\[[0-9A-Fa-f:.]+\])(:[0-9]{1,5})?\Z')
ABSOLUTE = re.compile(rb'https?://([^/?#]*)(.*)\Z', re.IGNORECASE)
VERSIONS = (b'1.0', b'1.1')


def find_line_fault(head: bytes) -> str | None:
    """Return the fault in the complete lines of a head; None if there is none."""
    lines = head.count(CRLF)
    if head.count(b'\n') != lines or head.count(b'\r') != lines:
        return 'a line does not end in CRLF'
    if is_folded(head):
        return 'a header is folded'
    if has_controls(head):
        return 'a control character stands in the head'
    return None


def is_folded(head: bytes) -> bool:
    """Return whether a line of a head continues the one before it."""
    return b'\n ' in head or b'\n\t' in head


def has_controls(head: bytes) -> bool:
    """Return whether a control character stands in a head, besides in line ends."""
    return len(head.translate(None, CONTROLS)) != len(head)


def check_framing(head: bytes) -> NotRun | None:
    """Return the refusal of a head with ambiguous body framing; None if it is clear."""
    found = FRAMING.findall(head)
    if not found:
        return None
    if len(found) > 1:
        return malformed('more than one header frames the body')
    name, value = found[0]
    value = value.strip(b' \t')
    if name.lower() == b'content-length':
        if LENGTH.match(value) is None:
            return malformed('content-length is no plain number')
        return None
    if value.lower() != b'chunked':
        return NotRun(Reason.NOT_IMPLEMENTED, 'the only transfer coding is chunked')
    if head[: head.index(CRLF)].endswith(b'HTTP/1.0'):
        return malformed('HTTP/1.0 has no transfer codings')
    return None


def check_request(request: names.RequestHead) -> NotRun | None:
    """Return the refusal of a parsed head; None if this server can handle it."""
    if request.http_version not in VERSIONS:
        return NotRun(Reason.VERSION, 'only HTTP/1.0 and HTTP/1.1 are spoken')
    host = names.find(request.headers, b'host') or b''
    if HOST.match(host) is None:
        return malformed('host is no name with an optional port')
    expected = names.find(request.headers, b'expect')
    if expected is not None and expected.lower() != b'100-continue':
        return NotRun(Reason.EXPECTATION, 'the only expectation is 100-continue')
    return check_target(request.target, request.method, host)


def check_target(target: bytes, method: bytes, host: bytes) -> NotRun | None:
    """Return the refusal of a target that is not a path or names another host."""
    if b'#' in target:
        return malformed('the target has a fragment')
    if target[:1] == b'/' or (target == b'*' and method == b'OPTIONS'):
        return None
    absolute = ABSOLUTE.match(target)
    if absolute is None:
        return malformed('the target is no path')
    if absolute[1].lower() != host.lower():
        return malformed('the target and the host header name different hosts')
    return None


def origin_form(target: bytes) -> bytes:
    """Return the path and query of a target that check_target accepted."""
    if target[:1] == b'/' or target == b'*':
        return target
    rest = ABSOLUTE.match(target)[2]
    return rest if rest[:1] == b'/' else b'/' + rest


def has_dot_segment(path: str) -> bool:
    """Return whether a server may resolve a path to one outside of its prefix.

    Servers resolve `.` and `..` after decoding, and some take a backslash for a slash.
    """
    decoded = unquote(path, 'latin-1').replace('\\', '/')
    return any(segment in ('.', '..') for segment in decoded.split('/'))


def fault_text(error: Exception) -> str:
    """Return the text of a protocol error without the line that it quotes.

    A malformed line may hold an API key.
    """
    return str(error).partition(': ')[0]


def malformed(detail: str) -> NotRun:
    """Return the refusal of a malformed request."""
    return NotRun(Reason.BAD_REQUEST, detail)
