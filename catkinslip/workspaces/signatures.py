"""Signatures by which an instance passes a request on with its workspace.

Answers requests that one instance passes to the home of their idempotency key. The
home must know the workspace, but any caller could send a header that names one, and the
key itself must not be sent. The signature is a hash of the request under the keys of
the workspace, which only instances and the workspace itself have.
"""

from collections.abc import Iterable
from hashlib import blake2b
from hmac import compare_digest

from catkinslip.config.documents import Workspace

SIGNATURE_BYTES = 16
#: Signatures of one request, each under another key. Two instances have different keys
#: for some seconds after a change; one key in common is enough.
MAX_SIGNATURES = 4
SEPARATOR = ' '


def make_signatures(name: str, workspace: Workspace, parts: Iterable[bytes]) -> str:
    """Return the header value with a workspace and its signatures for a request."""
    parts = tuple(parts)
    keys = workspace.api_keys[:MAX_SIGNATURES]
    return SEPARATOR.join((name, *(signature_under(key, name, parts) for key in keys)))


def verify_signature(
    value: str, workspace_by_name: dict[str, Workspace], parts: Iterable[bytes]
) -> str | None:
    """Return the workspace in a header value; None if no signature is right."""
    name, *signatures = value.split(SEPARATOR)
    workspace = workspace_by_name.get(name)
    if workspace is None or not 0 < len(signatures) <= MAX_SIGNATURES:
        return None
    parts = tuple(parts)
    # A wrong signature must not cost a hash under each of many keys.
    keys = workspace.api_keys[: 2 * MAX_SIGNATURES]
    expected = [signature_under(key, name, parts) for key in keys]
    is_right = any(
        compare_digest(signature.encode(), each.encode())
        for signature in signatures
        for each in expected
    )
    return name if is_right else None


def signature_under(key: str, name: str, parts: tuple[bytes, ...]) -> str:
    """Return the hash of a workspace's request under one of its keys."""
    secret = blake2b(key.encode()).digest()
    digest = blake2b(digest_size=SIGNATURE_BYTES, key=secret)
    for part in (name.encode(), *parts):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
